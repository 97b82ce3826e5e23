"""Estimates transit delays between two clocks without a common epoch.

The offset of a message is its arrival time on this clock minus its send time
on the other clock. The minimum offset over some seconds belongs to a message
without delay, and the excess of another message over it is its delay.
"""

from __future__ import annotations

from math import inf

from msgspec import Struct


class MinimumOffset(Struct, kw_only=True):
    """Recent minimum of the offsets between two clocks.

    Clocks drift, and the clock of a suspended machine may fall behind. An
    offset therefore counts for one to two windows only, or longer if no other
    was recorded since.

    Attributes:
        window: minimum time for which an offset counts, seconds.
        since: when the current window began, seconds.
        drift: maximum drift between the clocks, seconds per second.
        noted_at: when an offset was last recorded, seconds.
        minimum: minimum offset in the current window, seconds.
        previous_minimum: minimum offset in the window before, seconds.

    Example:
        >>> seen = MinimumOffset(window=10, since=0)
        >>> [seen.measure_excess(each, now=1) for each in (5, 7, 4, 5)]
        [0, 2, 0, 1]
    """

    window: float
    since: float
    drift: float = 0
    noted_at: float = 0
    minimum: float = inf
    previous_minimum: float = inf

    def measure_excess(self, offset: float, *, now: float) -> float:
        """Record an offset and return its excess over the minimum.

        Args:
            offset: arrival time minus send time, seconds.
            now: current time on this clock, seconds.

        Returns:
            Seconds, not negative; 0 for the first offset.
        """
        self._advance_window(now)
        self.minimum = min(self.minimum, offset)
        return offset - min(self.minimum, self.previous_minimum)

    def _advance_window(self, now: float) -> None:
        drifted = self.drift * (now - self.noted_at)
        self.noted_at = now
        self.minimum += drifted
        self.previous_minimum += drifted
        if now - self.since > self.window:
            self.previous_minimum = self.minimum
            self.minimum = inf
            self.since = now
