"""Tests of the origin that is logged for an applied version."""

from __future__ import annotations

from typing import TYPE_CHECKING

from wagtaildale.distribution import messages
from wagtaildale.distribution.tests.networks import build_network
from wagtaildale.document.model import make_outline
from wagtaildale.testing.builders import build_instances

if TYPE_CHECKING:
    from wagtaildale.testing.network import FakeNetwork


def list_origins(network: FakeNetwork) -> dict[str, str | None]:
    """Map each node to the origin of its last version."""
    return {
        name: effect.origin
        for name, node in network.nodes.items()
        for effect in node.effects
        if isinstance(effect, messages.DocumentUpdated)
    }


def test_origin_distinguishes_the_platform_from_a_peer() -> None:
    """A list is late at one node, and no log shows where it was delayed."""
    network = build_network()
    reader = next(name for name in network.nodes if not network.is_idle(name))
    listing = build_instances(*network.records[:-1], version=2)
    blobs = tuple(listing.blobs.values())
    read = messages.SourceRead(outline=make_outline(listing), blobs=blobs)
    network.dispatch(reader, read)
    assert list_origins(network) == {reader: None}
    network.deliver(0)
    origins = list_origins(network)
    assert list(origins.values()) == [None, reader]
