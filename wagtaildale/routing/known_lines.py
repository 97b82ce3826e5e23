"""Keeps what owners report of the lines into their nodes."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from wagtaildale.admission.incoming_line import LineState

MILLISECONDS: Final = 1000


class KnownLine:
    """The line into one upstream's node, as its owner last reported it."""

    __slots__ = ('_reported_at', '_state')

    def __init__(self) -> None:
        """Start without a report."""
        self._state: LineState | None = None
        self._reported_at = float(0)

    def note(self, state: LineState | None, *, now: float) -> None:
        """Note a report.

        Args:
            state: reported state; nothing if the bandwidth is not known.
            now: current time, in seconds.
        """
        self._state = state
        self._reported_at = now

    def estimate_wait(self, now: float) -> float:
        """Estimate how long a body waits until it may cross the line.

        Args:
            now: current time, in seconds.

        Returns:
            Seconds, less with the age of the report; 0 if nothing is known.
        """
        if self._state is None:
            return 0
        reported = self._state.wait_ms / MILLISECONDS
        return max(0, reported - (now - self._reported_at))

    def estimate_transfer(self, body_bytes: int) -> float:
        """Estimate how long a body takes to cross the idle line.

        Args:
            body_bytes: size of the body.

        Returns:
            Seconds; 0 if nothing is known.
        """
        if self._state is None:
            return 0
        return body_bytes / self._state.bytes_per_ms / MILLISECONDS
