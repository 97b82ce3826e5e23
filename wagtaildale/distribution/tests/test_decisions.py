"""Tests of the decisions of distribution while nodes and lines fail."""

from __future__ import annotations

from wagtaildale.distribution import messages
from wagtaildale.distribution.tests.networks import (
    assert_held,
    build_network,
    read_version,
)
from wagtaildale.distribution.tuning import Tuning
from wagtaildale.distribution.wire import Push
from wagtaildale.document.model import make_delta
from wagtaildale.membership.state import get_topology
from wagtaildale.testing.builders import build_configuration, build_instances
from wagtaildale.testing.network import FakeNetwork
from wagtaildale.types import DocumentKind, InstanceId

A = InstanceId('a')
B = InstanceId('b')
HOUR = 3600


def test_partition_of_an_hour_heals() -> None:
    """After a partition one side keeps routing by the old version.

    A data centre is cut off for an hour without a platform. Each side
    considers the other dead and would never contact it again. After the
    partition the cut-off side receives the new version from the other.
    """
    network = build_network(6, data_centres=('derby', 'coventry'))
    sides = find_sides(network)
    for one in sides[0]:
        for other in sides[1]:
            network.cut(one, other)
    network.source.publish(build_configuration(2))
    for _second in range(60):
        network.now += HOUR / 60
        for instance in network.nodes:
            network.tick(instance)
        for instance in sides[0]:
            network.read_source(instance)
        network.flush()
    assert {read_version(network.nodes[name]) for name in sides[0]} == {2}
    assert {read_version(network.nodes[name]) for name in sides[1]} == {1}
    network.heal()
    for _second in range(60):
        network.now += 1
        for instance in network.nodes:
            network.tick(instance)
        network.flush()
    assert_held(network, 2)


def find_sides(network: FakeNetwork) -> list[list[InstanceId]]:
    names = tuple(network.nodes)
    return [list(names[::2]), list(names[1::2])]


def test_paused_node_wakes_during_a_change() -> None:
    """A process that was paused for 30 seconds acts on an outdated view.

    A version was published during the pause. On waking, the node drops its
    pending pushes, suspects no peer, and receives the new version.
    """
    network = build_network()
    network.nodes[B].paused = True
    network.source.publish(build_configuration(2))
    for _second in range(30):
        network.run_round()
    network.resume(B, late_by=30)
    assert not network.nodes[B].state.pushes
    network.settle()
    assert_held(network, 2)
    away = network.nodes[B].state.members.list_away()
    assert not away, 'the node suspects peers for its own pause'


def test_push_bypasses_a_dead_inner_node() -> None:
    """A branch of the push tree keeps the old version.

    An inner node has died undetected. Its parent pushes to the dead node's
    children if the push is not acknowledged.
    """
    network = build_network(8, tuning=Tuning(fan_out=1, readers=1))
    order = get_topology(network.nodes[A].state.members).tree
    network.nodes[order[1]].running = False
    network.source.publish(build_configuration(2))
    for name in network.nodes:
        network.read_source(name)
    network.flush()
    for _wait in range(6):
        network.now += 0.3
        for name in network.nodes:
            network.dispatch(name, messages.DeadlineReached())
        network.flush()
    held = {
        name: read_version(node)
        for name, node in network.nodes.items()
        if node.running
    }
    assert set(held.values()) == {2}, held


def test_dead_node_is_detected_and_returns() -> None:
    network = build_network()
    network.nodes[B].running = False
    for _second in range(20):
        network.run_round()
    assert B in network.nodes[A].state.members.list_away()
    network.restart(B)
    for _second in range(30):
        network.run_round()
    assert B not in network.nodes[A].state.members.list_away()


def test_false_suspicion_is_refuted() -> None:
    """A paused node is considered dead and receives no more work.

    When it learns of the suspicion it refutes it.
    """
    network = build_network()
    network.nodes[B].paused = True
    for _second in range(20):
        network.run_round()
    assert B in network.nodes[A].state.members.list_away()
    network.resume(B, late_by=20)
    for _second in range(30):
        network.run_round()
    for node in network.nodes.values():
        assert not node.state.members.list_away()


def test_leaving_node_is_known_to_all_immediately() -> None:
    network = build_network(8)
    network.dispatch(B, messages.Leave())
    network.flush()
    for name, node in network.nodes.items():
        if name != B:
            assert B in node.state.members.list_away(), name


def test_instance_removed_from_the_list_is_dropped() -> None:
    network = build_network(3)
    network.source.publish(build_instances(*network.records[:2], version=2))
    network.settle()
    assert InstanceId('c') not in network.nodes[A].state.members.records


def test_reply_to_a_swap_gets_no_reply() -> None:
    network = build_network(2)
    body = network.nodes[B].state.make_swap(network.now, is_reply=True)
    network.in_flight.clear()
    network.dispatch(A, network.wrap(B, to=A, body=body))
    assert not network.in_flight


def test_pulled_version_is_pushed_to_the_root() -> None:
    """After a partition, the nodes of a data centre catch up one by one.

    The first node that pulls the version pushes it to the root of its tree,
    from which it reaches all nodes.
    """
    network = build_network(8, tuning=Tuning(fan_out=2))
    tree = get_topology(network.nodes[A].state.members).tree
    leaf, root = tree[-1], tree[0]
    target = build_configuration(2)
    holding = network.nodes[leaf].state.describe_holding(
        DocumentKind.configuration,
        network.now,
    )
    delta = make_delta(build_configuration(1), target=target)
    body = Push(delta, holding, bypasses_tree=True)
    network.dispatch(leaf, network.wrap(root, to=leaf, body=body))
    network.flush()
    assert_held(network, 2)


def test_reader_dies_between_reading_and_pushing() -> None:
    """A change is lost if the node that read it dies before it pushes.

    The other readers of the data centre read the same change.
    """
    network = build_network(6)
    readers = get_topology(network.nodes[A].state.members).readers
    network.source.publish(build_configuration(2))
    network.read_source(readers[0])
    network.in_flight.clear()
    network.nodes[readers[0]].running = False
    network.settle()
    assert network.is_converged()


def test_partition_with_a_platform_on_each_side() -> None:
    """Both sides of a partition apply changes, and agree after it."""
    network = build_network(6, data_centres=('derby', 'coventry'))
    sides = find_sides(network)
    for one in sides[0]:
        for other in sides[1]:
            network.cut(one, other)
    for version in (2, 3):
        network.source.publish(build_configuration(version))
        for _second in range(30):
            network.run_round()
        assert_held(network, version)
    network.heal()
    network.source.publish(build_configuration(4))
    network.settle()
    assert_held(network, 4)
