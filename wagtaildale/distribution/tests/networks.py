"""Builders of small fleets for tests of distribution."""

from __future__ import annotations

from typing import TYPE_CHECKING

from wagtaildale.testing.builders import build_configuration
from wagtaildale.testing.network import FakeNetwork, FakeNode
from wagtaildale.types import DocumentKind

if TYPE_CHECKING:
    from wagtaildale.distribution.tuning import Tuning
    from wagtaildale.document.model import Document

NAMES = tuple('abcdefgh')
ROUND_SECONDS = 0.2


def build_network(
    count: int = 4,
    *,
    data_centres: tuple[str, ...] = ('derby',),
    tuning: Tuning | None = None,
) -> FakeNetwork:
    """Build a fleet whose nodes hold version 1 of the configuration."""
    network = FakeNetwork(
        NAMES[:count],
        data_centres=data_centres,
        tuning=tuning,
    )
    network.source.publish(build_configuration(1))
    network.settle()
    assert_held(network, 1)
    return network


def assert_held(network: FakeNetwork, version: int) -> None:
    """Assert that every node holds a version of the configuration."""
    held = {name: read_version(node) for name, node in network.nodes.items()}
    assert set(held.values()) == {version}, held


def read_version(node: FakeNode) -> int:
    """Return the version of the configuration that a node holds."""
    return node.state.stores[DocumentKind.configuration].held.version


def offer(network: FakeNetwork, document: Document) -> None:
    """Let every node read a document at the same time, and let it spread."""
    network.source.publish(document)
    for instance in network.nodes:
        network.read_source(instance)
    network.settle()
