"""Tests that what a call held is freed as it ends, however it ends."""

from __future__ import annotations

import gc
import socket
from collections import Counter
from typing import TYPE_CHECKING, Final

import pytest

from wagtaildale.calls.entry.attempt import Attempt
from wagtaildale.calls.entry.entry_call import EntryCall
from wagtaildale.calls.http.caller_connection import CallerConnection
from wagtaildale.calls.http.exchanges import Exchange
from wagtaildale.calls.http.parsing import Message
from wagtaildale.calls.owner.backend_response import BackendResponse
from wagtaildale.calls.owner.backend_run import BackendRun
from wagtaildale.calls.owner.owner_call import OwnerCall
from wagtaildale.calls.owner.response_flow import ResponseFlow
from wagtaildale.calls.tests.pairs import TIMEOUT_SECONDS, Pair, wait_until
from wagtaildale.reactor.stream import Stream
from wagtaildale.testing.builders import MESH_TEXT

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

OF_CALLS: Final = (
    Attempt,
    BackendResponse,
    BackendRun,
    CallerConnection,
    EntryCall,
    Exchange,
    Message,
    OwnerCall,
    ResponseFlow,
)
PHOTOS: Final = """
[[services.classes]]
name = "photos"
methods = ["GET"]
path = "/photos/{size}"
idempotent = true
target = { within_ms = 200, percent = 99 }
deadline_ms = 400
"""
SMALL_BUFFER_BYTES: Final = 4096
CALLS: Final = 3


@pytest.fixture
def without_collector() -> Iterator[None]:
    gc.collect()
    gc.disable()
    yield
    gc.enable()


def count_objects() -> Counter[str]:
    return Counter(
        type(each).__name__ for each in gc.get_objects() if is_of_call(each)
    )


def is_of_call(candidate: object) -> bool:
    if isinstance(candidate, Stream):
        # Open ones wait for the next request to the server.
        return candidate.is_closed
    return isinstance(candidate, OF_CALLS)


def send(pair: Pair, request: bytes) -> socket.socket:
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER_BYTES)
    sock.settimeout(TIMEOUT_SECONDS)
    sock.connect(pair.entry_node.entry)
    sock.sendall(request)
    return sock


def ask(pair: Pair, path: str, *, body: bytes = b'') -> socket.socket:
    method = 'POST' if body else 'GET'
    head = f'{method} {path} HTTP/1.1\r\nhost: m\r\n'
    framing = f'content-length: {len(body)}\r\n\r\n'
    return send(pair, (head + framing).encode() + body)


def leave_while_it_runs(pair: Pair) -> None:
    pair.backend.faults.service_ms = 300
    with ask(pair, '/files/1'):
        wait_until(lambda: pair.owner_node.calls.active_calls > 0)


def leave_a_booking(pair: Pair) -> None:
    pair.backend.faults.service_ms = 300
    with ask(pair, '/bookings', body=b'x' * 100_000):
        wait_until(lambda: pair.owner_node.calls.active_calls > 0)


def leave_an_upload(pair: Pair) -> None:
    request = (
        b'POST /bookings HTTP/1.1\r\nhost: m\r\ncontent-length: 1000000\r\n\r\n'
    )
    with send(pair, request + b'x' * 700_000):
        wait_until(lambda: pair.entry_node.calls.active_calls > 0)


def leave_a_long_answer(pair: Pair) -> None:
    with ask(pair, '/photos/5000000') as sock:
        assert sock.recv(1000)


def read_too_slowly(pair: Pair) -> None:
    with ask(pair, '/photos/5000000') as sock:
        assert sock.recv(1000)
        wait_until(lambda: not pair.owner_node.calls.active_calls)


def be_answered(pair: Pair) -> None:
    with ask(pair, '/files/1') as sock:
        assert sock.recv(1000).startswith(b'HTTP/1.1 200')


def run_out_of_time(pair: Pair) -> None:
    pair.backend.faults.service_ms = 600
    with ask(pair, '/photos/100') as sock:
        assert sock.recv(1000).startswith(b'HTTP/1.1 50')


def send_a_malformed_head(pair: Pair) -> None:
    with send(pair, b'GET /files/1 HTTP/1.1\r\nhost m\r\n\r\n') as sock:
        assert sock.recv(1000).startswith(b'HTTP/1.1 400')


def send_a_malformed_body(pair: Pair) -> None:
    head = b'POST /bookings HTTP/1.1\r\nhost: m\r\ntransfer-encoding: chunked'
    with send(pair, head + b'\r\n\r\n3\r\nabc\r\nno size\r\n') as sock:
        assert sock.recv(1000).startswith(b'HTTP/1.1 400')


def send_too_much(pair: Pair) -> None:
    head = b'POST /bookings HTTP/1.1\r\nhost: m\r\ncontent-length: %d\r\n\r\n'
    with send(pair, head % 10**11) as sock:
        assert sock.recv(1000).startswith(b'HTTP/1.1 413')


def be_answered_with_an_error(pair: Pair) -> None:
    pair.backend.faults.error = True
    with ask(pair, '/files/1') as sock:
        assert sock.recv(1000).startswith(b'HTTP/1.1 50')


def lose_the_answer(pair: Pair) -> None:
    pair.backend.faults.close_share = 1
    with ask(pair, '/files/1') as sock:
        assert sock.recv(1000).startswith(b'HTTP/1.1 50')


def send_two_at_once(pair: Pair) -> None:
    request = b'GET /files/1 HTTP/1.1\r\nhost: m\r\n\r\n'
    with send(pair, request * 2) as sock:
        assert sock.recv(1000).startswith(b'HTTP/1.1 200')


@pytest.mark.parametrize(
    'behave',
    [
        send_a_malformed_head,
        send_a_malformed_body,
        send_too_much,
        be_answered_with_an_error,
        lose_the_answer,
        send_two_at_once,
        be_answered,
        leave_while_it_runs,
        leave_a_booking,
        leave_an_upload,
        leave_a_long_answer,
        read_too_slowly,
        run_out_of_time,
    ],
)
@pytest.mark.usefixtures('without_collector')
def test_ended_calls_are_freed_at_once(
    pair: Pair, behave: Callable[[Pair], None]
) -> None:
    """Answers that were cut stayed in memory until a rare collection."""
    pair.entry_node.publish(MESH_TEXT + PHOTOS)
    behave(pair)
    wait_until(lambda: not pair.owner_node.calls.active_calls)
    before = count_objects()
    for _ in range(CALLS):
        behave(pair)
    wait_until(lambda: not count_objects() - before)
