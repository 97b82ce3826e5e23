"""How late something is, by two clocks that have no common zero.

The least of (arrival by this clock - sending by that one) over some seconds
is that of a message which came at once, and what another one has more was
spent on its way.
"""

from __future__ import annotations

from math import inf

from msgspec import Struct


class MinimumOffset(Struct, kw_only=True):
    """The least difference that was seen lately between two clocks.

    Clocks drift, and that of a suspended machine falls behind: so a
    difference counts for one to two windows only, but always for as long as
    no other was seen.

    Attributes:
        window: how long a difference counts at least, seconds.
        since: when the window began, seconds.
        drift: seconds by which the clocks may run apart in a second.
        noted_at: when a difference was last noted, seconds.
        minimum: least difference in the window.
        previous_minimum: the same in the window before.

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
        """Note a difference, and measure what it has beyond the least.

        Args:
            offset: seconds.
            now: seconds on this clock.

        Returns:
            Seconds, never negative; 0 for the first.
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
