"""Connections to the backend server beside this node.

A connection carries one request at a time. Bytes that arrive while no
request is pending, or after a complete response, belong to no request, so
the connection is closed. A response that names another request is discarded
and the connection keeps waiting for the right one.
"""

from __future__ import annotations

import errno
from typing import TYPE_CHECKING, Final, Protocol

from msgspec import Struct, structs

from wagtaildale.calls.failures import CallFailed
from wagtaildale.calls.http.heads import (
    CHUNKED_ENCODING,
    LAST_CHUNK,
    write_chunk,
    write_request_head,
)
from wagtaildale.calls.http.parsing import (
    UNKNOWN_LENGTH,
    Message,
    MessageParser,
)
from wagtaildale.calls.http.pending_input import PendingInput, peek_input
from wagtaildale.calls.http.responses import BODILESS_STATUSES
from wagtaildale.errors.codes import Code
from wagtaildale.reactor.stream import open_stream
from wagtaildale.timers.service import read_clock
from wagtaildale.types import Outcome

if TYPE_CHECKING:
    from collections.abc import Sequence

    from wagtaildale.calls.addresses import Address
    from wagtaildale.calls.backend.backend_pool import BackendPool
    from wagtaildale.calls.http.parsing import Header

MAX_HEAD_BYTES: Final = 65_536
# The backend server is on the same machine, so connecting takes one round trip
# on loopback unless the server's queue of new connections is full. A connection
# still pending after this time counts as failed.
CONNECT_TIMEOUT_SECONDS: Final = 0.4
# Idle time of a connection whose server sends no Keep-Alive timeout.
DEFAULT_IDLE_SECONDS: Final = 4.0
LONGEST_IDLE_DIGITS: Final = 9
# Subtracted from the server's Keep-Alive timeout, so that no request is sent
# while the server closes the connection.
IDLE_MARGIN_SECONDS: Final = 1.0
FIRST_INTERIM_STATUS: Final = 100
FIRST_FINAL_STATUS: Final = 200
LAST_STATUS: Final = 599
# Upgrades are never asked for, so nothing follows this one.
SWITCHING_PROTOCOLS: Final = 101
KEEP_ALIVE: Final = b'keep-alive'
TIMEOUT_PREFIX: Final = b'timeout='


class BackendRequest(Struct, frozen=True, kw_only=True):
    """A request as it is sent to the backend server.

    Attributes:
        request_id: id that the response must echo; empty if backend servers
            do not echo it.
        method: HTTP method.
        target: path and query.
        headers: header fields without those that frame the body.
        body: the whole body, or its first piece.
        more: whether further pieces of the body follow.
        length: announced length of the body in bytes, or -1.
        idempotent: whether the request may safely run twice.
    """

    request_id: bytes
    method: bytes
    target: bytes
    headers: Sequence[Header]
    body: bytes
    more: bool
    length: int
    idempotent: bool


class BackendReceiver(Protocol):
    """Receiver of the response to one request."""

    def on_head(self, message: Message) -> None:
        """Handle the head of the response.

        Args:
            message: the response; its body is read from it as it arrives.
        """

    def on_body(self) -> None:
        """Handle further bytes of the body, or its end."""

    def on_failed(self, failure: CallFailed) -> None:
        """Handle a missing or incomplete response.

        Args:
            failure: the cause, with outcome ``not_run`` if nothing was sent.
        """

    def on_writable(self) -> None:
        """Continue after the server has read the body sent so far."""


