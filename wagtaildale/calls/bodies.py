"""The body of a request at the entry, in bounded memory."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from wagtaildale.calls.failures import CallFailed
from wagtaildale.errors.codes import Code

if TYPE_CHECKING:
    from wagtaildale.calls.exchanges import Exchange

# A body up to this size is whole before the first attempt and can be sent
# to another upstream; a larger one is passed on as it comes, once.
MAX_REPLAYABLE_BYTES: Final = 65_536
# Above this much that has not been passed on the caller has to wait.
MAX_BUFFERED_BYTES: Final = 262_144
MAX_PIECE_BYTES: Final = 65_536


class RequestBody:
    """A body that is kept while it is small, and else passed on."""

    def __init__(self, exchange: Exchange, *, limit: int) -> None:
        """Take what has come with the head.

        Args:
            exchange: of the request.
            limit: largest body, bytes.

        Raises:
            CallFailed: when the head announces more than the limit.
        """
        self._exchange = exchange
        self._limit = limit
        self._buffer = bytearray()
        self._size = 0
        self.is_replayable = True
        if exchange.message.length > limit:
            raise _make_too_large_error(limit)
        self.read()

    @property
    def is_complete(self) -> bool:
        """Whether nothing more is to come."""
        return self._exchange.message.is_complete

    @property
    def is_ready(self) -> bool:
        """Whether an attempt may begin."""
        return self.is_complete or not self.is_replayable

    @property
    def is_exhausted(self) -> bool:
        """Whether all of a body that is sent once has been given."""
        return self.is_complete and not self._buffer

    @property
    def length(self) -> int:
        """Of the whole body where it was announced, else -1."""
        return self._exchange.message.length

    def read(self) -> None:
        """Take what has come since.

        Raises:
            CallFailed: when it is over the limit.
        """
        piece = self._exchange.message.take_body()
        self._size += len(piece)
        if self._size > self._limit:
            raise _make_too_large_error(self._limit)
        self._buffer += piece
        if self._size > MAX_REPLAYABLE_BYTES:
            self.is_replayable = False
        if len(self._buffer) > MAX_BUFFERED_BYTES:
            self._exchange.set_reading(enabled=False)

    def peek(self) -> bytes:
        """Look at the body before any of it is passed on.

        Returns:
            All of a body that can be sent again; of a larger one the first
            piece.
        """
        return bytes(self._buffer[:MAX_PIECE_BYTES])

    def take(self) -> bytes:
        """Give what is to be passed on now.

        Returns:
            All of a body that can be sent again; of a larger one the next
            piece.
        """
        if self.is_replayable:
            return bytes(self._buffer)
        piece = bytes(self._buffer[:MAX_PIECE_BYTES])
        self._buffer = self._buffer[MAX_PIECE_BYTES:]
        if not self.is_complete and len(self._buffer) < MAX_BUFFERED_BYTES:
            self._exchange.set_reading(enabled=True)
        return piece


def _make_too_large_error(limit: int) -> CallFailed:
    return CallFailed(
        Code.request_too_large,
        detail=f'body over {limit} bytes',
    )
