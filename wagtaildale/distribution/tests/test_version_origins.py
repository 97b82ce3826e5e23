"""Tests of what the log tells of the way on which a version came."""

from __future__ import annotations

from typing import TYPE_CHECKING

from wagtaildale.distribution import messages
from wagtaildale.distribution.tests.networks import build_network
from wagtaildale.document.model import make_outline
from wagtaildale.testing.builders import build_instances

if TYPE_CHECKING:
    from wagtaildale.testing.network import FakeNetwork


def list_origins(network: FakeNetwork) -> dict[str, str | None]:
    """List who gave each node its last version."""
    return {
        name: effect.origin
        for name, node in network.nodes.items()
        for effect in node.effects
        if isinstance(effect, messages.DocumentUpdated)
    }


def test_list_read_at_the_platform_is_told_from_one_of_a_peer() -> None:
    """A list is late at one node, and no log says where it stayed."""
    network = build_network()
    reader = next(name for name in network.nodes if not network.is_idle(name))
    listing = build_instances(*network.records[:-1], version=2)
    blobs = tuple(listing.blobs.values())
    read = messages.SourceRead(outline=make_outline(listing), blobs=blobs)
    network.tell(reader, read)
    assert list_origins(network) == {reader: None}
    network.deliver(0)
    origins = list_origins(network)
    assert list(origins.values()) == [None, reader]
