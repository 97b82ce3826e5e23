"""Tests of answers that their callers read late, over real sockets."""

from __future__ import annotations

import socket
import time
from typing import TYPE_CHECKING, Final

import pytest

from wagtaildale.admission.memory import (
    UNREAD_SECONDS,
    URGENT_UNREAD_SECONDS,
)
from wagtaildale.calls.tests.downloads import DownloadingEntry, join_body
from wagtaildale.calls.tests.pairs import TIMEOUT_SECONDS, Pair, wait_until
from wagtaildale.calls.wire.frames import Answered
from wagtaildale.calls.wire.windows import WINDOW_BYTES
from wagtaildale.reactor.stream import UNACKNOWLEDGED_TIMEOUT_MS
from wagtaildale.testing.builders import MESH_TEXT, SLOTS
from wagtaildale.types import CallNumber

if TYPE_CHECKING:
    from collections.abc import Iterator

# More than a window.
SIZE: Final = 600_000
PHOTOS: Final = """
[[services.classes]]
name = "photos"
methods = ["GET"]
path = "/photos/{size}"
idempotent = true
target = { within_ms = 800, percent = 99 }
deadline_ms = 60000
"""
MAX_SIZE: Final = 30_000_000
SMALL_BUFFER_BYTES: Final = 4096
LITTLE: Final = 1_000_000
CROWD: Final = 16
FAR_MS: Final = 60_000
OTHER_CALL: Final = CallNumber(99)
DEADLINE_MS: Final = 300
MILLISECONDS: Final = 1000


@pytest.fixture
def raw_entry(pair: Pair) -> Iterator[DownloadingEntry]:
    made = DownloadingEntry(pair)
    yield made
    made.close()
    assert not pair.owner_node.invariants.broken


def read_answer(sock: socket.socket) -> bytes:
    answer = b''
    while piece := sock.recv(65_536):
        answer += piece
    return answer


def open_unread(pair: Pair) -> socket.socket:
    """Ask for more than the kernel takes, and don't read it."""
    pair.entry_node.publish(MESH_TEXT + PHOTOS)
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER_BYTES)
    sock.connect(pair.entry_node.entry)
    sock.sendall(b'GET /photos/%d HTTP/1.1\r\nhost: m\r\n\r\n' % MAX_SIZE)
    return sock


def test_slot_is_free_while_the_caller_reads(
    pair: Pair, raw_entry: DownloadingEntry
) -> None:
    """Callers that don't read hold all slots of an idle server."""
    raw_entry.ask(size=SIZE, bulk=False)
    frames = [raw_entry.receive()]
    wait_until(lambda: not pair.owner_node.gate.state.running)
    assert pair.owner_node.calls.active_calls == 1
    assert pair.owner_node.calls.memory.held_bytes > SIZE / 2
    raw_entry.acknowledge(frames[0])
    frames += raw_entry.receive_response()
    assert len(join_body(frames)) > SIZE
    wait_until(lambda: not pair.owner_node.calls.active_calls)
    assert not pair.owner_node.calls.memory.held_bytes


def test_answer_is_delivered_after_its_deadline(
    raw_entry: DownloadingEntry,
) -> None:
    """An answer that is being read is cut at its deadline."""
    raw_entry.ask(size=SIZE, bulk=False, remaining_ms=DEADLINE_MS)
    frames = [raw_entry.receive()]
    time.sleep(2 * DEADLINE_MS / MILLISECONDS)
    raw_entry.acknowledge(frames[0])
    frames += raw_entry.receive_response()
    assert len(join_body(frames)) > SIZE


def test_answer_behind_another_one_arrives_whole(pair: Pair) -> None:
    """A pipelined download stops once it has used up the entry's window."""
    pair.entry_node.publish(MESH_TEXT + PHOTOS)
    pair.backend.faults.service_ms = 300
    first = b'GET /files/1 HTTP/1.1\r\nhost: m\r\n\r\n'
    last = (
        b'GET /photos/%d HTTP/1.1\r\nhost: m\r\nconnection: close\r\n\r\n'
        % SIZE
    )
    with socket.socket() as sock:
        # The kernel takes all that has waited at once.
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4 * SIZE)
        sock.settimeout(TIMEOUT_SECONDS)
        sock.connect(pair.entry_node.entry)
        sock.sendall(first)
        wait_until(lambda: pair.backend.counts.runs == 1)
        pair.backend.faults.service_ms = 0
        sock.sendall(last)
        assert len(read_answer(sock)) > SIZE


