"""Tests of requests that follow a large one on the same connection."""

from __future__ import annotations

import socket
import time
from contextlib import closing
from itertools import product
from typing import TYPE_CHECKING, Final

import pytest

from wagtaildale.calls.entry.bodies import MAX_BUFFERED_BYTES, MIN_READ_BYTES
from wagtaildale.calls.owner.backend_run import (
    MAX_BUFFERED_BYTES as MAX_RUN_BYTES,
)
from wagtaildale.calls.tests.pairs import TIMEOUT_SECONDS, Pair, wait_until
from wagtaildale.calls.wire.windows import WINDOW_BYTES
from wagtaildale.reactor.stream import HIGH_WATER_BYTES
from wagtaildale.testing.builders import MESH_TEXT, SLOTS

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

SMALL_MEMORY_BYTES: Final = 6_400_000
COLLECTED_BYTES: Final = 800_000
HELD_SECONDS: Final = 0.2
PAUSE_SECONDS: Final = 0.1
PACKET_BYTES: Final = 1400
SMALL_SEGMENT_BYTES: Final = 536
SMALL_BUFFER_BYTES: Final = 4096
LARGE_BUFFER_BYTES: Final = 4_000_000
PHOTOS: Final = """
[[services.classes]]
name = "photos"
methods = ["GET"]
path = "/photos/{size}"
idempotent = true
target = { within_ms = 800, percent = 99 }
deadline_ms = 5000
"""
LOOKUP: Final = b'GET /files/1 HTTP/1.1\r\nhost: m\r\n\r\n'
UPLOAD_HEAD: Final = b'POST /bookings HTTP/1.1\r\nhost: m\r\n'
SUCCESS: Final = b'HTTP/1.1 200'
UPLOAD_SIZES: Final = (
    *(MIN_READ_BYTES + more for more in (-1, 0, 1)),
    *(MAX_BUFFERED_BYTES + more for more in (-1, 0, 1)),
    2 * MAX_BUFFERED_BYTES + 1,
    *(COLLECTED_BYTES + more for more in (-1, 0, 1)),
    COLLECTED_BYTES + MAX_BUFFERED_BYTES,
    3 * COLLECTED_BYTES,
)
ANSWER_SIZES: Final = (
    *(MAX_RUN_BYTES + more for more in (-200, 0, 1)),
    *(WINDOW_BYTES + more for more in (-200, 0, 1)),
    HIGH_WATER_BYTES + WINDOW_BYTES,
    3 * HIGH_WATER_BYTES,
)


def send_at_once(sock: socket.socket, body: bytes) -> None:
    sock.sendall(frame_by_length(body) + body)


def send_small_packets(sock: socket.socket, body: bytes) -> None:
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    request = frame_by_length(body) + body
    for begin in range(0, len(request), PACKET_BYTES):
        sock.sendall(request[begin : begin + PACKET_BYTES])


def send_with_pauses(sock: socket.socket, body: bytes) -> None:
    request = frame_by_length(body) + body
    half = len(request) // 2
    for part in (request[:half], request[half:-1], request[-1:]):
        sock.sendall(part)
        time.sleep(PAUSE_SECONDS)


def send_small_chunks(sock: socket.socket, body: bytes) -> None:
    sock.sendall(UPLOAD_HEAD + b'transfer-encoding: chunked\r\n\r\n')
    chunks = [
        b'%x\r\n%b\r\n' % (len(piece), piece)
        for piece in cut(body, PACKET_BYTES // 10)
    ]
    sock.sendall(b''.join(chunks) + b'0\r\n\r\n')


def cut(body: bytes, size: int) -> Iterator[bytes]:
    for begin in range(0, len(body), size):
        yield body[begin : begin + size]


def frame_by_length(body: bytes) -> bytes:
    return UPLOAD_HEAD + b'content-length: %d\r\n\r\n' % len(body)


def connect(
    pair: Pair, *, buffer_bytes: int, segment_bytes: int = 0
) -> socket.socket:
    sock = socket.socket()
    sock.settimeout(TIMEOUT_SECONDS)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, buffer_bytes)
    if segment_bytes:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, segment_bytes)
    sock.connect(pair.entry_node.entry)
    return sock


def receive_answer(sock: socket.socket) -> bytes:
    received = b''
    while b'\r\n\r\n' not in received:
        piece = sock.recv(1)
        assert piece
        received += piece
    for line in received.lower().split(b'\r\n'):
        if line.startswith(b'content-length:'):
            left = int(line.partition(b':')[2])
    while left:
        piece = sock.recv(min(left, 65_536))
        assert piece
        left -= len(piece)
    return received


@pytest.mark.parametrize(
    ('send', 'size'),
    list(
        product(
            (
                send_at_once,
                send_small_packets,
                send_with_pauses,
                send_small_chunks,
            ),
            UPLOAD_SIZES,
        )
    ),
)
def test_request_behind_an_upload_is_answered(
    pair: Pair, send: Callable[[socket.socket, bytes], None], size: int
) -> None:
    """Nobody read on after a body that had stopped the reading."""
    memory = pair.entry_node.calls.memory
    memory.limit_bytes = SMALL_MEMORY_BYTES
    assert memory.max_collected_bytes == COLLECTED_BYTES
    for _slot in range(SLOTS):
        pair.owner_node.hold_slot(lease_seconds=HELD_SECONDS)
    with connect(pair, buffer_bytes=LARGE_BUFFER_BYTES) as sock:
        send(sock, bytes(size))
        assert receive_answer(sock).startswith(SUCCESS)
        sock.sendall(LOOKUP)
        assert receive_answer(sock).startswith(SUCCESS)


@pytest.mark.parametrize('size', UPLOAD_SIZES)
def test_request_sent_with_an_upload_is_answered(pair: Pair, size: int) -> None:
    """A request that is pipelined behind a large body was never read."""
    pair.entry_node.calls.memory.limit_bytes = SMALL_MEMORY_BYTES
    with connect(pair, buffer_bytes=LARGE_BUFFER_BYTES) as sock:
        sock.sendall(frame_by_length(bytes(size)) + bytes(size) + LOOKUP)
        assert receive_answer(sock).startswith(SUCCESS)
        assert receive_answer(sock).startswith(SUCCESS)


@pytest.mark.parametrize('size', ANSWER_SIZES)
@pytest.mark.parametrize('pause_seconds', [0, PAUSE_SECONDS])
@pytest.mark.parametrize('segment_bytes', [0, SMALL_SEGMENT_BYTES])
@pytest.mark.parametrize(
    'buffer_bytes', [SMALL_BUFFER_BYTES, LARGE_BUFFER_BYTES]
)
def test_answer_behind_another_one_is_whole(
    pair: Pair,
    size: int,
    pause_seconds: float,
    segment_bytes: int,
    buffer_bytes: int,
) -> None:
    """An answer that waited its turn used up its window and was cut."""
    pair.entry_node.publish(MESH_TEXT + PHOTOS)
    pair.backend.faults.service_ms = 100
    download = LOOKUP.replace(b'/files/1', b'/photos/%d' % size)
    sock = connect(pair, buffer_bytes=buffer_bytes, segment_bytes=segment_bytes)
    with closing(sock):
        sock.sendall(LOOKUP)
        wait_until(lambda: pair.backend.counts.runs == 1)
        pair.backend.faults.service_ms = 0
        sock.sendall(download + LOOKUP)
        assert receive_answer(sock).startswith(SUCCESS)
        time.sleep(pause_seconds)
        assert receive_answer(sock).startswith(SUCCESS)
        assert receive_answer(sock).startswith(SUCCESS)
