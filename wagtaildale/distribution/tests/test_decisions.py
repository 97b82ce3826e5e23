"""Tests of distribution's decisions while nodes and lines fail."""

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
from wagtaildale.membership.state import find_topology
from wagtaildale.testing.builders import build_configuration, build_instances
from wagtaildale.testing.network import FakeNetwork
from wagtaildale.types import InstanceId, DocumentKind

A = InstanceId('a')
B = InstanceId('b')
HOUR = 3600


def test_partition_of_an_hour_heals() -> None:
    """After a partition one side routes by the old version for ever.

    A data centre is cut off for an hour with no platform on its side; each
    side takes the other for dead and would never ask it again. Once the cut
    is mended the cut-off side hears the news from the others.
    """
    network = build_network(6, data_centres=('derby', 'coventry'))
    sides = find_sides(network)
    for one in sides[0]:
        for other in sides[1]:
            network.cut(one, other)
    network.source.show(build_configuration(2))
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
    """A frozen process wakes and acts on an old view of the world.

    It slept 30 seconds while a version was published; on waking it sends
    nothing of before, blames nobody, and is brought up to date.
    """
    network = build_network()
    network.nodes[B].paused = True
    network.source.show(build_configuration(2))
    for _second in range(30):
        network.pass_round()
    network.wake(B, late_by=30)
    assert not network.nodes[B].state.pushes
    network.settle()
    assert_held(network, 2)
    away = network.nodes[B].state.members.list_away()
    assert not away, 'it blames the others for its own sleep'


def test_push_goes_past_a_dead_inner_node() -> None:
    """A branch of the push tree stays behind.

    An inner node is dead and nobody knows it yet; its parent sends to the
    dead node's children when the push is not seen.
    """
    network = build_network(8, tuning=Tuning(fan_out=1, readers=1))
    order = find_topology(network.nodes[A].state.members).tree
    network.nodes[order[1]].running = False
    network.source.show(build_configuration(2))
    for name in network.nodes:
        network.read_source(name)
    network.flush()
    for _wait in range(6):
        network.now += 0.3
        for name in network.nodes:
            network.tell(name, messages.Wake())
        network.flush()
    held = {
        name: read_version(node)
        for name, node in network.nodes.items()
        if node.running
    }
    assert set(held.values()) == {2}, held


def test_dead_node_is_found_and_returns() -> None:
    network = build_network()
    network.nodes[B].running = False
    for _second in range(20):
        network.pass_round()
    assert B in network.nodes[A].state.members.list_away()
    network.restart(B)
    for _second in range(30):
        network.pass_round()
    assert B not in network.nodes[A].state.members.list_away()


def test_false_suspicion_is_refuted() -> None:
    """A slow node is taken for dead and gets no more work.

    It was paused, not dead; when it hears what is said it refutes it.
    """
    network = build_network()
    network.nodes[B].paused = True
    for _second in range(20):
        network.pass_round()
    assert B in network.nodes[A].state.members.list_away()
    network.wake(B, late_by=20)
    for _second in range(30):
        network.pass_round()
    for node in network.nodes.values():
        assert not node.state.members.list_away()


def test_leaving_is_known_at_once() -> None:
    network = build_network(8)
    network.tell(B, messages.Leave())
    network.flush()
    for name, node in network.nodes.items():
        if name != B:
            assert B in node.state.members.list_away(), name


def test_list_drops_an_instance() -> None:
    network = build_network(3)
    network.source.show(build_instances(*network.records[:2], version=2))
    network.settle()
    assert InstanceId('c') not in network.nodes[A].state.members.records


def test_swap_is_answered_once() -> None:
    network = build_network(2)
    body = network.nodes[B].state.make_swap(network.now, is_reply=True)
    network.flying.clear()
    network.tell(A, network.wrap(B, to=A, body=body))
    assert not network.flying


def test_version_that_was_pulled_goes_to_the_root() -> None:
    """After a cut is mended a data centre catches up node by node.

    Whoever is first to pull the version tells the root of its tree, which
    tells all.
    """
    network = build_network(8, tuning=Tuning(fan_out=2))
    tree = find_topology(network.nodes[A].state.members).tree
    leaf, root = tree[-1], tree[0]
    target = build_configuration(2)
    holding = network.nodes[leaf].state.describe_holding(
        DocumentKind.configuration,
        network.now,
    )
    delta = make_delta(build_configuration(1), target=target)
    body = Push(delta, holding, is_past_tree=True)
    network.tell(leaf, network.wrap(root, to=leaf, body=body))
    network.flush()
    assert_held(network, 2)


def test_reader_dies_between_reading_and_pushing() -> None:
    """A change is read by one node, which dies with it.

    The readers of the data centre read the same change at the same time;
    the death of one loses nothing.
    """
    network = build_network(6)
    readers = find_topology(network.nodes[A].state.members).readers
    network.source.show(build_configuration(2))
    network.read_source(readers[0])
    network.flying.clear()
    network.nodes[readers[0]].running = False
    network.settle()
    assert network.is_converged()


def test_partition_with_a_platform_on_each_side() -> None:
    """Both sides of a cut go on taking changes, and agree after it."""
    network = build_network(6, data_centres=('derby', 'coventry'))
    sides = find_sides(network)
    for one in sides[0]:
        for other in sides[1]:
            network.cut(one, other)
    for version in (2, 3):
        network.source.show(build_configuration(version))
        for _second in range(30):
            network.pass_round()
        assert_held(network, version)
    network.heal()
    network.source.show(build_configuration(4))
    network.settle()
    assert_held(network, 4)
