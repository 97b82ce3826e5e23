"""Tests of request bodies that cross a line on credits, over real sockets."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

import pytest
from msgspec import json, structs

from wagtaildale.calls.tests.pairs import (
    Pair,
    build_run,
    wait_until,
)
from wagtaildale.calls.tests.raw_entries import RawEntry
from wagtaildale.calls.wire.frames import (
    Answered,
    BodyPiece,
    Failed,
    Frame,
    Run,
    WindowUpdate,
)
from wagtaildale.errors.codes import Code
from wagtaildale.types import CallNumber, Outcome

if TYPE_CHECKING:
    from collections.abc import Iterator

LINE_MBPS: Final = 35.0
BODY: Final = b'x' * 100_000
FIRST_BYTES: Final = 4096
CALL: Final = CallNumber(1)


class UploadingEntry(RawEntry):
    """An entry that sends a large request."""

    def begin(self, *, length: int = 100_000, remaining_ms: int = 4000) -> None:
        """Send a run message with the beginning of a body."""
        run = build_run(remaining_ms=remaining_ms)
        fields = structs.replace(run.fields, within_ms=remaining_ms)
        self.send(
            Run(
                CALL,
                fields,
                run.method,
                run.target,
                run.headers,
                BODY[:FIRST_BYTES],
                more=True,
                length=length,
            ),
        )

    def receive_end(self) -> Frame:
        """Receive the first message that is no credit."""
        frame = self.receive()
        while isinstance(frame, WindowUpdate):
            frame = self.receive()
        return frame

    def send_rest(self) -> Frame:
        """Send the rest on credits, and receive what follows them."""
        sent = FIRST_BYTES
        frame = self.receive()
        while isinstance(frame, WindowUpdate):
            piece = BODY[sent : sent + frame.count]
            sent += len(piece)
            self.send(BodyPiece(CALL, piece, more=sent < len(BODY)))
            frame = self.receive()
        assert sent == len(BODY)
        return frame


@pytest.fixture
def pair() -> Iterator[Pair]:
    made = Pair(line_mbps=LINE_MBPS)
    yield made
    made.close()


@pytest.fixture
def raw_entry(pair: Pair) -> Iterator[UploadingEntry]:
    made = UploadingEntry(pair)
    yield made
    made.close()


@pytest.mark.parametrize('size', [0, 4096, 4097, 65_536, 100_000, 524_288])
@pytest.mark.parametrize('method', ['POST', 'GET'])
def test_server_gets_the_whole_body(pair: Pair, size: int, method: str) -> None:
    """A body that is sent in parts arrives short or twice."""
    path = '/bookings' if method == 'POST' else '/files/1'
    pair.ask('GET', '/files/1')
    response, text = pair.ask(method, path, b'y' * size)
    assert response.status == 200
    assert json.decode(text)['bytes'] == size


def test_no_slot_is_held_while_a_body_arrives(
    pair: Pair, raw_entry: UploadingEntry
) -> None:
    """Uploads on a slow line hold all slots of an idle server."""
    raw_entry.begin()
    credit = raw_entry.receive()
    assert isinstance(credit, WindowUpdate)
    assert not pair.owner_node.gate.state.running
    assert pair.ask('GET', '/files/1')[0].status == 200


def test_body_on_credits_is_answered(
    pair: Pair, raw_entry: UploadingEntry
) -> None:
    raw_entry.begin()
    answer = raw_entry.send_rest()
    assert isinstance(answer, Answered)
    assert json.decode(answer.body)['bytes'] == len(BODY)


def test_body_that_cannot_cross_in_time_is_refused_before_it_is_sent(
    pair: Pair, raw_entry: UploadingEntry
) -> None:
    """A body crosses a slow line for nothing."""
    raw_entry.begin(length=500_000, remaining_ms=50)
    refusal = raw_entry.receive()
    assert isinstance(refusal, Failed)
    assert refusal.fields.code is Code.overloaded
    assert refusal.fields.outcome is Outcome.not_run


def test_body_longer_than_announced_is_refused(
    raw_entry: UploadingEntry,
) -> None:
    """A sender ignores its credits and the length that it announced."""
    raw_entry.begin(length=FIRST_BYTES + 10)
    raw_entry.receive()
    raw_entry.send(BodyPiece(CALL, BODY, more=True))
    refusal = raw_entry.receive_end()
    assert isinstance(refusal, Failed)
    assert refusal.fields.code is Code.message_malformed
    assert refusal.fields.outcome is Outcome.not_run


def test_entry_that_leaves_half_way_frees_the_line(
    pair: Pair, raw_entry: UploadingEntry
) -> None:
    """The credits of an entry that died are never used again."""
    raw_entry.begin()
    raw_entry.receive()
    line = pair.owner_node.owner.collector.line
    assert line.transfers
    raw_entry.close()
    wait_until(lambda: not line.transfers)
    assert not pair.owner_node.gate.state.running


def test_body_that_stops_half_way_ends_as_not_run(
    pair: Pair, raw_entry: UploadingEntry
) -> None:
    """A caller stops sending, and its request stays for ever."""
    raw_entry.begin(remaining_ms=400)
    frame = raw_entry.receive_end()
    assert isinstance(frame, Failed)
    assert frame.fields.outcome is Outcome.not_run
    line = pair.owner_node.owner.collector.line
    wait_until(lambda: not line.transfers)
