"""Tests of how a new node becomes ready."""

from __future__ import annotations

import random

import pytest

from wagtaildale.distribution import messages
from wagtaildale.distribution.task import find_wait
from wagtaildale.distribution.tests.networks import (
    LOOK_SECONDS,
    NAMES,
    assert_held,
    build_network,
    offer,
    read_version,
)
from wagtaildale.distribution.tuning import make_tuning
from wagtaildale.testing.builders import build_configuration
from wagtaildale.types import InstanceId, DocumentKind, NodeState

B = InstanceId('b')
LOOKS_TO_JOIN = 5


def test_source_down_does_not_keep_a_node_from_joining() -> None:
    """A replaced instance serves nobody while the platform is down.

    Its peers hold the version; it takes it from them and is ready.
    """
    network = build_network()
    network.source.down = True
    network.restart(B)
    network.settle()
    assert read_version(network.nodes[B]) == 1
    assert network.nodes[B].state.members.state is NodeState.ready


def test_stale_source_does_not_make_a_node_ready() -> None:
    """A new node settles for yesterday's routes.

    The platform shows an old version; the node asks its peers as well and
    is ready with theirs.
    """
    network = build_network()
    offer(network, build_configuration(4))
    network.source.show(build_configuration(2, within_ms=100))
    network.restart(B)
    for _second in range(15):
        network.pass_round()
    assert read_version(network.nodes[B]) == 4
    assert network.nodes[B].state.members.state is NodeState.ready


def test_half_of_the_fleet_restarts() -> None:
    """Half of all nodes are killed and come back in a storm of reads."""
    network = build_network(8)
    before = network.source.reads['blobs']
    for name in NAMES[::2]:
        network.restart(InstanceId(name))
    network.settle()
    assert_held(network, 1)
    assert network.source.reads['blobs'] - before <= 3


def test_restarted_node_asks_seeds_while_the_store_is_down() -> None:
    """A node beside a backend server is killed while the store is down.

    It comes back with nothing, and on a platform whose reads are priced it
    would ask the store alone. A seed that lives holds both documents.
    """
    network = build_network(tuning=make_tuning(apply_seconds=2.0))
    network.source.down = True
    network.restart(B)
    for _look in range(LOOKS_TO_JOIN):
        network.pass_round(seconds=LOOK_SECONDS)
    assert read_version(network.nodes[B]) == 1
    assert network.nodes[B].state.members.state is NodeState.ready


def test_fleet_that_starts_at_once_does_not_wait_for_empty_seeds() -> None:
    """The whole fleet is killed at one moment and comes back together.

    Its seeds hold nothing either. Each node turns to the store by itself
    and takes callers as soon as the store has answered.
    """
    network = build_network(tuning=make_tuning(apply_seconds=2.0))
    for name in tuple(network.nodes):
        network.restart(name)
    for _look in range(LOOKS_TO_JOIN):
        network.pass_round(seconds=LOOK_SECONDS)
    states = {node.state.members.state for node in network.nodes.values()}
    assert states == {NodeState.ready}


@pytest.mark.parametrize('seed', [1, 27, 59, 86])
def test_fleet_that_starts_at_once_is_ready_in_a_quarter_second(
    seed: int,
) -> None:
    """After a loss of power every caller is refused for over half a second.

    All processes are up, but each looks after joining at the slow pace at
    which readers are looked after, and asks empty seeds first. Now it looks
    every 50 ms, and turns to the store after 0.1 s. Where all first reads
    happen to be late, whom the list makes a reader reads on at once, and not
    with the next look.
    """
    random.seed(seed)
    network = build_network(tuning=make_tuning(apply_seconds=2.0))
    for name in tuple(network.nodes):
        network.restart(name)
    network.pass_round(seconds=0)
    for _look in range(5):
        network.pass_round(seconds=0.05)
    states = {node.state.members.state for node in network.nodes.values()}
    assert states == {NodeState.ready}


def test_joining_node_wakes_by_itself() -> None:
    """A node that is up sends its first question at the next slow tick."""
    network = build_network(tuning=make_tuning(apply_seconds=2.0))
    network.restart(B)
    state = network.nodes[B].state
    assert find_wait(state, now=network.now) == 0
    network.tell(B, messages.Wake())
    assert find_wait(state, now=network.now) <= 0.05


def test_fleet_that_starts_in_an_outage_does_not_storm_the_platform() -> None:
    """All machines lose power while the platform is down as well.

    For ten seconds every node asked it again as fast as it looked, ten times
    a second and more, and each of these calls is paid for.
    """
    network = build_network(tuning=make_tuning(apply_seconds=2.0))
    network.source.down = True
    for name in tuple(network.nodes):
        network.restart(name)
    before = network.source.reads[DocumentKind.configuration.name]
    for _look in range(200):
        network.pass_round(seconds=0.05)
    asked = network.source.reads[DocumentKind.configuration.name] - before
    assert asked <= 35 * len(network.nodes)
    network.source.down = False
    for _look in range(20):
        network.pass_round(seconds=0.05)
    states = {node.state.members.state for node in network.nodes.values()}
    assert states == {NodeState.ready}
