"""Passes a response on: whole where it is small, else as it comes."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from wagtaildale.calls.failures import CallFailed
from wagtaildale.calls.heads import (
    CHUNKED,
    CLOSE,
    LAST_CHUNK,
    pass_on,
    write_chunk,
    write_response_head,
)
from wagtaildale.calls.parsing import UNKNOWN_LENGTH, Header, Message
from wagtaildale.errors.codes import Code
from wagtaildale.types import Outcome

if TYPE_CHECKING:
    from collections.abc import Sequence

    from types import TracebackType

    from wagtaildale.calls.addresses import Address
    from wagtaildale.calls.connections import Connection, Pool

WHOLE_BYTES: Final = 65_536
BODILESS: Final = frozenset((204, 304))


class StreamCut(Exception):
    """A response broke after its head had gone to the caller.

    The caller sees the connection close before the body's end, which HTTP
    counts as an error: a cut answer is never taken for a whole one.
    """


class Response:
    """A response under way from the next hop.

    Attributes:
        connection: on which it comes.
        message: its head, and its body as far as it is here.
        method: of the request.
        body: what was read ahead.
        is_whole: whether ``body`` is all of it.
    """

    def __init__(
        self,
        connection: Connection,
        *,
        message: Message,
        method: bytes,
    ) -> None:
        """Take a response of which the head is here.

        Args:
            connection: on which the rest comes.
            message: the head.
            method: of the request.
        """
        self.connection = connection
        self.message = message
        self.method = method
        self.body = b''
        self.is_whole = False
        self._home: tuple[Pool, Address] | None = None

    def __enter__(self) -> Response:
        """Use the response.

        Returns:
            Itself.
        """
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Give the connection back, or close it if it cannot be used again.

        Args:
            kind: of an error, if one ended the use.
            error: the error.
            trace: where it arose.
        """
        message = self.message
        reusable = message.is_complete and message.keep_alive
        if self._home is None or kind is not None or not reusable:
            self.connection.close()
            return
        pool, address = self._home
        self.connection.parser.drop()
        pool.give(address, self.connection)

    def kept_in(self, pool: Pool, address: Address) -> Response:
        """Name the pool that the connection goes back to.

        Args:
            pool: of idle connections.
            address: of the other side.

        Returns:
            Itself.
        """
        self._home = (pool, address)
        return self

    def read_ahead(self, *, deadline: float) -> None:
        """Read until the body is whole or too large to hold.

        Failure guarded here: the backend server cuts its answer short. As
        long as nothing has gone to the caller, the cut is an error of its
        own, and an idempotent request can be tried again.

        Args:
            deadline: seconds on the clock.

        Raises:
            OSError: when the connection fails or the time is up.
            CallFailed: when the body is cut short.
        """
        pieces = [self.message.take_body()]
        size = len(pieces[0])
        while not self.message.is_complete and size <= WHOLE_BYTES:
            self._read_more(deadline)
            pieces.append(self.message.take_body())
            size += len(pieces[-1])
        self.body = b''.join(pieces)
        self.is_whole = self.message.is_complete

    def write_to(
        self,
        sink: Connection,
        *,
        extra: Sequence[Header],
        deadline: float,
    ) -> None:
        """Send the response on.

        Args:
            sink: to the caller or the node that asked.
            extra: headers that this hop adds.
            deadline: seconds on the clock.

        Raises:
            CallFailed: when the other side of the sink is gone.
            StreamCut: when the response breaks after its head was sent.
        """
        headers = [*pass_on(self.message), *self._frame(), *extra]
        if sink.closing:
            headers.append(CLOSE)
        head = write_response_head(self.message.status, headers=headers)
        first = self.body
        if not self.is_whole and self._is_chunked:
            first = write_chunk(self.body)
        try:
            sink.send(head + first, deadline=deadline)
        except OSError:
            raise CallFailed(
                Code.caller_gone,
                outcome=Outcome.answered,
            ) from None
        if not self.is_whole:
            self._stream(sink, deadline)

    @property
    def _is_chunked(self) -> bool:
        return self.message.length == UNKNOWN_LENGTH

    def _frame(self) -> Sequence[Header]:
        if self.method == b'HEAD' or self.message.status in BODILESS:
            length = self.message.find(b'content-length')
            return () if length is None else ((b'content-length', length),)
        if self.is_whole:
            return ((b'content-length', b'%d' % len(self.body)),)
        if self._is_chunked:
            return (CHUNKED,)
        return ((b'content-length', b'%d' % self.message.length),)

    def _stream(self, sink: Connection, deadline: float) -> None:
        try:
            self._pass_pieces(sink, deadline)
        except (OSError, CallFailed) as error:
            raise StreamCut(str(error)) from None

    def _pass_pieces(self, sink: Connection, deadline: float) -> None:
        while not self.message.is_complete:
            self._read_more(deadline)
            piece = self.message.take_body()
            if piece:
                framed = write_chunk(piece) if self._is_chunked else piece
                sink.send(framed, deadline=deadline)
        if self._is_chunked:
            sink.send(LAST_CHUNK, deadline=deadline)

    def _read_more(self, deadline: float) -> None:
        if self.connection.read(deadline=deadline):
            return
        message = self.message
        if message.length == UNKNOWN_LENGTH and not message.is_chunked:
            # Such a body ends where the connection does.
            message.is_complete = True
            message.keep_alive = False
            return
        raise CallFailed(Code.backend_cut, outcome=Outcome.unknown)
