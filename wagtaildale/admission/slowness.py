"""Detects that a backend server takes longer than usual.

Some servers of a service may be slow for a few seconds. An entry of a large
fleet sends a request to each of them only every few seconds. On its own, it
learns that a server is slow from one late request after the other, and needs
as many to learn that the server has recovered. The owner knows after a few
runs and announces the begin and the end to its entries.
"""

from __future__ import annotations

from typing import Final

from msgspec import Struct

# Weight of a run in the ratio: five runs make up most of it. A single run of
# several times the usual time, as one in a hundred is, does not count as slow.
SLOWDOWN_GAIN: Final = 0.2
# Weight of a faster run while the server is slow. A server that was announced
# as slow receives few requests, and five of them must show its recovery.
RECOVERY_GAIN: Final = 0.4
MAX_RATIO: Final = 5.0
# A server at twice its usual time misses the targets of short requests. Run
# times vary by a third of their mean, so a ratio between the two thresholds
# changes nothing.
SLOW_RATIO: Final = 2.0
RECOVERED_RATIO: Final = 1.4
# Minimum time between two announcements, so that a server near a threshold
# does not announce a change after every run.
ANNOUNCE_INTERVAL_SECONDS: Final = 0.5


class Slowness(Struct, kw_only=True, gc=False):
    """Ratio of a backend server's recent run times to their usual time.

    Attributes:
        ratio: smoothed ratio of about five runs; 1 is the usual time.
        is_slow: whether the server was last announced as slow.
        announced_at: when the last change was announced, seconds.
    """

    ratio: float = 1
    is_slow: bool = False
    announced_at: float = 0

    @property
    def announced_ratio(self) -> float:
        """Ratio that entries are sent; 1 unless the server is slow.

        A recovered server is returning to its usual time. Entries would keep
        the remaining ratio for too long.
        """
        return self.ratio if self.is_slow else 1

    def note(self, ratio: float) -> None:
        """Record a completed run.

        Args:
            ratio: its run time divided by the usual time of its class.
        """
        gain = (
            RECOVERY_GAIN
            if self.is_slow and ratio < self.ratio
            else SLOWDOWN_GAIN
        )
        self.ratio += (min(MAX_RATIO, ratio) - self.ratio) * gain

    def note_abandoned(self, ratio: float) -> None:
        """Record a cancelled run, which would have taken longer.

        Args:
            ratio: its run time until the cancellation, divided by the usual
                time of its class.
        """
        if ratio > self.ratio:
            self.note(ratio)

    def update_announcement(self, *, now: float) -> bool:
        """Decide whether to announce a change to entries, and record it.

        Args:
            now: current time, seconds.

        Returns:
            Whether the server became slow or recovered, and the last
            announcement was long enough ago.
        """
        threshold = RECOVERED_RATIO if self.is_slow else SLOW_RATIO
        is_slow = self.ratio > threshold
        if (
            is_slow is self.is_slow
            or now - self.announced_at < ANNOUNCE_INTERVAL_SECONDS
        ):
            return False
        self.is_slow = is_slow
        self.announced_at = now
        return True
