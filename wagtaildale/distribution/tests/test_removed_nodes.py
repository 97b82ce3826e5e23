"""Tests of the nodes beside servers that are removed from the list."""

from __future__ import annotations

from msgspec import structs

from wagtaildale.distribution import messages
from wagtaildale.distribution.tests.networks import build_network
from wagtaildale.distribution.tuning import make_tuning
from wagtaildale.distribution.wire import Push
from wagtaildale.testing.builders import build_instances
from wagtaildale.types import DocumentKind

REMOVED_PORT = 9082
MANY_NODES = 8


def test_node_of_a_removed_server_is_told_at_once() -> None:
    """A node sends its callers to its own server after others have stopped."""
    network = build_network(MANY_NODES, tuning=make_tuning(apply_seconds=2.0))
    *remaining, removed = network.records
    moved = structs.replace(removed, control_port=REMOVED_PORT)
    network.source.publish(build_instances(*remaining, moved, version=2))
    network.settle()
    network.source.publish(build_instances(*remaining, version=3))
    reader = next(name for name in network.nodes if not network.is_idle(name))
    network.read_source(reader)
    told = [
        effect
        for effect in network.nodes[reader].effects
        if isinstance(effect, messages.SendSeed)
    ]
    assert [effect.address for effect in told] == [moved.control_address]
    body = told[0].body
    assert isinstance(body, Push)
    assert body.delta.kind is DocumentKind.instances
    assert body.delta.version == 3
