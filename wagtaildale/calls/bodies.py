"""The body of a request on its way through a node, in bounded memory."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final, Protocol

from wagtaildale.calls.failures import CallFailed
from wagtaildale.calls.heads import (
    CONTINUE,
    LAST_CHUNK,
    frame_body,
    write_chunk,
)
from wagtaildale.calls.parsing import UNKNOWN_LENGTH, Header, Message
from wagtaildale.errors.codes import Code
from wagtaildale.types import Outcome

if TYPE_CHECKING:
    from collections.abc import Sequence

    from wagtaildale.calls.connections import Connection

REPLAY_BYTES: Final = 65_536


class Body(Protocol):
    """What an exchange needs of a request's body."""

    @property
    def is_replayable(self) -> bool:
        """Whether all that was sent so far can be sent again."""

    @property
    def framing(self) -> Sequence[Header]:
        """The header that says where the body ends."""

    @property
    def first(self) -> bytes:
        """What is sent along with the head."""

    @property
    def is_complete(self) -> bool:
        """Whether nothing more is to come."""

    def pass_rest(self, sink: Connection, *, deadline: float) -> None:
        """Read the rest and send it on.

        Args:
            sink: to the next hop.
            deadline: seconds on the clock.
        """


class NoBody:
    """The body of a message between nodes that has none."""

    is_replayable = True
    framing: Sequence[Header] = ((b'content-length', b'0'),)
    first = b''
    is_complete = True

    def pass_rest(self, sink: Connection, *, deadline: float) -> None:
        """Send nothing.

        Args:
            sink: to the next hop.
            deadline: seconds on the clock.
        """


class RequestBody:
    """A body that is passed on as it comes.

    The first ``REPLAY_BYTES`` are kept, so that a small body can be sent
    to another upstream; a larger one can be sent once only.
    """

    def __init__(
        self,
        connection: Connection,
        *,
        message: Message,
        limit: int,
    ) -> None:
        """Take what has come with the head.

        Args:
            connection: on which the rest comes.
            message: the request.
            limit: largest body, bytes.

        Raises:
            CallFailed: when the head announces more than the limit.
        """
        self._connection = connection
        self._message = message
        self._limit = limit
        self._kept = b''
        self._taken = 0
        self._overflowed = False
        if message.length > limit:
            raise _describe_large(limit)
        self._take()

    @property
    def is_replayable(self) -> bool:
        """Whether all that was sent so far can be sent again."""
        return not self._overflowed

    @property
    def framing(self) -> Sequence[Header]:
        """The header that says where the body ends."""
        whole = self._message.is_complete and not self._overflowed
        return frame_body(self._message, whole=self._kept if whole else None)

    @property
    def first(self) -> bytes:
        """What is sent along with the head."""
        if self._message.is_complete or not self._is_chunked:
            return self._kept
        return write_chunk(self._kept) if self._kept else b''

    @property
    def is_complete(self) -> bool:
        """Whether nothing more is to come."""
        return self._message.is_complete

    def pass_rest(self, sink: Connection, *, deadline: float) -> None:
        """Read the rest and send it on, piece by piece.

        Args:
            sink: to the next hop; the head has been sent.
            deadline: seconds on the clock.

        Raises:
            OSError: when the next hop fails.
            CallFailed: when the caller does, or sends too much.
        """
        chunked = self._is_chunked
        if self._message.find(b'expect') is not None:
            self._connection.send(CONTINUE, deadline=deadline)
        while not self._message.is_complete:
            piece = self._read_piece(deadline)
            if piece:
                framed = write_chunk(piece) if chunked else piece
                sink.send(framed, deadline=deadline)
        if chunked:
            sink.send(LAST_CHUNK, deadline=deadline)

    @property
    def _is_chunked(self) -> bool:
        return self._message.length == UNKNOWN_LENGTH

    def _read_piece(self, deadline: float) -> bytes:
        try:
            alive = self._connection.read(deadline=deadline)
        except OSError:
            alive = False
        if not alive:
            raise CallFailed(Code.caller_gone, outcome=Outcome.unknown)
        return self._take()

    def _take(self) -> bytes:
        piece = self._message.take_body()
        self._taken += len(piece)
        if self._taken > self._limit:
            raise _describe_large(self._limit)
        if self._taken > REPLAY_BYTES:
            self._overflowed = True
        else:
            self._kept += piece
        return piece


def _describe_large(limit: int) -> CallFailed:
    return CallFailed(
        Code.request_too_large,
        detail=f'body over {limit} bytes',
    )
