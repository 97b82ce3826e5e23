"""Tests of how a joining node becomes ready."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

import pytest

from wagtaildale.distribution import messages
from wagtaildale.distribution.task import find_wait
from wagtaildale.distribution.tests.networks import (
    NAMES,
    ROUND_SECONDS,
    assert_held,
    build_network,
    offer,
    read_version,
)
from wagtaildale.distribution.tuning import make_tuning
from wagtaildale.distribution.wire import Body, Push
from wagtaildale.document.model import make_delta
from wagtaildale.testing.builders import build_configuration
from wagtaildale.types import DocumentKind, InstanceId, NodeState

if TYPE_CHECKING:
    from wagtaildale.testing.network import FakeNetwork

B = InstanceId('b')
ROUNDS_TO_JOIN = 5


def test_source_down_does_not_keep_a_node_from_joining() -> None:
    """A restarted node serves no calls while the platform is down.

    It gets the version from its peers and becomes ready.
    """
    network = build_network()
    network.source.down = True
    network.restart(B)
    network.settle()
    assert read_version(network.nodes[B]) == 1
    assert network.nodes[B].state.members.state is NodeState.ready


def test_stale_source_does_not_make_a_node_ready() -> None:
    """A new node becomes ready with outdated routes.

    The platform has an old version. The node also asks its peers and becomes
    ready with theirs.
    """
    network = build_network()
    offer(network, build_configuration(4))
    network.source.publish(build_configuration(2, within_ms=100))
    network.restart(B)
    for _second in range(15):
        network.run_round()
    assert read_version(network.nodes[B]) == 4
    assert network.nodes[B].state.members.state is NodeState.ready


def test_restart_of_half_the_fleet_causes_few_reads() -> None:
    """Half of all nodes restart at once and all read from the platform."""
    network = build_network(8)
    before = network.source.reads['blobs']
    for name in NAMES[::2]:
        network.restart(InstanceId(name))
    network.settle()
    assert_held(network, 1)
    assert network.source.reads['blobs'] - before <= 3


def test_restarted_node_joins_by_seeds_while_the_platform_is_down() -> None:
    """A node restarts without any documents while the platform is down.

    On a platform whose reads are paid for, it must not depend on the platform
    alone: a running seed holds both documents.
    """
    network = build_network(tuning=make_tuning(apply_seconds=2.0))
    network.source.down = True
    network.restart(B)
    for _round in range(ROUNDS_TO_JOIN):
        network.run_round(seconds=ROUND_SECONDS)
    assert read_version(network.nodes[B]) == 1
    assert network.nodes[B].state.members.state is NodeState.ready


def test_fleet_that_starts_at_once_does_not_wait_for_empty_seeds() -> None:
    """The whole fleet restarts at once, and its seeds hold no documents.

    Each node reads from the platform and becomes ready with its answer.
    """
    network = build_network(tuning=make_tuning(apply_seconds=2.0))
    for name in tuple(network.nodes):
        network.restart(name)
    for _round in range(ROUNDS_TO_JOIN):
        network.run_round(seconds=ROUND_SECONDS)
    states = {node.state.members.state for node in network.nodes.values()}
    assert states == {NodeState.ready}


@pytest.mark.parametrize('seed', [1, 27, 59, 86])
def test_fleet_that_starts_at_once_is_ready_in_a_quarter_second(
    seed: int,
) -> None:
    """After a power loss, callers are refused for over half a second.

    All processes run, but each checked its progress only at the interval of
    the reader review, and asked seeds that hold nothing first. A joining node
    has to check every 50 ms and to read from the platform after 0.1 s. If all
    first reads happen to be late, a node that the list makes a reader reads
    immediately instead of at its next check.
    """
    random.seed(seed)
    network = build_network(tuning=make_tuning(apply_seconds=2.0))
    for name in tuple(network.nodes):
        network.restart(name)
    network.run_round(seconds=0)
    for _round in range(5):
        network.run_round(seconds=0.05)
    states = {node.state.members.state for node in network.nodes.values()}
    assert states == {NodeState.ready}


def test_joining_node_does_not_wait_for_a_timer() -> None:
    """A new node sends its first message only at the next slow timer tick."""
    network = build_network(tuning=make_tuning(apply_seconds=2.0))
    network.restart(B)
    state = network.nodes[B].state
    assert find_wait(state, now=network.now) == 0
    network.dispatch(B, messages.DeadlineReached())
    assert find_wait(state, now=network.now) <= 0.05


def test_fleet_that_starts_in_an_outage_does_not_flood_the_platform() -> None:
    """All machines restart after a power loss while the platform is down.

    For ten seconds every node read at each of its checks, ten times a second
    or more, and each of these reads is paid for.
    """
    network = build_network(tuning=make_tuning(apply_seconds=2.0))
    network.source.down = True
    for name in tuple(network.nodes):
        network.restart(name)
    before = network.source.reads[DocumentKind.configuration.name]
    for _round in range(200):
        network.run_round(seconds=0.05)
    reads = network.source.reads[DocumentKind.configuration.name] - before
    assert reads <= 35 * len(network.nodes)
    network.source.down = False
    for _round in range(20):
        network.run_round(seconds=0.05)
    states = {node.state.members.state for node in network.nodes.values()}
    assert states == {NodeState.ready}


def list_pushes(network: FakeNetwork, sender: InstanceId) -> list[Body]:
    """List pushes of all documents that a node holds, and its heartbeat."""
    state = network.nodes[sender].state
    pushes: list[Body] = [
        Push(
            make_delta(store.history[0], target=store.held),
            state.describe_holding(kind, network.now),
        )
        for kind, store in state.stores.items()
    ]
    return [*pushes, state.make_swap(network.now, is_reply=True)]


def test_messages_to_the_process_before_start_no_node() -> None:
    """A node serves by a list that waited in queues while it was down."""
    network = build_network(tuning=make_tuning(apply_seconds=2.0))
    queued = [
        network.wrap(sender, to=B, body=body)
        for sender in network.nodes
        if sender != B
        for body in list_pushes(network, sender)
    ]
    network.nodes[B].running = False
    offer(network, build_configuration(4))
    network.restart(B)
    for message in queued:
        network.dispatch(B, message)
    network.flush()
    for _round in range(ROUNDS_TO_JOIN):
        network.run_round(seconds=ROUND_SECONDS)
    node = network.nodes[B]
    assert node.held_versions[DocumentKind.configuration] == [4]
    assert node.state.members.state is NodeState.ready
