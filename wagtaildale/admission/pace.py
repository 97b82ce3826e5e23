"""The pace of a backend server: how long work takes on its machine now.

A server may report its pace with each response, in percent of the usual time.
Servers on shared machines are slow for periods of about half a second, which
is shorter than the mean of the last runs needs to show it.
"""

from __future__ import annotations

from typing import Final

from msgspec import Struct

USUAL_PERCENT: Final = 100
MIN_PERCENT: Final = 1
MAX_PERCENT: Final = 10_000
# Without a further report, the deviation from the usual pace decays over the
# usual length of a slow period.
DECAY_SECONDS: Final = 0.6


class ServerLoad(Struct, frozen=True, kw_only=True, gc=False):
    """Load that a backend server reports in a response.

    Attributes:
        running: number of running requests.
        waiting: number of requests that wait at the server for a slot.
        slots: number of requests that may run at once.
        pace_percent: how long work takes now, in percent of the usual time;
            0 if the server does not report it.
    """

    running: int
    waiting: int
    slots: int
    pace_percent: int = 0


class ReportedPace(Struct, kw_only=True, gc=False):
    """The last reported pace of a server, which decays with its age.

    Attributes:
        percent: reported pace in percent; 0 if the server does not report it.
        reported_at: time of the report, seconds.
    """

    percent: int = 0
    reported_at: float = 0

    @property
    def is_known(self) -> bool:
        """Whether the last report has a pace."""
        return self.percent > 0

    def note(self, percent: int, *, now: float) -> None:
        """Record a report.

        Args:
            percent: reported pace, limited to the valid range; 0 or less if
                there is none.
            now: current time, seconds.
        """
        self.percent = min(MAX_PERCENT, max(0, percent))
        self.reported_at = now

    def is_fresh(self, now: float) -> bool:
        """Tell whether the last report has a pace that still has an effect.

        Args:
            now: current time, seconds.

        Returns:
            Whether a pace was reported less than ``DECAY_SECONDS`` ago.
        """
        return self.is_known and now - self.reported_at < DECAY_SECONDS

    def estimate(self, now: float) -> float:
        """Estimate the current pace.

        Args:
            now: current time, seconds.

        Returns:
            Multiple of the usual time; 1 if nothing is known.
        """
        if not self.is_fresh(now):
            return 1
        age = max(0, now - self.reported_at)
        deviation = self.percent / USUAL_PERCENT - 1
        return 1 + deviation * (1 - age / DECAY_SECONDS)

    def encode(self, now: float) -> int:
        """Encode the current pace for a message between nodes.

        Args:
            now: current time, seconds.

        Returns:
            Percent of the usual time; 0 if the server does not report it.
        """
        if not self.is_known:
            return 0
        percent = round(self.estimate(now) * USUAL_PERCENT)
        return min(MAX_PERCENT, max(MIN_PERCENT, percent))