@pytest.mark.parametrize('limit_bytes', [LITTLE, 4 * LITTLE])
def test_unread_answers_give_way_to_others(
    pair: Pair, raw_entry: DownloadingEntry, limit_bytes: int
) -> None:
    """Answers that can't be held keep all slots until their deadline."""
    pair.owner_node.calls.memory.limit_bytes = limit_bytes
    for number in range(1, CROWD + 1):
        raw_entry.ask(
            size=SIZE,
            bulk=False,
            call=CallNumber(number),
            remaining_ms=FAR_MS,
            within_ms=FAR_MS,
        )
    state = pair.owner_node.gate.state
    wait_until(lambda: len(state.running) >= SLOTS - state.reserved_slots)
    raw_entry.ask(bulk=False, call=OTHER_CALL, remaining_ms=FAR_MS)
    frame = raw_entry.receive()
    while getattr(frame, 'call', None) != OTHER_CALL:
        frame = raw_entry.receive()
    assert isinstance(frame, Answered)


def test_answer_waits_for_its_caller_in_calm(
    pair: Pair, raw_entry: DownloadingEntry
) -> None:
    """An answer that can't be held is cut although nobody needs its slot."""
    pair.owner_node.calls.memory.limit_bytes = LITTLE
    raw_entry.ask(size=SIZE, bulk=False, remaining_ms=FAR_MS)
    frames = [raw_entry.receive()]
    time.sleep(2 * UNREAD_SECONDS)
    raw_entry.acknowledge(frames[0])
    frames += raw_entry.receive_response()
    assert len(join_body(frames)) > SIZE


def test_time_of_the_caller_does_not_count_for_the_server(
    pair: Pair, raw_entry: DownloadingEntry
) -> None:
    """Callers that read late make their server look slow."""
    pair.owner_node.calls.memory.limit_bytes = LITTLE
    raw_entry.ask(size=SIZE, bulk=False, remaining_ms=FAR_MS)
    frames = [raw_entry.receive()]
    time.sleep(UNREAD_SECONDS)
    raw_entry.acknowledge(frames[0])
    frames += raw_entry.receive_response()
    state = pair.owner_node.gate.state
    wait_until(lambda: not state.running)
    assert state.service_seconds < UNREAD_SECONDS / 2


def test_unread_answer_is_charged(pair: Pair) -> None:
    """What waits for callers to read is missing in the account."""
    memory = pair.entry_node.calls.memory
    with open_unread(pair):
        wait_until(lambda: memory.held_bytes > WINDOW_BYTES)
    wait_until(lambda: not memory.held_bytes)


def test_unread_connection_gives_way_where_memory_is_short(
    pair: Pair,
) -> None:
    """Callers that don't read keep the memory of their node."""
    memory = pair.entry_node.calls.memory
    with open_unread(pair):
        wait_until(lambda: memory.held_bytes > WINDOW_BYTES)
        memory.limit_bytes = WINDOW_BYTES
        wait_until(lambda: not memory.held_bytes)


def test_lookup_is_served_beside_unread_answers(pair: Pair) -> None:
    """Callers that don't read fill the memory, and lookups are refused."""
    memory = pair.entry_node.calls.memory
    with open_unread(pair):
        wait_until(lambda: memory.held_bytes > WINDOW_BYTES)
        memory.limit_bytes = WINDOW_BYTES
        time.sleep(URGENT_UNREAD_SECONDS)
        assert pair.ask('GET', '/files/1')[0].status == 200


def test_caller_that_pauses_gets_its_whole_answer(pair: Pair) -> None:
    """The kernel resets callers that read nothing for 3 s."""
    with open_unread(pair) as sock:
        time.sleep(1 + UNACKNOWLEDGED_TIMEOUT_MS / MILLISECONDS)
        received = 0
        while received < MAX_SIZE:
            piece = sock.recv(65_536)
            assert piece
            received += len(piece)
