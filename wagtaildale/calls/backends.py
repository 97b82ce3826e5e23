"""Connections to the backend server beside this node.

One request runs on a connection at a time. Bytes that come when nothing is
asked, or behind a whole response, belong to no request: the connection is
closed. A response that names another request is thrown away and the right
one waited for.
"""

from __future__ import annotations

import errno
from typing import TYPE_CHECKING, Final, Protocol

from msgspec import Struct

from wagtaildale.calls.failures import CallFailed
from wagtaildale.calls.pending_input import PendingInput, peek_input
from wagtaildale.calls.heads import (
    CHUNKED_ENCODING,
    LAST_CHUNK,
    write_chunk,
    write_request_head,
)
from wagtaildale.calls.parsing import UNKNOWN_LENGTH, Message, MessageParser
from wagtaildale.calls.responses import BODILESS_STATUSES
from wagtaildale.errors.codes import Code
from wagtaildale.reactor.stream import open_stream
from wagtaildale.timers.service import read_clock
from wagtaildale.types import Outcome

if TYPE_CHECKING:
    from collections.abc import Sequence

    from wagtaildale.calls.addresses import Address
    from wagtaildale.calls.backend_pool import BackendPool
    from wagtaildale.calls.parsing import Header

HEAD_BYTES: Final = 65_536
# The backend server is on the same machine: an open connection takes a
# round trip on loopback, and one that takes this long is not coming.
CONNECT_SECONDS: Final = 0.4
# How long an idle connection is kept if the server does not say.
IDLE_SECONDS: Final = 4.0
# Before the time that the server says, so that a request does not cross
# its close.
IDLE_MARGIN_SECONDS: Final = 1.0
FIRST_FINAL_STATUS: Final = 200
KEEP_ALIVE: Final = b'keep-alive'
TIMEOUT_MARK: Final = b'timeout='


