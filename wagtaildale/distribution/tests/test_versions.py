"""Tests of which versions nodes apply, and which they refuse."""

from __future__ import annotations

import pytest

from wagtaildale.distribution import messages
from wagtaildale.distribution.tests.networks import (
    assert_held,
    build_network,
    offer,
)
from wagtaildale.distribution.wire import Push
from wagtaildale.document.model import make_delta, make_document
from wagtaildale.errors.codes import Code
from wagtaildale.testing.builders import build_configuration, build_part
from wagtaildale.testing.network import FakeNode
from wagtaildale.types import DocumentKind, InstanceId, Version

A = InstanceId('a')
B = InstanceId('b')


def list_refusals(node: FakeNode) -> set[Code]:
    store = node.state.stores[DocumentKind.configuration]
    return {fault.code for fault in store.refused.values()}


@pytest.mark.parametrize('count', [1, 2, 5, 8])
def test_version_reaches_every_node(count: int) -> None:
    network = build_network(count)
    network.source.publish(build_configuration(2))
    network.settle()
    assert_held(network, 2)


def test_older_version_is_ignored() -> None:
    """Outdated routes come into force again.

    The platform answers from a stale copy after a newer version is in force.
    Every reader reads it, and none may apply it.
    """
    network = build_network()
    offer(network, build_configuration(5))
    offer(network, build_configuration(3, within_ms=100))
    assert_held(network, 5)


def test_dangling_route_is_refused_whole() -> None:
    """Calls are routed to a service that does not exist.

    A version is published whose route names a missing service. No node may
    apply any part of it, and all apply the next valid version.
    """
    network = build_network()
    bad = make_document(
        DocumentKind.configuration,
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
    """The whole fleet reads an invalid version again and again.

    Every watch offers it again, but its parts have to be read only once.
    """
    network = build_network(1)
    blobs = {'casefiles': build_part('casefiles', routed_to='gone')}
    bad = make_document(
        DocumentKind.configuration, version=Version(2), blobs=blobs
    )
    offer(network, bad)
    reads = network.source.reads['blobs']
    for _again in range(5):
        network.read_source(A)
    assert network.source.reads['blobs'] == reads


def test_version_number_used_twice_does_not_split_the_fleet() -> None:
    """Two halves of the fleet route differently under one version number.

    A publisher reuses a number for other content. Nodes keep the first
    content, and all apply the next number.
    """
    network = build_network()
    offer(network, build_configuration(1, within_ms=999))
    first = build_configuration(1)
    for node in network.nodes.values():
        held = node.state.stores[DocumentKind.configuration].held
        assert held.digest == first.digest
    offer(network, build_configuration(2))
    assert_held(network, 2)


def test_updates_may_arrive_out_of_order() -> None:
    """Version 2 arrives after version 3 and must not replace it.

    A node receives the later delta first, without its base, and then the
    earlier one.
    """
    network = build_network(2)
    versions = [build_configuration(number) for number in (1, 2, 3)]
    later = make_delta(versions[1], target=versions[2])
    earlier = make_delta(versions[0], target=versions[1])
    state = network.nodes[A].state
    holding = state.describe_holding(DocumentKind.configuration, network.now)
    network.source.publish(versions[2])
    network.nodes[B].watching.add(DocumentKind.configuration)
    network.read_source(B)
    network.in_flight.clear()
    for delta in (later, earlier):
        body = Push(delta, holding)
        network.dispatch(A, network.wrap(B, to=A, body=body))
    network.settle()
    assert_held(network, 3)
    assert network.nodes[A].held_versions[DocumentKind.configuration] == sorted(
        network.nodes[A].held_versions[DocumentKind.configuration],
    )


def test_corrupt_delta_changes_nothing() -> None:
    """A part is corrupted in transit, and calls use a route never published."""
    network = build_network(2)
    target = build_configuration(2, within_ms=5)
    delta = make_delta(build_configuration(1), target=target)
    delta.changed['casefiles'] = build_part('casefiles', within_ms=6)
    state = network.nodes[A].state
    holding = state.describe_holding(DocumentKind.configuration, network.now)
    network.dispatch(A, network.wrap(B, to=A, body=Push(delta, holding)))
    assert_held(network, 1)


def test_missing_part_keeps_old_version_in_force() -> None:
    """A manifest names a part that the platform lacks.

    No peer has the part either. The previous version has to stay in force as a
    whole until the part is available.
    """
    network = build_network(3)
    document = build_configuration(2, within_ms=77)
    network.source.publish(document)
    hidden = dict(network.source.blobs)
    network.source.blobs.clear()
    for _second in range(10):
        network.run_round()
    assert_held(network, 1)
    network.source.blobs.update(hidden)
    network.settle()
    assert_held(network, 2)


def test_parts_of_two_versions_are_never_mixed() -> None:
    """Half of the routes in force are new and half are outdated.

    Version 3 is published while the parts of version 2 are being read. Parts
    are requested by content hash, so version 2 or 3 is applied as a whole.
    """
    network = build_network(1)
    second = build_configuration(2, services=('casefiles', 'intake'))
    third = build_configuration(
        3,
        services=('casefiles', 'intake'),
        within_ms=99,
    )
    hidden = second.blobs['intake']
    network.source.publish(second)
    network.source.blobs.pop(second.entries['intake'])
    network.read_source(A)
    network.source.publish(third)
    network.read_source(A)
    late = messages.SourceBlobs(
        kind=DocumentKind.configuration, blobs=(hidden,)
    )
    network.dispatch(A, late)
    held = network.nodes[A].state.stores[DocumentKind.configuration].held
    assert held.digest == third.digest
    assert network.nodes[A].held_versions[DocumentKind.configuration] == [1, 3]
