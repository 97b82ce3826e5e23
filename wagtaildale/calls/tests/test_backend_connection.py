"""Tests of connections to a backend server that closes them unexpectedly.

The tests step the loop and the server by hand, so that the actions of the
server always take effect before the loop polls.
"""

from __future__ import annotations

import socket
import struct
from typing import TYPE_CHECKING, Final

import pytest

from wagtaildale.calls.addresses import Address
from wagtaildale.calls.backend.backend_connection import BackendRequest
from wagtaildale.calls.backend.backend_pool import BackendPool
from wagtaildale.calls.tests.manual_loop import ManualLoop, is_readable
from wagtaildale.testing.builders import build_recorder
from wagtaildale.testing.loopback import make_host
from wagtaildale.testing.mesh import BACKEND_PORT
from wagtaildale.types import Outcome

if TYPE_CHECKING:
    from collections.abc import Iterator

    from wagtaildale.calls.failures import CallFailed
    from wagtaildale.calls.http.parsing import Message

HOST: Final = make_host(8)
ANSWER: Final = b'HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nhi'
LAST_ANSWER: Final = ANSWER.replace(
    b'\r\n\r\n', b'\r\nconnection: close\r\n\r\n'
)
# Linger option that makes closing the socket send a reset.
RESET: Final = struct.pack('ii', 1, 0)
# Larger than the buffers of a connection.
LONG_BODY: Final = bytes(16_000_000)


class RecordingReceiver:
    """Records the outcome of a request."""

    def __init__(self) -> None:
        self.statuses: list[int] = []
        self.failures: list[CallFailed] = []

    def on_head(self, message: Message) -> None:
        self.statuses.append(message.status)

    def on_body(self) -> None:
        """Do nothing, since the tests only check the head."""

    def on_failed(self, failure: CallFailed) -> None:
        self.failures.append(failure)

    def on_writable(self) -> None:
        """Do nothing."""

    def has_outcome(self) -> bool:
        return bool(self.statuses or self.failures)


class Bench(ManualLoop):
    """A pool, its loop and the listening socket of the server."""

    def __init__(self) -> None:
        super().__init__()
        self.pool = BackendPool(
            self.loop,
            address=Address(HOST, BACKEND_PORT),
            request_id_field=b'x-request-id',
            on_stray_response=lambda: None,
            recorder=build_recorder(),
        )
        self.listener = socket.create_server((HOST, BACKEND_PORT))

    def close(self) -> None:
        self.pool.close()
        self.listener.close()
        self.loop.close()

    def send_request(self, *, body: bytes = b'x') -> RecordingReceiver:
        receiver = RecordingReceiver()
        request = BackendRequest(
            request_id=b'',
            method=b'POST',
            target=b'/bookings',
            headers=(),
            body=body,
            more=False,
            length=len(body),
            idempotent=False,
        )
        self.pool.send_request(request, receiver)
        return receiver

    def accept(self) -> socket.socket:
        self.step_until(lambda: is_readable(self.listener))
        return self.listener.accept()[0]

    def answer(
        self,
        sock: socket.socket,
        receiver: RecordingReceiver,
        reply: bytes,
    ) -> None:
        self.step_until(lambda: is_readable(sock))
        sock.recv(65536)
        sock.sendall(reply)
        self.step_until(receiver.has_outcome)


@pytest.fixture
def bench() -> Iterator[Bench]:
    made = Bench()
    yield made
    made.close()
    assert not made.defects


@pytest.mark.parametrize('reset', [False, True])
def test_booking_is_not_sent_on_a_closed_connection(
    bench: Bench,
    reset: bool,
) -> None:
    """A caller gets 502 for a booking that no server has read.

    The server closes an idle connection, and its close has arrived. The node
    handles another socket first and sends a booking on that connection, so
    whether the booking was read is unknown. Checking the connection before
    it is reused prevents this.
    """
    first = bench.send_request()
    kept = bench.accept()
    bench.answer(kept, first, ANSWER)
    if reset:
        kept.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
    kept.close()
    second = bench.send_request()
    bench.step_until(
        lambda: second.has_outcome() or is_readable(bench.listener)
    )
    assert not second.failures
    with bench.accept() as sock:
        bench.answer(sock, second, ANSWER)
    assert second.statuses == [200]


def test_booking_has_not_run_if_the_server_closes_at_once(
    bench: Bench,
) -> None:
    """A caller gets 502 for a booking that has not left this node.

    A leaving server accepts a new connection and closes it at once. A booking
    sent after that close would count as one that may have run, although
    another server could still run it.
    """
    receiver = bench.send_request()
    bench.accept().close()
    bench.step_until(receiver.has_outcome)
    assert [each.outcome for each in receiver.failures] == [Outcome.not_run]


def test_answer_before_the_end_of_a_long_body_is_forwarded(
    bench: Bench,
) -> None:
    """A caller gets 502 although the server has answered.

    A leaving server answers before it has read a long body, and closes. The
    rest of the body cannot be sent, but the answer must not be discarded.
    """
    receiver = bench.send_request(body=LONG_BODY)
    with bench.accept() as sock:
        bench.step_until(lambda: is_readable(sock))
        sock.sendall(LAST_ANSWER)
    bench.step_until(receiver.has_outcome)
    assert receiver.statuses == [200]


def test_idle_time_of_thousands_of_digits_is_no_error(
    bench: Bench,
) -> None:
    """A connection is neither used again nor closed after such an answer."""
    long_idle_time = b'\r\nkeep-alive: timeout=' + b'9' * 5000 + b'\r\n\r\n'
    receiver = bench.send_request()
    answer = ANSWER.replace(b'\r\n\r\n', long_idle_time)
    bench.answer(bench.accept(), receiver, answer)
    assert receiver.statuses == [200]
    assert not bench.defects


@pytest.mark.parametrize(
    'status', [b'000', b'001', b'099', b'101', b'600', b'999', b'1000', b'20']
)
def test_answer_with_an_impossible_status_fails_at_once(
    bench: Bench, status: bytes
) -> None:
    """A caller would get it as an answer, or wait until its deadline."""
    receiver = bench.send_request()
    server = bench.accept()
    bench.step_until(lambda: is_readable(server))
    server.sendall(ANSWER.replace(b'200', status))
    bench.step_until(receiver.has_outcome)
    assert not receiver.statuses
    assert receiver.failures[0].outcome is Outcome.unknown
    server.close()


def test_interim_answers_are_skipped(bench: Bench) -> None:
    receiver = bench.send_request()
    server = bench.accept()
    bench.step_until(lambda: is_readable(server))
    server.sendall(b'HTTP/1.1 103 Early Hints\r\n\r\n' + ANSWER)
    bench.step_until(receiver.has_outcome)
    assert receiver.statuses == [200]
    server.close()
