"""Tests of distribution's decisions on faults, each with its story."""

from __future__ import annotations

import pytest

from wagtaildale.distribution import messages
from wagtaildale.distribution.tests.networks import (
    assert_held,
    build_network,
    offer,
    read_version,
)
from wagtaildale.distribution.tuning import Tuning
from wagtaildale.distribution.wire import Push, Swap
from wagtaildale.document.model import make_delta, make_document
from wagtaildale.errors.codes import Code
from wagtaildale.membership.state import find_topology
from wagtaildale.testing.builders import (
    build_configuration,
    build_instances,
    build_part,
)
from wagtaildale.testing.network import FakeNetwork, FakeNode
from wagtaildale.types import Digest, InstanceId, Kind, Version

A = InstanceId('a')
B = InstanceId('b')
HOUR = 3600


def list_refusals(node: FakeNode) -> set[Code]:
    store = node.state.stores[Kind.configuration]
    return {fault.code for fault in store.refused.values()}


@pytest.mark.parametrize('count', [1, 2, 5, 8])
def test_version_reaches_every_node(count: int) -> None:
    network = build_network(count)
    network.source.show(build_configuration(2))
    network.settle()
    assert_held(network, 2)


def test_older_version_is_ignored() -> None:
    """Routes of yesterday come back.

    The platform answers from a stale copy after a newer version is in
    force; every reader reads it, and none may move back.
    """
    network = build_network()
    offer(network, build_configuration(5))
    offer(network, build_configuration(3, within_ms=100))
    assert_held(network, 5)


def test_dangling_route_is_refused_whole() -> None:
    """Calls end at a service that is not there.

    A version whose route names a missing service is published. No node
    applies any part of it, and the next good version is taken.
    """
    network = build_network()
    bad = make_document(
        Kind.configuration,
        version=Version(2),
        blobs={
            'casefiles': build_part('casefiles', within_ms=7),
            'intake': build_part('intake', routed_to='gone'),
        },
    )
    offer(network, bad)
    assert_held(network, 1)
    assert list_refusals(network.nodes[A]) == {Code.service_missing}
    offer(network, build_configuration(3))
    assert_held(network, 3)


def test_refused_version_is_not_fetched_again() -> None:
    """A bad version makes the whole fleet read it for ever.

    It is offered again by every watch; its parts are read once only.
    """
    network = build_network(1)
    blobs = {'casefiles': build_part('casefiles', routed_to='gone')}
    bad = make_document(Kind.configuration, version=Version(2), blobs=blobs)
    offer(network, bad)
    reads = network.source.reads['blobs']
    for _again in range(5):
        network.read_source(A)
    assert network.source.reads['blobs'] == reads


def test_number_used_twice() -> None:
    """Two halves of the fleet route differently under one version number.

    A publisher uses a number again for other content; whoever holds the
    first keeps it, and the next number is taken by all.
    """
    network = build_network()
    offer(network, build_configuration(1, within_ms=999))
    first = build_configuration(1)
    for node in network.nodes.values():
        held = node.state.stores[Kind.configuration].held
        assert held.digest == first.digest
    offer(network, build_configuration(2))
    assert_held(network, 2)


def test_updates_crossed() -> None:
    """Version 3 comes before version 2, which must not undo it.

    Pushes cross in flight: a node gets the later delta first, without its
    base, then the earlier one.
    """
    network = build_network(2)
    versions = [build_configuration(number) for number in (1, 2, 3)]
    later = make_delta(versions[1], target=versions[2])
    earlier = make_delta(versions[0], target=versions[1])
    state = network.nodes[A].state
    holding = state.describe_holding(Kind.configuration, network.now)
    network.source.show(versions[2])
    network.nodes[B].watching.add(Kind.configuration)
    network.read_source(B)
    network.flying.clear()
    for delta in (later, earlier):
        body = Push(delta, holding)
        network.tell(A, network.wrap(B, to=A, body=body))
    network.settle()
    assert_held(network, 3)
    assert network.nodes[A].seen[Kind.configuration] == sorted(
        network.nodes[A].seen[Kind.configuration],
    )


def test_corrupt_delta_changes_nothing() -> None:
    """A part is damaged on its way, and calls go by a route nobody wrote."""
    network = build_network(2)
    target = build_configuration(2, within_ms=5)
    delta = make_delta(build_configuration(1), target=target)
    delta.changed['casefiles'] = build_part('casefiles', within_ms=6)
    state = network.nodes[A].state
    holding = state.describe_holding(Kind.configuration, network.now)
    network.tell(A, network.wrap(B, to=A, body=Push(delta, holding)))
    assert_held(network, 1)


def test_missing_part_keeps_old_version_in_force() -> None:
    """A manifest names a part that the platform does not have.

    Nobody can give the part; the version in force stays whole until the
    part appears.
    """
    network = build_network(3)
    document = build_configuration(2, within_ms=77)
    network.source.show(document)
    hidden = dict(network.source.blobs)
    network.source.blobs.clear()
    for _second in range(10):
        network.pass_round()
    assert_held(network, 1)
    network.source.blobs.update(hidden)
    network.settle()
    assert_held(network, 2)


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
    body = Swap(network.nodes[B].state.describe_all(network.now), is_reply=True)
    network.flying.clear()
    network.tell(A, network.wrap(B, to=A, body=body))
    assert not network.flying


def test_platform_that_fails_is_said_to_once() -> None:
    """The platform is down for a night and the log is full of it."""
    network = build_network(1)
    failed = messages.SourceFailed(
        kind=Kind.configuration,
        code=Code.source_unreachable,
        detail='down',
    )
    said: list[Code] = []
    for _read in range(3):
        network.tell(A, failed)
        said.extend(list_source_changes(network))
    answered = messages.SourceConfirmed(
        kind=Kind.configuration,
        version=Version(1),
    )
    network.tell(A, answered)
    said.extend(list_source_changes(network))
    assert said == [Code.source_unreachable, Code.ok]


def list_source_changes(network: FakeNetwork) -> list[Code]:
    return [
        effect.code
        for effect in network.nodes[A].effects
        if isinstance(effect, messages.SourceChanged)
    ]


def test_missing_part_is_said() -> None:
    network = build_network(1)
    read = messages.SourceBlobs(
        kind=Kind.configuration,
        blobs=(),
        missing=(Digest(b'gone'),),
    )
    network.tell(A, read)
    assert list_source_changes(network) == [Code.part_missing]


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
        Kind.configuration,
        network.now,
    )
    delta = make_delta(build_configuration(1), target=target)
    body = Push(delta, holding, was_pulled=True)
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


def test_parts_of_two_versions_are_never_mixed() -> None:
    """Half of the routes are of today and half of yesterday.

    While the parts of version 2 are being read, version 3 is published;
    parts are asked for by content, so what is applied is 2 or 3 whole.
    """
    network = build_network(1)
    second = build_configuration(2, services=('casefiles', 'intake'))
    third = build_configuration(
        3,
        services=('casefiles', 'intake'),
        within_ms=99,
    )
    hidden = second.blobs['intake']
    network.source.show(second)
    network.source.blobs.pop(second.entries['intake'])
    network.read_source(A)
    network.source.show(third)
    network.read_source(A)
    late = messages.SourceBlobs(kind=Kind.configuration, blobs=(hidden,))
    network.tell(A, late)
    held = network.nodes[A].state.stores[Kind.configuration].held
    assert held.digest == third.digest
    assert network.nodes[A].seen[Kind.configuration] == [1, 3]