class BackendRequest(Struct, frozen=True, kw_only=True):
    """A request as it goes to the backend server.

    Attributes:
        request_id: that the response must name; empty if servers do not.
        method: HTTP method.
        target: path and query.
        headers: all but the body's framing.
        body: all of it, or its beginning.
        more: whether pieces follow.
        length: of the body where it was announced, else -1.
        idempotent: whether running it twice does no harm.
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
    """Whoever asked the backend server."""

    def on_head(self, message: Message) -> None:
        """Take the head of the response.

        Args:
            message: its body is taken from it as it comes.
        """

    def on_body(self) -> None:
        """Learn that more of the body is here, or its end."""

    def on_failed(self, failure: CallFailed) -> None:
        """Learn that no response comes, or not all of it.

        Args:
            failure: with outcome ``not_run`` if nothing was sent.
        """

    def on_room(self) -> None:
        """Learn that the server has taken what was sent of the body."""


class BackendConnection:
    """One connection; a ``StreamReceiver``."""

    def __init__(self, pool: BackendPool, address: Address) -> None:
        """Begin to open it.

        Args:
            pool: takes it back when idle.
            address: of the backend server.
        """
        self.idle_until = float(0)
        self.used_at = read_clock()
        self._pool = pool
        self._parser = MessageParser(of_requests=False, head_bytes=HEAD_BYTES)
        self._request: BackendRequest | None = None
        self._receiver: BackendReceiver | None = None
        self._message: Message | None = None
        self._stray: Message | None = None
        self._is_open = False
        self._chunked = False
        self._stream = open_stream(
            pool.loop,
            (address.host, address.port),
            self,
        )
        self._connecting = pool.loop.alarms.set(
            CONNECT_SECONDS,
            self._give_up_connecting,
        )

    @property
    def is_full(self) -> bool:
        """Whether the server has yet to take what was sent."""
        return self._stream.is_full

    @property
    def is_quiet(self) -> bool:
        """Whether the server has neither closed nor sent anything unasked."""
        return peek_input(self._stream) is PendingInput.nothing

    @property
    def is_standing(self) -> bool:
        """Whether it is open at both ends."""
        return self._is_open and self.is_quiet

    def ask(self, request: BackendRequest, receiver: BackendReceiver) -> None:
        """Send a request.

        Args:
            request: what to send.
            receiver: gets the response.
        """
        self._request = request
        self._receiver = receiver
        self._stream.send(self._write_request(request))

    def add(self, piece: bytes, *, more: bool) -> None:
        """Send more of the request's body.

        Args:
            piece: may be empty where only the end is told.
            more: whether pieces follow.
        """
        if self._chunked:
            piece = write_chunk(piece) if piece else b''
            piece = piece if more else piece + LAST_CHUNK
        self._stream.send(piece)

    def read_more(self, *, wanted: bool) -> None:
        """Read on, or leave what comes with the server for now.

        Args:
            wanted: whether to read.
        """
        if wanted:
            self._stream.resume()
        else:
            self._stream.pause()

    def close(self) -> None:
        """Close at once: the server drops the request that runs on it."""
        self._connecting.cancel()
        self._receiver = None
        self._stream.close()
        self._pool.forget(self)

    def on_open(self) -> None:
        """Learn that the connection stands; the request goes out now."""
        if not self.is_quiet:
            # Failure: a leaving server takes the connection and closes it,
            # and a request sent after that counts as one that may have run.
            # It has not left this process: another server may have it.
            self._fail(Code.backend_unreachable, 'closed unasked')
            return
        self._is_open = True
        self._connecting.cancel()
        self._pool.watch.note_up()

    def on_bytes(self, chunk: bytes) -> None:
        """Take bytes of a response.

        Args:
            chunk: as read.
        """
        if self._receiver is None:
            self.close()
            return
        try:
            self._parser.feed(chunk)
        except CallFailed as failure:
            self._fail(Code.backend_cut, failure.detail)
            return
        self._take_messages()

    def on_end(self) -> None:
        """Learn that the server sends no more."""
        message = self._message
        unframed = (
            message is not None
            and message.length == UNKNOWN_LENGTH
            and not message.is_chunked
        )
        if self._receiver is None or message is None or not unframed:
            self._fail(Code.backend_cut, 'closed')
            return
        # Such a body ends where the connection does.
        message.is_complete = True
        message.keep_alive = False
        self._finish()

    def on_lost(self, error: OSError) -> None:
        """Learn that the connection is gone.

        Args:
            error: why.
        """
        if not self._is_open and error.errno == errno.ECONNREFUSED:
            self._pool.watch.note_down()
        self._fail(Code.backend_cut, str(error))

    def on_drained(self) -> None:
        """Learn that the server has taken what was sent."""
        if self._receiver is not None:
            self._receiver.on_room()

    def _give_up_connecting(self) -> None:
        self._fail(Code.backend_unreachable, 'connecting took too long')

    def _take_messages(self) -> None:
        message = self._parser.peek()
        while message is not None and self._message is None:
            if self._accept(message):
                break
            message.take_body()
            if not message.is_complete:
                return
            self._parser.drop()
            message = self._parser.peek()
        if message is None or self._receiver is None:
            return
        if message.is_complete:
            self._finish()
        else:
            self._receiver.on_body()

    def _accept(self, message: Message) -> bool:
        # Failure: a response comes twice, the second one late, and the next
        # request on the connection gets an answer that is not its own.
        request = self._request
        assert request is not None
        assert self._receiver is not None
        if message.status < FIRST_FINAL_STATUS or message is self._stray:
            return False
        named = message.find(self._pool.request_id_field)
        if request.request_id and named != request.request_id:
            self._stray = message
            self._pool.note_stray()
            return False
        self._message = message
        if request.method == b'HEAD' or message.status in BODILESS_STATUSES:
            # The parser would wait for a body that does not come.
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
        # A connection that has given a stray response, or has not taken all
        # of a request, is not used again: what comes next on it is unsure.
        clean = self._stray is None and not self._parser.has_more()
        whole = not request.more and not self._stream.unsent_bytes
        if message.keep_alive and clean and whole:
            self.used_at = read_clock()
            self.idle_until = self.used_at + _find_idle_seconds(message)
            self._pool.take_back(self)
        else:
            self.close()
        receiver.on_body()

    def _fail(self, code: Code, detail: str) -> None:
        receiver = self._receiver
        self._receiver = None
        sent = self._is_open
        self.close()
        if receiver is None:
            return
        failure = CallFailed(
            code if sent else Code.backend_unreachable,
            outcome=Outcome.unknown if sent else Outcome.not_run,
            detail=detail,
        )
        receiver.on_failed(failure)

    def _write_request(self, request: BackendRequest) -> bytes:
        framing: Sequence[Header] = ()
        self._chunked = False
        if request.more and request.length == UNKNOWN_LENGTH:
            self._chunked = True
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
        if self._chunked and body:
            body = write_chunk(body)
        return head + body


def _find_idle_seconds(message: Message) -> float:
    named = message.find(KEEP_ALIVE) or b''
    mark = named.find(TIMEOUT_MARK)
    if mark < 0:
        return IDLE_SECONDS
    digits = named[mark + len(TIMEOUT_MARK) :].split(b',')[0].strip()
    seconds = int(digits) if digits.isdigit() else 0
    return max(0, seconds - IDLE_MARGIN_SECONDS)