class BackendConnection:
    """One connection to the backend server; a ``StreamReceiver``."""

    def __init__(self, pool: BackendPool, address: Address) -> None:
        """Start connecting.

        Args:
            pool: pool that the connection returns to when idle.
            address: address of the backend server.
        """
        self.idle_until = float(0)
        self.used_at = read_clock()
        self._pool = pool
        self._parser = MessageParser(
            parses_requests=False,
            max_head_bytes=MAX_HEAD_BYTES,
        )
        self._request: BackendRequest | None = None
        self._receiver: BackendReceiver | None = None
        self._message: Message | None = None
        self._stray: Message | None = None
        self._is_open = False
        self._is_chunked = False
        self._stream = open_stream(
            pool.loop,
            (address.host, address.port),
            self,
        )
        self._connect_alarm = pool.loop.alarms.set(
            CONNECT_TIMEOUT_SECONDS,
            self._on_connect_timeout,
        )

    @property
    def is_full(self) -> bool:
        """Whether the sender should wait for ``on_writable``."""
        return self._stream.is_full

    @property
    def has_no_input(self) -> bool:
        """Whether neither input nor the end of the connection is pending."""
        return peek_input(self._stream) is PendingInput.nothing

    @property
    def is_established(self) -> bool:
        """Whether the connection is open at both ends."""
        return self._is_open and self.has_no_input

    @property
    def is_alive(self) -> bool:
        """Whether the connection was accepted and the server has not ended it.

        Unlike ``is_established``, it stays true while a response is read.
        """
        return (
            self._is_open and peek_input(self._stream) is not PendingInput.ended
        )

    def send_request(
        self,
        request: BackendRequest,
        receiver: BackendReceiver,
    ) -> None:
        """Send a request.

        Args:
            request: request to send.
            receiver: receiver of the response.
        """
        self._request = request
        self._receiver = receiver
        self._stream.send(self._write_request(request))
        if request.body:
            # An idle connection must not keep the body of its last request.
            self._request = structs.replace(request, body=b'')

    def send_piece(self, piece: bytes, *, more: bool) -> None:
        """Send another piece of the request's body.

        Args:
            piece: bytes of the body; may be empty if it only marks the end.
            more: whether further pieces follow.
        """
        if self._is_chunked:
            piece = write_chunk(piece) if piece else b''
            piece = piece if more else piece + LAST_CHUNK
        self._stream.send(piece)

    def set_reading(self, *, is_wanted: bool) -> None:
        """Resume or pause reading of the response.

        Args:
            is_wanted: whether the stream reads; False pauses it.
        """
        if is_wanted:
            self._stream.resume()
        else:
            self._stream.pause()

    def close(self) -> None:
        """Close at once, which makes the server drop the running request."""
        self._connect_alarm.cancel()
        self._receiver = None
        self._message = None
        self._stray = None
        self._parser.clear()
        self._stream.close()
        self._pool.discard(self)

    def on_open(self) -> None:
        """Check the connection before the stream sends the buffered request."""
        if not self.has_no_input:
            # A leaving server accepts the connection and closes it at once.
            # If the request were sent after that, it would count as one that
            # may have run. It has not left this process, so it fails as not
            # run and can go to another server.
            self._fail(
                Code.backend_unreachable,
                'connection closed, or unexpected bytes, before the request',
            )
            return
        self._is_open = True
        self._connect_alarm.cancel()
        self._pool.note_contact()
        self._pool.watch.note_up()

    def on_bytes(self, chunk: bytes) -> None:
        """Parse bytes of a response.

        Args:
            chunk: bytes as read from the socket.
        """
        if self._receiver is None:
            self.close()
            return
        try:
            self._parser.feed(chunk)
        except CallFailed as failure:
            self._fail(Code.backend_cut, failure.detail)
            return
        self._process_messages()

    def on_end(self) -> None:
        """Handle the end of the stream from the server."""
        message = self._message
        is_close_delimited = (
            message is not None
            and message.length == UNKNOWN_LENGTH
            and not message.is_chunked
        )
        if self._receiver is None or message is None or not is_close_delimited:
            self._fail(
                Code.backend_cut,
                'connection closed before a complete response',
            )
            return
        # Without a length or chunks, the body ends with the connection.
        message.is_complete = True
        message.keep_alive = False
        self._finish()

    def on_lost(self, error: OSError) -> None:
        """Handle the loss of the connection.

        Args:
            error: cause of the loss.
        """
        if not self._is_open and error.errno == errno.ECONNREFUSED:
            self._pool.watch.note_down()
        self._fail(Code.backend_cut, str(error))

    def on_drained(self) -> None:
        """Notify the receiver that the send buffer is empty."""
        if self._receiver is not None:
            self._receiver.on_writable()

    def _on_connect_timeout(self) -> None:
        self._fail(
            Code.backend_unreachable,
            'timed out connecting to the backend server',
        )

    def _process_messages(self) -> None:
        message = self._find_answer()
        if message is None or self._receiver is None:
            return
        if message.is_complete:
            self._finish()
        else:
            self._receiver.on_body()

    def _find_answer(self) -> Message | None:
        message = self._parser.peek()
        while message is not None and self._message is None:
            if self._accept(message):
                break
            message.take_body()
            if self._receiver is None or not message.is_complete:
                return None
            self._parser.drop()
            message = self._parser.peek()
        return message

    def _accept(self, message: Message) -> bool:
        # Discards a response that names another request. When a response
        # arrives twice, the late copy would otherwise answer the next request
        # on the connection.
        request = self._request
        assert request is not None
        assert self._receiver is not None
        if not _is_possible(message.status):
            self._fail(Code.backend_cut, f'status {message.status:03}')
            return False
        if message.status < FIRST_FINAL_STATUS or message is self._stray:
            return False
        echoed = message.find(self._pool.request_id_field)
        if request.request_id and echoed != request.request_id:
            self._stray = message
            self._pool.on_stray_response()
            return False
        self._message = message
        if request.method == b'HEAD' or message.status in BODILESS_STATUSES:
            # These responses have no body, but the parser waits for one.
            message.is_complete = True
            message.keep_alive = False
        self._receiver.on_head(message)
        return True

    def _finish(self) -> None:
        receiver = self._receiver
        message = self._message
        self._receiver = None
        self._message = None
        assert receiver is not None
        assert message is not None
        self._parser.drop()
        request = self._request
        assert request is not None
        # A connection that has delivered a stray response, or has not sent a
        # whole request, is not reused: what follows on it is undefined.
        is_in_sync = self._stray is None and not self._parser.has_more()
        is_fully_sent = not request.more and not self._stream.unsent_bytes
        self._pool.note_contact()
        if message.keep_alive and is_in_sync and is_fully_sent:
            self.used_at = read_clock()
            self.idle_until = self.used_at + _read_idle_seconds(message)
            self._pool.release(self)
        else:
            self.close()
        receiver.on_body()

    def _fail(self, code: Code, detail: str) -> None:
        receiver = self._receiver
        self._receiver = None
        was_sent = self._is_open
        self.close()
        if receiver is None:
            return
        failure = CallFailed(
            code if was_sent else Code.backend_unreachable,
            outcome=Outcome.unknown if was_sent else Outcome.not_run,
            detail=detail,
        )
        receiver.on_failed(failure)

    def _write_request(self, request: BackendRequest) -> bytes:
        framing: Sequence[Header] = ()
        self._is_chunked = False
        if request.more and request.length == UNKNOWN_LENGTH:
            self._is_chunked = True
            framing = (CHUNKED_ENCODING,)
        elif request.more:
            framing = ((b'content-length', b'%d' % request.length),)
        elif request.body or request.length != UNKNOWN_LENGTH:
            framing = ((b'content-length', b'%d' % len(request.body)),)
        head = write_request_head(
            request.method,
            target=request.target,
            headers=(*request.headers, *framing),
        )
        body = request.body
        if self._is_chunked and body:
            body = write_chunk(body)
        return head + body


def _is_possible(status: int) -> bool:
    if status == SWITCHING_PROTOCOLS:
        return False
    return FIRST_INTERIM_STATUS <= status <= LAST_STATUS


def _read_idle_seconds(message: Message) -> float:
    keep_alive = message.find(KEEP_ALIVE) or b''
    start = keep_alive.find(TIMEOUT_PREFIX)
    if start < 0:
        return DEFAULT_IDLE_SECONDS
    digits = keep_alive[start + len(TIMEOUT_PREFIX) :].split(b',')[0].strip()
    is_number = digits.isdigit() and len(digits) <= LONGEST_IDLE_DIGITS
    seconds = int(digits) if is_number else 0
    return max(0, seconds - IDLE_MARGIN_SECONDS)
