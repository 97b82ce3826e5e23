"""Flow control for bodies that one node forwards to another.

A sender of body pieces sends at most ``WINDOW_BYTES`` beyond what the
receiver has forwarded. Without this limit, a caller or backend server that
reads slowly makes the node in front of it buffer the whole body in memory.
"""

from __future__ import annotations

from typing import Final

# About 20 ms of data at 100 Mbit/s, which covers two round trips between
# regions. A few hundred large bodies at the same time still fit well into the
# memory of a small instance.
WINDOW_BYTES: Final = 262_144


class SendWindow:
    """Credit that a sender of body pieces has left.

    Example:
        >>> window = SendWindow()
        >>> window.note_sent(WINDOW_BYTES)
        >>> window.is_open
        False
        >>> window.add_credit(1)
        >>> window.is_open
        True
    """

    __slots__ = ('_remaining_bytes',)

    def __init__(self, size: int = WINDOW_BYTES) -> None:
        """Create a window with its first credit.

        Args:
            size: number of bytes that may be sent without further credit.
        """
        self._remaining_bytes = size

    @property
    def remaining_bytes(self) -> int:
        """Number of bytes that may be sent, never negative."""
        return max(0, self._remaining_bytes)

    @property
    def is_open(self) -> bool:
        """Whether another piece may be sent."""
        return self._remaining_bytes > 0

    def note_sent(self, size: int) -> None:
        """Subtract a piece that was sent.

        Args:
            size: size of the piece, bytes.
        """
        self._remaining_bytes -= size

    def add_credit(self, size: int) -> None:
        """Add bytes that the receiver has forwarded.

        Args:
            size: number of bytes.
        """
        self._remaining_bytes += size
