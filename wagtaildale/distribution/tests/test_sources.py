"""Tests of the reports on a failing platform."""

from __future__ import annotations

from wagtaildale.distribution import messages
from wagtaildale.distribution.tests.networks import build_network
from wagtaildale.errors.codes import Code
from wagtaildale.testing.network import FakeNetwork
from wagtaildale.types import Digest, DocumentKind, InstanceId, Version

A = InstanceId('a')


def test_platform_outage_is_reported_once() -> None:
    """Each failed read is logged while the platform is down for a night."""
    network = build_network(1)
    failed = messages.SourceFailed(
        kind=DocumentKind.configuration,
        code=Code.source_unreachable,
        detail='down',
    )
    reported: list[Code] = []
    for _read in range(3):
        network.dispatch(A, failed)
        reported.extend(list_source_changes(network))
    answered = messages.SourceConfirmed(
        kind=DocumentKind.configuration,
        version=Version(1),
    )
    network.dispatch(A, answered)
    reported.extend(list_source_changes(network))
    assert reported == [Code.source_unreachable, Code.ok]
    recovered = network.nodes[A].effects[0]
    assert isinstance(recovered, messages.SourceChanged)
    assert recovered.failed_reads == 3


def list_source_changes(network: FakeNetwork) -> list[Code]:
    return [
        effect.code
        for effect in network.nodes[A].effects
        if isinstance(effect, messages.SourceChanged)
    ]


def test_missing_part_is_reported() -> None:
    network = build_network(1)
    read = messages.SourceBlobs(
        kind=DocumentKind.configuration,
        blobs=(),
        missing=(Digest(b'gone'),),
    )
    network.dispatch(A, read)
    assert list_source_changes(network) == [Code.part_missing]
