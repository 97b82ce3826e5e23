"""Tests of callers' connections that close, or are closed, in between.

The loop is moved by hand: what a caller sends has always come before the
loop looks.
"""

from __future__ import annotations

import socket
from typing import TYPE_CHECKING, Final

import pytest

from wagtaildale.calls.addresses import Address
from wagtaildale.calls.callers import LOOK_SECONDS, CallerLimits, CallerPort
from wagtaildale.calls.responses import ResponseHead
from wagtaildale.calls.tests.hand_moved import HandMoved, is_readable
from wagtaildale.calls.tests.pairs import PATIENCE
from wagtaildale.reactor.stream import LINGER_SECONDS
from wagtaildale.timers.service import read_clock

if TYPE_CHECKING:
    from collections.abc import Iterator

    from wagtaildale.calls.exchanges import Exchange

ADDRESS: Final = Address('127.0.9.8', 8080)
REQUEST: Final = b'GET /files/1 HTTP/1.1\r\nhost: m\r\n\r\n'
LAST_REQUEST: Final = REQUEST.replace(
    b'\r\n\r\n', b'\r\nconnection: close\r\n\r\n'
)
# More than the buffers of a connection take.
LONG_BODY: Final = bytes(16_000_000)
READ_BYTES: Final = 1_000_000
# The longest alarm of a port: one that it sets again is later than this.
LONGEST_SECONDS: Final = max(LINGER_SECONDS, LOOK_SECONDS)


class Bench(HandMoved):
    """A port whose requests are all answered at once with the same body."""

    def __init__(self, *, idle_seconds: float) -> None:
        super().__init__()
        self.body = b'hi'
        self.answered = 0
        limits = CallerLimits(
            head_bytes=8192,
            body_bytes=8192,
            idle_seconds=idle_seconds,
        )
        self.port = CallerPort(
            self.loop,
            answerer=self,
            read_limits=lambda: limits,
        )
        self.port.bind(ADDRESS).unwrap()
        self.port.start()

    def close(self) -> None:
        self.port.stop()
        self.loop.close()

    def answer(self, exchange: Exchange) -> None:
        self.answered += 1
        exchange.begin(ResponseHead(status=200, headers=()), body=self.body)

    def connect(self) -> socket.socket:
        return socket.create_connection((ADDRESS.host, ADDRESS.port), PATIENCE)

    def ask(self, sock: socket.socket, request: bytes) -> None:
        """Send a request and let the port answer it."""
        wanted = self.answered + 1
        sock.sendall(request)
        self.move_until(lambda: self.answered == wanted)

    def read(self, sock: socket.socket, *, size: int) -> bytes:
        """Read an answer, at most to the connection's end."""
        taken = bytearray()
        while len(taken) < size:
            self.await_bytes(sock)
            piece = sock.recv(READ_BYTES)
            if not piece:
                break
            taken += piece
        return bytes(taken)

    def await_bytes(self, sock: socket.socket) -> None:
        """Let the port work until the caller has something to read."""
        self.move_until(lambda: is_readable(sock))

    def let_time_pass(self) -> None:
        """Ring every alarm that is set, before any socket is looked at."""
        self.loop.alarms.fire_due(read_clock() + LONGEST_SECONDS)


@pytest.fixture
def bench(idle_seconds: float) -> Iterator[Bench]:
    made = Bench(idle_seconds=idle_seconds)
    yield made
    made.close()
    assert not made.defects


@pytest.fixture
def idle_seconds() -> float:
    return PATIENCE


@pytest.mark.parametrize('request_bytes', [REQUEST, LAST_REQUEST])
def test_long_answer_reaches_a_slow_reader(
    bench: Bench,
    request_bytes: bytes,
) -> None:
    """A caller gets the beginning of a photo set, and the connection ends.

    Its node stops while the caller, behind a slow line, still reads. All of
    the answer has been handed to the connection but not sent; the node took
    the call for done, waited a second for the caller and closed.
    """
    bench.body = LONG_BODY
    with bench.connect() as sock:
        bench.ask(sock, request_bytes)
        bench.port.drain()
        bench.port.close_idle()
        bench.let_time_pass()
        answer = bench.read(sock, size=len(LONG_BODY))
    assert len(answer) >= len(LONG_BODY)


def test_stop_waits_for_an_answer_that_is_not_sent_yet(bench: Bench) -> None:
    """A caller gets half an answer: the process that sent it has ended.

    A stop ends the process once nothing is under way. What a slow reader
    has yet to be sent is under way, though its call is done.
    """
    bench.body = LONG_BODY
    with bench.connect() as sock:
        bench.ask(sock, LAST_REQUEST)
        assert bench.port.busy == 1
        assert bench.port.open == 1
        bench.read(sock, size=len(LONG_BODY))
        bench.move_until(lambda: not bench.port.busy)
    bench.move_until(lambda: not bench.port.open)


def test_slow_reader_that_hangs_up_is_forgotten(bench: Bench) -> None:
    """A planned stop waits until its bound for a caller that is gone."""
    bench.body = LONG_BODY
    with bench.connect() as sock:
        bench.ask(sock, LAST_REQUEST)
    bench.move_until(lambda: not bench.port.open)
    assert not bench.port.busy


def test_request_that_has_come_is_answered_before_idle_ones_close(
    bench: Bench,
) -> None:
    """A caller's booking is lost in a planned stop.

    Its connection is idle, and its request has come to this node when the
    stop closes idle connections: it was thrown away unread.
    """
    with bench.connect() as sock:
        bench.ask(sock, REQUEST)
        bench.read(sock, size=1)
        sock.sendall(REQUEST)
        bench.port.drain()
        bench.port.close_idle()
        bench.move_until(lambda: bench.answered == 2)
        assert b'connection: close' in bench.read(sock, size=READ_BYTES)


@pytest.mark.parametrize('idle_seconds', [0])
def test_request_that_has_come_is_answered_by_a_late_process(
    bench: Bench,
) -> None:
    """A caller's booking is lost on a machine that was paused for a moment.

    The request came in time, on a connection that had been idle. The paused
    process wakes, finds that the connection was idle for too long, and
    closes it with the request unread.
    """
    with bench.connect() as sock:
        bench.ask(sock, REQUEST)
        bench.read(sock, size=1)
        sock.sendall(REQUEST)
        bench.let_time_pass()
        bench.move_until(lambda: bench.answered == 2)


def test_request_behind_the_last_answer_is_not_begun(bench: Bench) -> None:
    """A caller's second request runs twice.

    Its node leaves, and says with the first answer that the connection ends
    there. The caller sends the second one to another node, as it may; here
    it was begun all the same, and its answer reached nobody.
    """
    with bench.connect() as sock:
        bench.port.drain()
        bench.ask(sock, REQUEST + REQUEST)
        answer = bench.read(sock, size=READ_BYTES)
    assert answer.count(b'HTTP/1.1 200') == 1
    assert bench.answered == 1
