"""The body of a request at the entry, in bounded memory."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from wagtaildale.calls.failures import CallFailed
from wagtaildale.errors.codes import Code

if TYPE_CHECKING:
    from wagtaildale.calls.exchanges import Exchange

# A body of up to this size is read before the first attempt and can be sent to
# another upstream again. A larger one is forwarded as it arrives, once.
MAX_REPLAYABLE_BYTES: Final = 65_536
# Reading from the caller stops above this number of bytes that wait to be
# forwarded.
MAX_BUFFERED_BYTES: Final = 262_144
MAX_PIECE_BYTES: Final = 65_536


class RequestBody:
    """A body that is kept while it is small, and streamed otherwise.

    Attributes:
        is_replayable: whether the whole body can be sent again.
    """

    def __init__(self, exchange: Exchange, *, limit: int) -> None:
        """Read the bytes of the body that arrived with the head.

        Args:
            exchange: exchange of the request.
            limit: largest body in bytes.

        Raises:
            CallFailed: if the announced length is above the limit.
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
        """Whether the whole body has arrived."""
        return self._exchange.message.is_complete

    @property
    def is_ready(self) -> bool:
        """Whether an attempt may begin."""
        return self.is_complete or not self.is_replayable

    @property
    def is_exhausted(self) -> bool:
        """Whether all of a streamed body has been taken."""
        return self.is_complete and not self._buffer

    @property
    def length(self) -> int:
        """Announced length of the body, bytes, or ``UNKNOWN_LENGTH``."""
        return self._exchange.message.length

    def read(self) -> None:
        """Read the bytes that arrived since the last call.

        Raises:
            CallFailed: if the body is above the limit.
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
        """Return the beginning of the body before any of it is sent.

        Returns:
            The whole body if it can be sent again, otherwise its first piece.
        """
        return bytes(self._buffer[:MAX_PIECE_BYTES])

    def take(self) -> bytes:
        """Return the bytes to be sent next.

        Returns:
            The whole body, which is kept, if it can be sent again; otherwise
            the next piece, which is removed.
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
        detail=f'body exceeds the limit of {limit} bytes',
    )
