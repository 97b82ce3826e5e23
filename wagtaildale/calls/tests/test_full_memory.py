"""Tests of requests at a node whose memory for callers is full."""

from __future__ import annotations

import socket
from typing import TYPE_CHECKING, Final

import pytest

from wagtaildale.calls.tests.manual_loop import is_readable
from wagtaildale.calls.tests.pairs import (
    TIMEOUT_SECONDS,
    Pair,
    read_code,
    wait_until,
)
from wagtaildale.errors.codes import Code
from wagtaildale.testing.builders import SLOTS
from wagtaildale.testing.mesh import READY_PORT

if TYPE_CHECKING:
    from collections.abc import Iterator

LIMIT: Final = 400_000
BODY_BYTES: Final = 45_000
UPLOAD: Final = (
    b'POST /bookings HTTP/1.1\r\nhost: m\r\ncontent-length: %d\r\n\r\n'
    % BODY_BYTES
    + bytes(BODY_BYTES)
)
LOOKUP: Final = b'GET /files/1 HTTP/1.1\r\nhost: m\r\n\r\n'


@pytest.fixture
def crowded(pair: Pair) -> Iterator[Pair]:
    """A pair whose entry has little memory for callers."""
    pair.entry_node.calls.memory.limit_bytes = LIMIT
    yield pair
    assert not pair.entry_node.invariants.broken


def connect(pair: Pair) -> socket.socket:
    return socket.create_connection(pair.entry_node.entry, TIMEOUT_SECONDS)


def read_answer(sock: socket.socket) -> bytes:
    answer = b''
    while piece := sock.recv(65536):
        answer += piece
    return answer


def assert_refused_for_memory(answer: bytes) -> None:
    head, _end, body = answer.partition(b'\r\n\r\n')
    assert head.startswith(b'HTTP/1.1 503')
    assert b'retry-after: ' in head
    assert b'"outcome":"not-run"' in body
    assert read_code(body) is Code.memory_full


def test_unfinished_upload_is_given_up_as_not_run(crowded: Pair) -> None:
    """Unfinished uploads fill the memory, and lookups are refused."""
    uploads = [connect(crowded) for _number in range(12)]
    for upload in uploads:
        upload.sendall(UPLOAD[:-1])
    wait_until(lambda: any(map(is_readable, uploads)))
    answer = read_answer(next(filter(is_readable, uploads)))
    assert_refused_for_memory(answer)
    assert crowded.ask('GET', '/files/1')[0].status == 200
    assert crowded.backend.counts.runs == 1
    for upload in uploads:
        upload.close()


def test_upload_is_served_beside_unfinished_ones(crowded: Pair) -> None:
    """Unfinished uploads leave no room for large requests of others."""
    uploads = [connect(crowded) for _number in range(12)]
    for upload in uploads:
        upload.sendall(UPLOAD[:-1])
    wait_until(lambda: any(map(is_readable, uploads)))
    body = bytes(BODY_BYTES)
    assert crowded.ask('POST', '/bookings', body)[0].status == 200
    for upload in uploads:
        upload.close()


def test_running_upload_outlives_a_full_memory(crowded: Pair) -> None:
    """A booking that runs would be reported as not run, and sent again."""
    crowded.backend.faults.service_ms = 300
    running = connect(crowded)
    running.sendall(UPLOAD.replace(b'host', b'connection: close\r\nhost'))
    wait_until(lambda: crowded.backend.counts.runs == 1)
    uploads = [connect(crowded) for _number in range(12)]
    for upload in uploads:
        upload.sendall(UPLOAD[:-1])
    assert read_answer(running).startswith(b'HTTP/1.1 200')
    assert crowded.backend.counts.runs == 1
    for upload in uploads:
        upload.close()


def test_request_behind_an_upload_that_is_too_large_to_collect(
    pair: Pair,
) -> None:
    """All of the upload waits for a slot, and reading never goes on."""
    memory = pair.entry_node.calls.memory
    memory.limit_bytes = 6 * LIMIT
    size = memory.max_collected_bytes + 1
    for _slot in range(SLOTS):
        pair.owner_node.hold_slot(lease_seconds=0.3)
    head = UPLOAD.replace(b'%d' % BODY_BYTES, b'%d' % size)
    with connect(pair) as sock:
        sock.sendall(head[: head.index(b'\r\n\r\n') + 4] + bytes(size))
        assert sock.recv(65536).startswith(b'HTTP/1.1 200')
        sock.sendall(LOOKUP)
        assert sock.recv(65536).startswith(b'HTTP/1.1 200')


def test_large_body_that_waited_for_a_slot_arrives(pair: Pair) -> None:
    """What came before the run is never acknowledged, and the rest waits."""
    for _slot in range(SLOTS):
        pair.owner_node.hold_slot(lease_seconds=0.05)
    response, _text = pair.ask('GET', '/files/1', bytes(1_000_000))
    assert response.status == 200


def test_node_with_a_full_memory_is_ready(crowded: Pair) -> None:
    """The platform would take the node out and send its callers elsewhere."""
    node = crowded.entry_node
    node.calls.memory.limit_bytes = 0
    assert crowded.ask('GET', '/files/1')[0].status == 503
    address = (node.record.host, READY_PORT)
    with socket.create_connection(address, TIMEOUT_SECONDS) as sock:
        sock.sendall(b'GET /ready HTTP/1.1\r\nhost: m\r\n\r\n')
        assert sock.recv(65536).startswith(b'HTTP/1.1 200')
