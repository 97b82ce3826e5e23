"""Tests of what owner and entry tell each other of a planned stop."""

from __future__ import annotations

import socket
from concurrent.futures import ThreadPoolExecutor
from typing import TYPE_CHECKING

from msgspec import Struct, msgpack

from wagtaildale.calls.frames import (
    LENGTH,
    PLAIN,
    Failed,
    Frame,
    FrameReader,
    Leaving,
    Ping,
    Pong,
    encode_frame,
)
from wagtaildale.calls.tests.pairs import (
    OUTCOME,
    PATIENCE,
    build_run,
    wait_until,
)
from wagtaildale.errors.codes import Code
from wagtaildale.types import Outcome

if TYPE_CHECKING:
    import pytest

    from wagtaildale.calls.tests.pairs import Pair

HEARING = Ping(hears_leaving=True)


class EarlierPing(Struct, frozen=True, array_like=True, tag=10):
    """A ping as builds know it that do not know ``Leaving``."""


class EntryLine:
    """One connection of an entry, a frame at a time."""

    def __init__(self, pair: Pair) -> None:
        record = pair.far.record
        address = (record.host, record.owner_port)
        self.sock = socket.create_connection(address, PATIENCE)
        self.sock.sendall(PLAIN)
        self._reader = FrameReader()

    def tell(self, frame: Frame) -> None:
        self.sock.sendall(encode_frame(frame))

    def hear(self, count: int) -> list[Frame]:
        frames: list[Frame] = []
        while len(frames) < count:
            frames += self._reader.feed(self.sock.recv(65536))
        return frames


def test_entry_is_told_when_the_owner_drains(pair: Pair) -> None:
    """An entry sends a lookup to an owner that stops a moment later.

    It is told before any refusal; what has crossed its word is refused as
    not run, on the same connection.
    """
    entry = EntryLine(pair)
    entry.tell(HEARING)
    assert entry.hear(1) == [Pong()]
    pair.far.calls.drain()
    assert entry.hear(1) == [Leaving()]
    entry.tell(build_run(idempotent=True))
    failed = entry.hear(1)[0]
    entry.sock.close()
    assert isinstance(failed, Failed)
    assert failed.answer.code is Code.draining
    assert failed.answer.outcome is Outcome.not_run


def test_entry_that_connects_to_a_leaving_owner_is_told(pair: Pair) -> None:
    pair.far.calls.drain()
    entry = EntryLine(pair)
    entry.tell(HEARING)
    assert entry.hear(2) == [Pong(), Leaving()]
    entry.sock.close()


def test_entry_of_an_earlier_build_is_not_told(pair: Pair) -> None:
    """A fleet is restarted into a new build, and lookups are lost.

    An entry of the build before takes a message that it does not know for
    damage, and drops the connection with every call on it. It hears of the
    stop by refusals, as before.
    """
    entry = EntryLine(pair)
    entry.tell(Ping())
    assert entry.hear(1) == [Pong()]
    pair.far.calls.drain()
    entry.tell(build_run(idempotent=True))
    entry.tell(Ping())
    failed, pong = entry.hear(2)
    entry.sock.close()
    assert isinstance(failed, Failed)
    assert pong == Pong()


def test_owner_of_an_earlier_build_reads_past_the_new_field() -> None:
    encoded = encode_frame(HEARING)[LENGTH.size :]
    decoded = msgpack.decode(encoded, type=EarlierPing)
    assert decoded == EarlierPing()
    earlier = msgpack.encode(EarlierPing())
    assert msgpack.decode(earlier, type=Ping) == Ping()


def test_leaving_owner_is_connected_to_only_when_it_is_needed(
    pair: Pair,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Entries connect anew, twice a second, to an owner that wants to end.

    It is still listed, and its entries open connections to all that are.
    """
    monkeypatch.setattr('wagtaildale.routing.ejection.LEAVING_SECONDS', 1e9)
    calls = pair.near.calls
    pair.ask('GET', '/files/1')
    assert pair.far.calls.nodes.open == 1
    pair.far.calls.drain()
    wait_until(lambda: not pair.far.calls.nodes.open)
    calls.loop.submit(calls.entry.refresh).result(PATIENCE)
    # The owner accepts in order: an earlier connection would show by now.
    entry = EntryLine(pair)
    entry.tell(Ping())
    assert entry.hear(1) == [Pong()]
    assert pair.far.calls.nodes.open == 1
    entry.sock.close()


def test_only_upstream_refuses_while_it_leaves(pair: Pair) -> None:
    """The last server of a service stops, and lookups wait for nothing.

    The entry has nobody else to ask: it connects, and hears "not run".
    """
    pair.ask('GET', '/files/1')
    pair.far.calls.drain()
    response, _text = pair.ask('GET', '/files/2')
    assert response.status == 503
    assert response.headers[OUTCOME].startswith('not-run')
    assert pair.backend.counts.runs == 1


def test_running_lookup_is_answered_by_a_leaving_owner(pair: Pair) -> None:
    """A lookup breaks off because its entry closes too early."""
    pair.backend.faults.service_ms = 200
    with ThreadPoolExecutor(1) as executor:
        asked = executor.submit(pair.ask, 'GET', '/files/1')
        wait_until(lambda: pair.backend.counts.runs == 1)
        pair.far.calls.drain()
        response, _text = asked.result(PATIENCE)
    assert response.status == 200
    wait_until(lambda: not pair.far.calls.nodes.open)
    assert pair.backend.counts.cancelled == 0
