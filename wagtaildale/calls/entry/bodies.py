"""The body of a request at the entry, in bounded memory."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from wagtaildale.calls.failures import CallFailed
from wagtaildale.errors.codes import Code

if TYPE_CHECKING:
    from wagtaildale.calls.http.exchanges import Exchange

# An attempt of a larger body begins once this much of it has arrived. The time
# to read the rest then overlaps with sending.
MIN_READ_BYTES: Final = 65_536
# Reading from the caller of a larger body stops above this number of bytes that
# wait to be forwarded.
MAX_BUFFERED_BYTES: Final = 262_144
MAX_PIECE_BYTES: Final = 65_536


class RequestBody:
    """A body that is received whole before it is sent, unless it is too large.

    An unfinished body takes no slot of a backend server and nothing of the
    line to it: its caller may leave it unfinished. A larger body is forwarded
    as it arrives, once.

    Attributes:
        is_replayable: whether the whole body can be sent again.
    """

    def __init__(
        self, exchange: Exchange, *, limit: int, max_collected_bytes: int
    ) -> None:
        """Read the bytes of the body that arrived with the head.

        Args:
            exchange: exchange of the request.
            limit: largest body in bytes.
            max_collected_bytes: largest body that is received whole.

        Raises:
            CallFailed: if the announced length is above the limit.
        """
        self._exchange = exchange
        self._limit = limit
        self._max_collected_bytes = max_collected_bytes
        self._buffer = bytearray()
        self._dropped = 0
        self._is_paused = False
        self.is_replayable = True
        if exchange.message.length > limit:
            raise _make_too_large_error(limit)
        self.read()

    @property
    def size(self) -> int:
        """Number of bytes that have arrived."""
        return self._dropped + len(self._buffer)

    @property
    def is_complete(self) -> bool:
        """Whether the whole body has arrived."""
        return self._exchange.message.is_complete

    @property
    def is_ready(self) -> bool:
        """Whether an attempt may begin."""
        if self.is_complete or not self.is_replayable:
            return True
        is_large = self.length > self._max_collected_bytes
        return is_large and self.size > MIN_READ_BYTES

    @property
    def length(self) -> int:
        """Length of the body, bytes, or ``UNKNOWN_LENGTH``."""
        announced = self._exchange.message.length
        return self.size if self.is_complete else announced

    def read(self) -> None:
        """Read the bytes that arrived since the last call.

        Raises:
            CallFailed: if the body is above the limit.
        """
        self._buffer += self._exchange.message.take_body()
        if self.size > self._limit:
            raise _make_too_large_error(self._limit)
        self._exchange.kept_bytes = len(self._buffer)
        if self.size > self._max_collected_bytes:
            self.is_replayable = False
            if len(self._buffer) > MAX_BUFFERED_BYTES:
                self._is_paused = True
                self._exchange.set_reading(enabled=False)

    def peek(self) -> bytes:
        """Return the beginning of the body before any of it is dropped.

        Returns:
            The whole body if it is short, otherwise its first piece.
        """
        return bytes(self._buffer[:MAX_PIECE_BYTES])

    def take(self, offset: int, *, limit: int) -> bytes:
        """Return bytes of the body; drop them if it cannot be sent again.

        Args:
            offset: position of the first byte.
            limit: most bytes to return.

        Returns:
            The bytes that have arrived, empty if there are none yet.
        """
        start = offset - self._dropped
        end = start + min(limit, MAX_PIECE_BYTES)
        piece = bytes(self._buffer[start:end])
        if not self.is_replayable:
            self._drop(start + len(piece))
        return piece

    def discard(self) -> None:
        """Free what is kept; the body cannot be sent again."""
        self.is_replayable = False
        self._drop(len(self._buffer))

    def _drop(self, size: int) -> None:
        self._buffer = self._buffer[size:]
        self._dropped += size
        self._exchange.kept_bytes = len(self._buffer)
        if self._is_paused and len(self._buffer) < MAX_BUFFERED_BYTES:
            # Also after the end of the body: the next request follows it.
            self._is_paused = False
            self._exchange.set_reading(enabled=True)


def _make_too_large_error(limit: int) -> CallFailed:
    return CallFailed(
        Code.request_too_large,
        detail=f'body exceeds the limit of {limit} bytes',
    )
