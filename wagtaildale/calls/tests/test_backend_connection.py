"""Tests of connections to a backend server that closes them in between.

The loop and the server are moved by hand, so that what the server does has
always come before the loop looks.
"""

from __future__ import annotations

import socket
import struct
from typing import TYPE_CHECKING, Final

import pytest

from wagtaildale.calls.addresses import Address
from wagtaildale.calls.backend_pool import BackendPool
from wagtaildale.calls.backend_connection import BackendRequest
from wagtaildale.calls.tests.manual_loop import ManualLoop, is_readable
from wagtaildale.testing.builders import build_recorder
from wagtaildale.testing.mesh import BACKEND_PORT
from wagtaildale.types import Outcome

if TYPE_CHECKING:
    from collections.abc import Iterator

    from wagtaildale.calls.failures import CallFailed
    from wagtaildale.calls.parsing import Message

HOST: Final = '127.0.9.8'
ANSWER: Final = b'HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nhi'
LAST_ANSWER: Final = ANSWER.replace(
    b'\r\n\r\n', b'\r\nconnection: close\r\n\r\n'
)
# Closing sends a reset.
RESET: Final = struct.pack('ii', 1, 0)
# More than the buffers of a connection take.
LONG_BODY: Final = bytes(16_000_000)


class Asker:
    """Keeps what becomes of a request."""

    def __init__(self) -> None:
        self.statuses: list[int] = []
        self.failures: list[CallFailed] = []

    def on_head(self, message: Message) -> None:
        self.statuses.append(message.status)

    def on_body(self) -> None:
        """Do nothing: the head tells enough."""

    def on_failed(self, failure: CallFailed) -> None:
        self.failures.append(failure)

    def on_writable(self) -> None:
        """Do nothing."""

    def is_told(self) -> bool:
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

    def send_request(self, *, body: bytes = b'x') -> Asker:
        asker = Asker()
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
        self.pool.send_request(request, asker)
        return asker

    def accept(self) -> socket.socket:
        self.step_until(lambda: is_readable(self.listener))
        return self.listener.accept()[0]

    def answer(self, sock: socket.socket, asker: Asker, reply: bytes) -> None:
        self.step_until(lambda: is_readable(sock))
        sock.recv(65536)
        sock.sendall(reply)
        self.step_until(asker.is_told)


@pytest.fixture
def bench() -> Iterator[Bench]:
    made = Bench()
    yield made
    made.close()
    assert not made.defects


@pytest.mark.parametrize('reset', [False, True])
def test_booking_is_not_sent_on_a_connection_that_is_closed(
    bench: Bench,
    reset: bool,
) -> None:
    """A caller hears 502 of a booking that no server has ever read.

    The server closes a connection that was used a moment ago. Its close has
    come, but this node handles other sockets first, and one of them brings a
    booking, which goes out on that connection. Nobody can say then whether
    it was read, so it is given up. Now the connection is looked at before
    it is used again.
    """
    first = bench.send_request()
    kept = bench.accept()
    bench.answer(kept, first, ANSWER)
    if reset:
        kept.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
    kept.close()
    second = bench.send_request()
    bench.step_until(lambda: second.is_told() or is_readable(bench.listener))
    assert not second.failures
    with bench.accept() as sock:
        bench.answer(sock, second, ANSWER)
    assert second.statuses == [200]


def test_booking_at_a_server_that_closes_unasked_has_not_run(
    bench: Bench,
) -> None:
    """A caller hears 502 of a booking that has not left this node.

    A leaving server takes the new connection and closes it at once. The
    booking was sent after that close and counted as one that may have run,
    though another server could have had it.
    """
    asker = bench.send_request()
    bench.accept().close()
    bench.step_until(asker.is_told)
    assert [each.outcome for each in asker.failures] == [Outcome.not_run]


def test_answer_before_the_end_of_a_long_body_is_passed_on(
    bench: Bench,
) -> None:
    """A caller hears 502 though the server's answer is there.

    A leaving server answers before it has read a long body and closes. The
    rest of the body cannot be sent any more, and that must not throw away
    the answer that has come.
    """
    asker = bench.send_request(body=LONG_BODY)
    with bench.accept() as sock:
        bench.step_until(lambda: is_readable(sock))
        sock.sendall(LAST_ANSWER)
    bench.step_until(asker.is_told)
    assert asker.statuses == [200]
