"""Tests of callers' connections that close, or are closed, between requests.

The tests step the event loop themselves, so that what a caller sends has
always arrived before the loop checks its sockets.
"""

from __future__ import annotations

import socket
from typing import TYPE_CHECKING, Final

import pytest

from wagtaildale.calls.addresses import Address
from wagtaildale.calls.http.callers import (
    TIMEOUT_CHECK_SECONDS,
    CallerLimits,
    CallerPort,
)
from wagtaildale.calls.http.responses import ResponseHead
from wagtaildale.calls.tests.manual_loop import ManualLoop, is_readable
from wagtaildale.calls.tests.pairs import TIMEOUT_SECONDS
from wagtaildale.reactor.stream import LINGER_SECONDS
from wagtaildale.testing.loopback import make_host
from wagtaildale.timers.service import read_clock

if TYPE_CHECKING:
    from collections.abc import Iterator

    from wagtaildale.calls.http.exchanges import Exchange

ADDRESS: Final = Address(make_host(8), 8080)
REQUEST: Final = b'GET /files/1 HTTP/1.1\r\nhost: m\r\n\r\n'
LAST_REQUEST: Final = REQUEST.replace(
    b'\r\n\r\n', b'\r\nconnection: close\r\n\r\n'
)
# More than the buffers of a connection hold.
LONG_BODY: Final = bytes(16_000_000)
READ_BYTES: Final = 1_000_000
# The longest alarm of a port; alarms that it sets again are due later.
LONGEST_ALARM_SECONDS: Final = max(LINGER_SECONDS, TIMEOUT_CHECK_SECONDS)


class PortHarness(ManualLoop):
    """A port that answers all requests at once with the same body."""

    def __init__(
        self, *, idle_seconds: float, max_connections: int = 512
    ) -> None:
        super().__init__()
        self.body = b'hi'
        self.answered_requests = 0
        limits = CallerLimits(
            max_head_bytes=8192,
            max_body_bytes=8192,
            idle_timeout_seconds=idle_seconds,
            max_connections=max_connections,
        )
        self.port = CallerPort(
            self.loop,
            request_handler=self,
            read_limits=lambda: limits,
        )
        self.port.bind(ADDRESS).unwrap()
        self.port.start()

    def close(self) -> None:
        self.port.stop()
        self.loop.close()

    def handle_request(self, exchange: Exchange) -> None:
        self.answered_requests += 1
        exchange.begin_response(
            ResponseHead(status=200, headers=()), body=self.body
        )

    def connect(self) -> socket.socket:
        return socket.create_connection(
            (ADDRESS.host, ADDRESS.port), TIMEOUT_SECONDS
        )

    def send_request(self, sock: socket.socket, request: bytes) -> None:
        """Send a request and let the port answer it."""
        expected = self.answered_requests + 1
        sock.sendall(request)
        self.step_until(lambda: self.answered_requests == expected)

    def read_response(self, sock: socket.socket, *, size: int) -> bytes:
        """Read up to ``size`` bytes, or to the end of the connection."""
        received = bytearray()
        while len(received) < size:
            self.wait_readable(sock)
            piece = sock.recv(READ_BYTES)
            if not piece:
                break
            received += piece
        return bytes(received)

    def wait_readable(self, sock: socket.socket) -> None:
        """Run the loop until the caller has something to read."""
        self.step_until(lambda: is_readable(sock))

    def fire_all_alarms(self) -> None:
        """Fire every alarm that is set, before sockets are checked."""
        self.loop.alarms.fire_due(read_clock() + LONGEST_ALARM_SECONDS)


@pytest.fixture
def harness(idle_seconds: float) -> Iterator[PortHarness]:
    created = PortHarness(idle_seconds=idle_seconds)
    yield created
    created.close()
    assert not created.defects


@pytest.fixture
def idle_seconds() -> float:
    return TIMEOUT_SECONDS


