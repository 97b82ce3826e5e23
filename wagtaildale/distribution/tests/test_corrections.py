"""Tests of lists that differ under one version of the platform."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest
from msgspec import structs

from wagtaildale.distribution import messages
from wagtaildale.distribution.tests.networks import build_network
from wagtaildale.distribution.wire import Push
from wagtaildale.document.model import make_outline
from wagtaildale.testing.builders import (
    build_configuration,
    build_instances,
)
from wagtaildale.types import DocumentKind

if TYPE_CHECKING:
    from wagtaildale.document.model import Document
    from wagtaildale.testing.network import FakeNetwork
    from wagtaildale.types import InstanceId


def read_document(
    network: FakeNetwork, name: InstanceId, listing: Document
) -> None:
    """Let a node read a document from the platform."""
    blobs = tuple(listing.blobs.values())
    read = messages.SourceRead(outline=make_outline(listing), blobs=blobs)
    network.dispatch(name, read)


def list_holders(network: FakeNetwork, listing: Document) -> set[InstanceId]:
    """List the nodes that hold the contents of a list."""
    return {
        name
        for name, node in network.nodes.items()
        if node.state.stores[DocumentKind.instances].held.digest
        == listing.digest
    }


@pytest.mark.parametrize('is_first', [False, True])
def test_list_that_was_read_whole_corrects_the_others(
    *, is_first: bool
) -> None:
    """A fleet keeps a server that left under the version without it.

    A reader missed its removal and told all nodes of a later change.
    """
    network = build_network()
    first, *others = network.nodes
    wrong = build_instances(*network.records, version=2)
    right = structs.replace(
        build_instances(*network.records[:-1], version=2), is_whole=True
    )
    network.source.publish(wrong)
    network.settle()
    assert list_holders(network, wrong) == set(network.nodes)
    network.source.publish(right)
    read_document(network, first if is_first else others[-1], right)
    network.settle()
    assert list_holders(network, right) == set(network.nodes)


def test_list_of_changes_does_not_replace_one_that_was_read_whole() -> None:
    """A reader that missed a removal brings the server back."""
    network = build_network()
    wrong = build_instances(*network.records, version=2)
    right = structs.replace(
        build_instances(*network.records[:-1], version=2), is_whole=True
    )
    network.source.publish(right)
    network.settle()
    for name in network.nodes:
        read_document(network, name, wrong)
        network.flush()
    assert list_holders(network, right) == set(network.nodes)


def test_configuration_of_a_reused_number_is_not_replaced() -> None:
    """A node changes its routes without a new version."""
    network = build_network()
    network.source.publish(build_configuration(2))
    network.settle()
    other = structs.replace(build_configuration(2, within_ms=99), is_whole=True)
    for name in network.nodes:
        read_document(network, name, other)
    network.flush()
    held = {
        node.state.stores[DocumentKind.configuration].held.digest
        for node in network.nodes.values()
    }
    assert held == {network.source.published[DocumentKind.configuration].digest}


def test_comparison_that_finds_nothing_new_is_only_a_confirmation() -> None:
    """Each comparison sends an unchanged list to all nodes."""
    network = build_network()
    network.settle()
    network.sent.clear()
    name = next(iter(network.nodes))
    later = structs.replace(
        build_instances(*network.records, version=9), is_whole=True
    )
    read_document(network, name, later)
    network.flush()
    assert not list_holders(network, later)
    assert not network.sent[Push]
    freshness = network.nodes[name].state.freshness[DocumentKind.instances]
    assert freshness.confirmed_at == network.now
