"""Tests of answers that their callers read late, over real sockets."""

from __future__ import annotations

import socket
import time
from typing import TYPE_CHECKING, Final

import pytest

from wagtaildale.calls.tests.downloads import DownloadingEntry, join_body
from wagtaildale.calls.tests.pairs import TIMEOUT_SECONDS, Pair, wait_until
from wagtaildale.calls.wire.windows import WINDOW_BYTES
from wagtaildale.testing.builders import MESH_TEXT

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
# More than the kernel takes.
MAX_SIZE: Final = 30_000_000
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


def test_unread_answer_is_charged(pair: Pair) -> None:
    """What waits for callers to read is missing in the account."""
    memory = pair.entry_node.calls.memory
    pair.entry_node.publish(MESH_TEXT + PHOTOS)
    with socket.socket() as sock:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        sock.connect(pair.entry_node.entry)
        sock.sendall(b'GET /photos/%d HTTP/1.1\r\nhost: m\r\n\r\n' % MAX_SIZE)
        wait_until(lambda: memory.held_bytes > WINDOW_BYTES)
    wait_until(lambda: not memory.held_bytes)
