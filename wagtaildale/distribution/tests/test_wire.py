"""Tests of messages between nodes as bytes."""

from __future__ import annotations

import zlib

import pytest
from msgspec import structs

from wagtaildale.distribution.wire import (
    LARGEST_MESSAGE,
    BlobsSent,
    Envelope,
    SuspectsTold,
    Swap,
    decode_envelope,
    encode_envelope,
)
from wagtaildale.errors.codes import Code
from wagtaildale.membership.news import News
from wagtaildale.suspects.tests.builders import build_suspicion
from wagtaildale.testing.assertions import assert_err, assert_ok
from wagtaildale.testing.builders import build_part
from wagtaildale.types import Incarnation, InstanceId, Kind, NodeState

SENDER = News(InstanceId('a'), Incarnation(1), 0, NodeState.ready)


def build_envelope(*blobs: bytes) -> Envelope:
    body = BlobsSent(Kind.configuration, blobs)
    return Envelope(InstanceId('b'), (SENDER,), 7, body)


@pytest.mark.parametrize('count', [0, 1, 20])
def test_round_trip(count: int) -> None:
    envelope = build_envelope(*(count * [build_part()]))
    frame = encode_envelope(envelope)
    assert assert_ok(decode_envelope(frame)) == envelope


def test_parts_are_compressed() -> None:
    blobs = tuple(build_part(f's{number}') for number in range(10))
    size = sum(map(len, blobs))
    assert len(encode_envelope(build_envelope(*blobs))) < size / 2


def test_swap_is_small() -> None:
    envelope = Envelope(InstanceId('b'), (SENDER,), 1 << 60, Swap((), True))
    assert len(encode_envelope(envelope)) < 40


@pytest.mark.parametrize(
    'frame',
    [b'', b'\x78', b'\x78\x9c\x00', zlib.compress(b'x'), b'\x94\xa1b\x90\x07'],
)
def test_what_is_no_message_is_refused(frame: bytes) -> None:
    assert assert_err(decode_envelope(frame)).code is Code.message_malformed


def test_small_frame_cannot_fill_the_memory() -> None:
    """A stranger's frame of some kilobytes becomes gigabytes."""
    bomb = zlib.compress(bytes(LARGEST_MESSAGE * 2))
    assert assert_err(decode_envelope(bomb)).code is Code.message_malformed


def test_message_without_sender_is_refused() -> None:
    envelope = Envelope(InstanceId('b'), (), 1, Swap((), True))
    fault = assert_err(decode_envelope(encode_envelope(envelope)))
    assert fault.got == 'no sender'


@pytest.mark.parametrize(
    'wrong',
    [
        {'fingerprint': b'short'},
        {'clearings': -1},
        {'ends': 10**9},
        {'age_seconds': -1},
        {'nodes': ('node',) * 9},
        {'nodes': ('n' * 300,)},
    ],
)
def test_suspicion_that_makes_no_sense_is_refused(
    wrong: dict[str, object],
) -> None:
    """A node says that a million servers ended under a request."""
    suspicion = structs.replace(build_suspicion(), **wrong)
    body = SuspectsTold((suspicion,))
    envelope = Envelope(InstanceId('b'), (SENDER,), 7, body)
    refused = decode_envelope(encode_envelope(envelope))
    assert assert_err(refused).code is Code.message_malformed
