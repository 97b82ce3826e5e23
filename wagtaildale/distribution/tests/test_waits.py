"""Tests that waits on the way of a version follow from the time to apply."""

from __future__ import annotations

from typing import Final

import pytest

from wagtaildale.distribution import messages
from wagtaildale.distribution.task import find_wait
from wagtaildale.distribution.tests.networks import build_network, read_version
from wagtaildale.distribution.tuning import Spread, choose_tuning, make_tuning
from wagtaildale.document.model import make_outline
from wagtaildale.testing.network import FakeNetwork
from wagtaildale.types import DocumentKind, InstanceId

NODES: Final = 8
# Shortest and longest bound of the operators' platforms, and one between.
BOUNDS: Final = (2.0, 4.0, 12.0)
SLOWEST_LINE_MBPS: Final = 3.5
STEP_SECONDS: Final = 0.05


def start_alone(network: FakeNetwork) -> InstanceId:
    """Restart a node that is no reader; it reads documents without parts.

    Returns:
        The node. No peer sends it anything.
    """
    name = next(name for name in network.nodes if network.is_idle(name))
    network.restart(name)
    for other in network.nodes:
        network.cut(name, other)
    for kind in reversed(DocumentKind):
        document = network.source.published[kind]
        blobs: tuple[bytes, ...] = ()
        if kind is DocumentKind.instances:
            blobs = tuple(document.blobs.values())
        read = messages.SourceRead(outline=make_outline(document), blobs=blobs)
        network.dispatch(name, read)
    return name


@pytest.mark.parametrize('apply_seconds', BOUNDS)
@pytest.mark.parametrize('spread', [Spread.prompt, Spread.frugal])
def test_parts_that_no_peer_sends_are_read_within_the_bound(
    spread: Spread, apply_seconds: float
) -> None:
    """A new node waits 5 s for parts of a version that has to apply in 2 s.

    It has read which parts there are, and no peer sends them.
    """
    network = build_network(
        NODES, tuning=choose_tuning(spread, apply_seconds=apply_seconds)
    )
    name = start_alone(network)
    node = network.nodes[name]
    started_at = network.now
    while not read_version(node) and network.now < started_at + apply_seconds:
        network.now += max(STEP_SECONDS, find_wait(node.state, now=network.now))
        network.dispatch(name, messages.DeadlineReached())
    assert read_version(node)
    assert network.now - started_at < apply_seconds / 2


@pytest.mark.parametrize('apply_seconds', BOUNDS)
def test_parts_can_be_read_over_a_slow_line_after_the_wait_for_peers(
    apply_seconds: float,
) -> None:
    """The wait for peers leaves too little time to read the platform."""
    tuning = make_tuning(
        apply_seconds=apply_seconds, line_mbps=SLOWEST_LINE_MBPS
    )
    assert tuning.peer_wait_seconds + tuning.read_seconds < apply_seconds


@pytest.mark.parametrize('apply_seconds', BOUNDS)
def test_new_nodes_leave_parts_to_readers_at_first(
    apply_seconds: float,
) -> None:
    """Every new node of a fleet reads every part from the platform at once."""
    network = build_network(
        NODES, tuning=choose_tuning(Spread.prompt, apply_seconds=apply_seconds)
    )
    reads = network.source.reads['blobs']
    name = start_alone(network)
    network.now += apply_seconds / 4
    network.dispatch(name, messages.DeadlineReached())
    assert network.source.reads['blobs'] == reads
