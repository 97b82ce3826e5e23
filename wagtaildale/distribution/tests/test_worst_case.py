"""Tests of the sum of the steps that a version takes at worst."""

from __future__ import annotations

from typing import Final

import pytest
from msgspec import structs

from wagtaildale.distribution import messages
from wagtaildale.distribution.tests.networks import build_network, read_version
from wagtaildale.distribution.tuning import FULL_READ_MEGABITS, make_tuning
from wagtaildale.membership.state import get_topology
from wagtaildale.testing.builders import build_configuration

NODES: Final = 8
STEP_SECONDS: Final = 0.01
MAX_SECONDS: Final = 2.0
SLOWEST_LINE_MBPS: Final = 3.5
# The sum does not hold shorter bounds; see docs/design/distribution.md.
BOUNDS: Final = (2.5, 4.0, 12.0)
# A read of 600 KB.
LARGE_READ_MEGABITS: Final = 4.8
LARGE_READ_BOUNDS: Final = (3.0, 4.0, 12.0)


def measure_push_past_a_dead_node(apply_seconds: float) -> float:
    """Measure how long a version takes past a node that has just died.

    Returns:
        Seconds until all other nodes have it, without the time of messages.
    """
    tuning = make_tuning(apply_seconds=apply_seconds)
    network = build_network(NODES, tuning=structs.replace(tuning, fan_out=1))
    reader = next(name for name in network.nodes if not network.is_idle(name))
    order = get_topology(network.nodes[reader].state.members).tree
    dead = next(name for name in order[1:] if name != reader)
    network.nodes[dead].running = False
    network.source.publish(build_configuration(2))
    network.read_source(reader)
    network.flush()
    started_at = network.now
    while network.now < started_at + MAX_SECONDS:
        if all(
            read_version(node) == 2
            for node in network.nodes.values()
            if node.running
        ):
            break
        network.now += STEP_SECONDS
        for name in network.nodes:
            network.dispatch(name, messages.DeadlineReached())
        network.flush()
    return network.now - started_at


def sum_worst_steps(apply_seconds: float, *, read_megabits: float) -> float:
    """Add up the steps of a version whose reader dies after its heartbeat.

    All nodes on fast lines are gone as well, the last one in turn reads, and
    one node of the push tree has just died.

    Returns:
        Seconds.
    """
    tuning = make_tuning(
        apply_seconds=apply_seconds, line_mbps=SLOWEST_LINE_MBPS
    )
    turn_seconds = (1 + tuning.reads_last) * tuning.takeover_spread_seconds
    return (
        tuning.reader_silence_seconds
        + turn_seconds
        + read_megabits / SLOWEST_LINE_MBPS
        + measure_push_past_a_dead_node(apply_seconds)
    )


@pytest.mark.parametrize('apply_seconds', BOUNDS)
def test_dead_node_in_the_tree_is_passed_by_before_a_resend(
    apply_seconds: float,
) -> None:
    """The children of a dead node wait until two pushes to it are missed.

    The reader's confirmation tells every node of its data centre sooner.
    """
    resend_seconds = make_tuning(apply_seconds=apply_seconds).resend_seconds
    measured = measure_push_past_a_dead_node(apply_seconds)
    assert measured <= resend_seconds + STEP_SECONDS


@pytest.mark.parametrize('apply_seconds', BOUNDS)
def test_sum_of_the_worst_steps_is_within_the_bound(
    apply_seconds: float,
) -> None:
    """Each wait is short enough by itself, and the sum of them is not."""
    total = sum_worst_steps(apply_seconds, read_megabits=FULL_READ_MEGABITS)
    assert total < apply_seconds


@pytest.mark.parametrize('apply_seconds', LARGE_READ_BOUNDS)
def test_sum_with_a_large_read_is_within_longer_bounds(
    apply_seconds: float,
) -> None:
    """A read of 600 KB takes longer than the other steps leave time for."""
    total = sum_worst_steps(apply_seconds, read_megabits=LARGE_READ_MEGABITS)
    assert total < apply_seconds
