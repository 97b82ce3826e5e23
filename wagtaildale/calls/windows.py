"""How much of a body may be on its way to a node that passes it on.

Failure guarded here: a caller reads slowly, or a backend server does, and
the node in front of it holds the whole body in memory. Whoever sends pieces
sends at most ``WINDOW_BYTES`` beyond what the other side has passed on.
"""

from __future__ import annotations

from typing import Final

# Two round trips across regions at 100 Mbit/s; a few hundred large bodies
# at once stay well under the memory of a small instance.
WINDOW_BYTES: Final = 262_144


class SendWindow:
    """What a sender of pieces may still send.

    Example:
        >>> window = SendWindow()
        >>> window.note_sent(WINDOW_BYTES)
        >>> window.is_open
        False
        >>> window.add_credit(1)
        >>> window.is_open
        True
    """

    __slots__ = ('_left',)

    def __init__(self) -> None:
        """Begin with all of it."""
        self._left = WINDOW_BYTES

    @property
    def is_open(self) -> bool:
        """Whether another piece may go."""
        return self._left > 0

    def note_sent(self, size: int) -> None:
        """Note that a piece went out.

        Args:
            size: of it, bytes.
        """
        self._left -= size

    def add_credit(self, size: int) -> None:
        """Note that the other side passed something on.

        Args:
            size: of it, bytes.
        """
        self._left += size