@pytest.mark.parametrize('request_bytes', [REQUEST, LAST_REQUEST])
def test_long_response_reaches_a_slow_reader(
    harness: PortHarness,
    request_bytes: bytes,
) -> None:
    """Prevents the end of a long response from being lost when its node stops.

    The caller is slow and still reads. All of the response was written to the
    connection but not sent. A node that counts the call as done would wait a
    second and close.
    """
    harness.body = LONG_BODY
    with harness.connect() as sock:
        harness.send_request(sock, request_bytes)
        harness.port.drain()
        harness.port.close_idle()
        harness.fire_all_alarms()
        response = harness.read_response(sock, size=len(LONG_BODY))
    assert len(response) >= len(LONG_BODY)


def test_stop_waits_for_a_response_that_is_not_sent_yet(
    harness: PortHarness,
) -> None:
    """Prevents a truncated response because the node's process has ended.

    A stop ends the process once no call is in progress. A response that is not
    sent yet to a slow reader counts as in progress, although its call is done.
    """
    harness.body = LONG_BODY
    with harness.connect() as sock:
        harness.send_request(sock, LAST_REQUEST)
        assert harness.port.active_calls == 1
        assert harness.port.open_connections == 1
        harness.read_response(sock, size=len(LONG_BODY))
        harness.step_until(lambda: not harness.port.active_calls)
    harness.step_until(lambda: not harness.port.open_connections)


def test_slow_reader_that_disconnects_is_removed(harness: PortHarness) -> None:
    """Prevents a planned stop from waiting for a disconnected caller.

    It would wait until its time limit.
    """
    harness.body = LONG_BODY
    with harness.connect() as sock:
        harness.send_request(sock, LAST_REQUEST)
    harness.step_until(lambda: not harness.port.open_connections)
    assert not harness.port.active_calls


def test_request_that_has_arrived_is_answered_before_idle_close(
    harness: PortHarness,
) -> None:
    """Prevents a caller's booking from being lost in a planned stop.

    The request has arrived on an idle connection, and is not read yet when the
    stop closes idle connections.
    """
    with harness.connect() as sock:
        harness.send_request(sock, REQUEST)
        harness.read_response(sock, size=1)
        sock.sendall(REQUEST)
        harness.port.drain()
        harness.port.close_idle()
        harness.step_until(lambda: harness.answered_requests == 2)
        assert b'connection: close' in harness.read_response(
            sock, size=READ_BYTES
        )


@pytest.mark.parametrize('idle_seconds', [0])
def test_request_that_has_arrived_is_answered_after_a_pause(
    harness: PortHarness,
) -> None:
    """Prevents a booking from being lost after its node was paused.

    The request arrived in time on an idle connection. After the pause the
    process finds the connection idle for too long, and must not close it with
    the request unread.
    """
    with harness.connect() as sock:
        harness.send_request(sock, REQUEST)
        harness.read_response(sock, size=1)
        sock.sendall(REQUEST)
        harness.fire_all_alarms()
        harness.step_until(lambda: harness.answered_requests == 2)


def test_pipelined_request_after_the_last_response_is_not_started(
    harness: PortHarness,
) -> None:
    """Prevents a caller's second request from running twice.

    The node leaves and announces with the first response that the connection
    closes. The caller may then send the second request to another node, so it
    must not be started here, where its response would reach nobody.
    """
    with harness.connect() as sock:
        harness.port.drain()
        harness.send_request(sock, REQUEST + REQUEST)
        response = harness.read_response(sock, size=READ_BYTES)
    assert response.count(b'HTTP/1.1 200') == 1
    assert harness.answered_requests == 1


@pytest.fixture
def small_port() -> Iterator[PortHarness]:
    created = PortHarness(idle_seconds=TIMEOUT_SECONDS, max_connections=8)
    yield created
    created.close()
    assert not created.defects


@pytest.mark.parametrize('sent', [b'', REQUEST[:-2], REQUEST])
def test_caller_takes_the_place_of_a_quiet_connection(
    small_port: PortHarness, sent: bytes
) -> None:
    """Connections that do nothing would keep all others out."""
    others = [small_port.connect() for _number in range(8)]
    for other in others:
        other.sendall(sent)
    # What was sent has arrived; one step accepts, the next ones read.
    for _step in range(20):
        small_port.loop.step(0)
    with small_port.connect() as caller:
        caller.sendall(REQUEST)
        response = small_port.read_response(caller, size=1)
    assert response.startswith(b'HTTP/1.1 200 OK')
    for other in others:
        other.close()
