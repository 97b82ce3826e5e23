"""Tests of the messages of owner and entry about a planned stop."""

from __future__ import annotations

import socket
from concurrent.futures import ThreadPoolExecutor
from typing import TYPE_CHECKING

from msgspec import Struct, msgpack

from wagtaildale.calls.tests.pairs import (
    OUTCOME_HEADER,
    TIMEOUT_SECONDS,
    build_run,
    wait_until,
)
from wagtaildale.calls.wire.frames import (
    LENGTH_PREFIX,
    PLAIN,
    DrainNotice,
    Failed,
    Frame,
    FrameReader,
    Ping,
    Pong,
    encode_frame,
)
from wagtaildale.errors.codes import Code
from wagtaildale.types import Outcome

if TYPE_CHECKING:
    import pytest

    from wagtaildale.calls.tests.pairs import Pair

DRAIN_AWARE_PING = Ping(accepts_drain_notice=True)


class EarlierPing(Struct, frozen=True, array_like=True, tag=10):
    """The ping of earlier builds, which do not know ``DrainNotice``."""


class EntryConnection:
    """One connection of an entry, which the test drives frame by frame."""

    def __init__(self, pair: Pair) -> None:
        record = pair.owner_node.record
        address = (record.host, record.owner_port)
        self.sock = socket.create_connection(address, TIMEOUT_SECONDS)
        self.sock.sendall(PLAIN)
        self._reader = FrameReader()

    def send(self, frame: Frame) -> None:
        self.sock.sendall(encode_frame(frame))

    def receive(self, count: int) -> list[Frame]:
        frames: list[Frame] = []
        while len(frames) < count:
            frames += self._reader.feed(self.sock.recv(65536))
        return frames


def test_entry_is_notified_when_the_owner_drains(pair: Pair) -> None:
    """An entry sends a lookup to an owner that is about to stop.

    The owner notifies the entry before it refuses anything. A call that was
    already on its way is refused as not run, on the same connection.
    """
    entry = EntryConnection(pair)
    entry.send(DRAIN_AWARE_PING)
    assert entry.receive(1) == [
        Pong(collects_bodies=True, accepts_start_limits=True)
    ]
    pair.owner_node.calls.drain()
    assert entry.receive(1) == [DrainNotice()]
    entry.send(build_run(idempotent=True))
    failed = entry.receive(1)[0]
    entry.sock.close()
    assert isinstance(failed, Failed)
    assert failed.fields.code is Code.draining
    assert failed.fields.outcome is Outcome.not_run


def test_entry_that_connects_to_a_draining_owner_is_notified(
    pair: Pair,
) -> None:
    pair.owner_node.calls.drain()
    entry = EntryConnection(pair)
    entry.send(DRAIN_AWARE_PING)
    assert entry.receive(2) == [
        Pong(collects_bodies=True, accepts_start_limits=True),
        DrainNotice(),
    ]
    entry.sock.close()


def test_entry_of_an_earlier_build_is_not_notified(pair: Pair) -> None:
    """Lookups are lost while a fleet is updated to a new build.

    An entry of an earlier build treats an unknown message as corruption and
    drops the connection with all of its calls. It learns of the stop from
    refusals only.
    """
    entry = EntryConnection(pair)
    entry.send(Ping())
    assert entry.receive(1) == [
        Pong(collects_bodies=True, accepts_start_limits=True)
    ]
    pair.owner_node.calls.drain()
    entry.send(build_run(idempotent=True))
    entry.send(Ping())
    failed, pong = entry.receive(2)
    entry.sock.close()
    assert isinstance(failed, Failed)
    assert pong == Pong(collects_bodies=True, accepts_start_limits=True)


def test_owner_of_an_earlier_build_ignores_the_new_field() -> None:
    encoded = encode_frame(DRAIN_AWARE_PING)[LENGTH_PREFIX.size :]
    decoded = msgpack.decode(encoded, type=EarlierPing)
    assert decoded == EarlierPing()
    earlier = msgpack.encode(EarlierPing())
    assert msgpack.decode(earlier, type=Ping) == Ping()


def test_entry_connects_to_a_draining_owner_only_if_needed(
    pair: Pair,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Entries reconnect to a draining owner twice a second.

    The owner is still listed, and entries connect to every listed owner.
    """
    monkeypatch.setattr(
        'wagtaildale.routing.ejection.LEAVING_EJECTION_SECONDS', 1e9
    )
    calls = pair.entry_node.calls
    pair.ask('GET', '/files/1')
    assert pair.owner_node.calls.peer_port.open_connections == 1
    pair.owner_node.calls.drain()
    wait_until(lambda: not pair.owner_node.calls.peer_port.open_connections)
    calls.loop.submit(calls.entry.refresh).result(TIMEOUT_SECONDS)
    # The owner accepts connections in order, so an earlier one would count
    # by now.
    entry = EntryConnection(pair)
    entry.send(Ping())
    assert entry.receive(1) == [
        Pong(collects_bodies=True, accepts_start_limits=True)
    ]
    assert pair.owner_node.calls.peer_port.open_connections == 1
    entry.sock.close()


def test_only_upstream_refuses_calls_while_draining(pair: Pair) -> None:
    """Lookups wait in vain while the last server of a service stops.

    The entry has no other upstream, so it connects and gets "not run".
    """
    pair.ask('GET', '/files/1')
    pair.owner_node.calls.drain()
    response, _text = pair.ask('GET', '/files/2')
    assert response.status == 503
    assert response.headers[OUTCOME_HEADER].startswith('not-run')
    assert pair.backend.counts.runs == 1


def test_draining_owner_answers_a_running_lookup(pair: Pair) -> None:
    """A lookup is interrupted because the entry closes too early."""
    pair.backend.faults.service_ms = 200
    with ThreadPoolExecutor(1) as executor:
        asked = executor.submit(pair.ask, 'GET', '/files/1')
        wait_until(lambda: pair.backend.counts.runs == 1)
        pair.owner_node.calls.drain()
        response, _text = asked.result(TIMEOUT_SECONDS)
    assert response.status == 200
    wait_until(lambda: not pair.owner_node.calls.peer_port.open_connections)
    assert pair.backend.counts.cancelled == 0
