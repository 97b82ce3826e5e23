"""Tests of what a node says of its platform."""

from __future__ import annotations

from wagtaildale.distribution import messages
from wagtaildale.distribution.tests.networks import build_network
from wagtaildale.errors.codes import Code
from wagtaildale.testing.network import FakeNetwork
from wagtaildale.types import Digest, InstanceId, DocumentKind, Version

A = InstanceId('a')


def test_platform_that_fails_is_said_to_once() -> None:
    """The platform is down for a night and the log is full of it."""
    network = build_network(1)
    failed = messages.SourceFailed(
        kind=DocumentKind.configuration,
        code=Code.source_unreachable,
        detail='down',
    )
    said: list[Code] = []
    for _read in range(3):
        network.tell(A, failed)
        said.extend(list_source_changes(network))
    answered = messages.SourceConfirmed(
        kind=DocumentKind.configuration,
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
        kind=DocumentKind.configuration,
        blobs=(),
        missing=(Digest(b'gone'),),
    )
    network.tell(A, read)
    assert list_source_changes(network) == [Code.part_missing]
