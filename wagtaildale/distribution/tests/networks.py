"""Builders of small fleets for the tests of distribution."""

from __future__ import annotations

from typing import TYPE_CHECKING

from wagtaildale.testing.builders import build_configuration
from wagtaildale.testing.network import FakeNetwork, FakeNode
from wagtaildale.types import DocumentKind

if TYPE_CHECKING:
    from wagtaildale.distribution.tuning import Tuning
    from wagtaildale.document.model import Document

NAMES = tuple('abcdefgh')
LOOK_SECONDS = 0.2


def build_network(
    count: int = 4,
    *,
    data_centres: tuple[str, ...] = ('derby',),
    tuning: Tuning | None = None,
) -> FakeNetwork:
    """Build a fleet that holds version 1."""
    network = FakeNetwork(
        NAMES[:count],
        data_centres=data_centres,
        tuning=tuning,
    )
    network.source.show(build_configuration(1))
    network.settle()
    assert_held(network, 1)
    return network


def assert_held(network: FakeNetwork, version: int) -> None:
    """Assert that every node holds a version."""
    held = {name: read_version(node) for name, node in network.nodes.items()}
    assert set(held.values()) == {version}, held


def read_version(node: FakeNode) -> int:
    """Read which configuration a node holds."""
    return node.state.stores[DocumentKind.configuration].held.version


def offer(network: FakeNetwork, document: Document) -> None:
    """Show a document to every node at once, and let it spread."""
    network.source.show(document)
    for instance in network.nodes:
        network.read_source(instance)
    network.settle()
