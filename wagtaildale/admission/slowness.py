"""Whether a backend server takes longer than it usually does.

Load pattern answered: a part of a service's servers turns slow for some
seconds. Each entry of a large fleet asks one of them every few seconds, so it
learns of it one late request after the other, and spends as many to learn
that the server is well again. The owner knows after some runs, and tells its
entries when it begins and when it ends.
"""

from __future__ import annotations

from typing import Final

from msgspec import Struct

# Of a run: five of them make most of the ratio, and one that takes several
# times its usual time, as one in a hundred does, makes nothing of it.
SLOWDOWN_GAIN: Final = 0.2
# Of a faster run while it is slow: few requests come to a server that is told
# to be slow, and five of them are to show that it is well.
RECOVERY_GAIN: Final = 0.4
MAX_RATIO: Final = 5.0
# A server of twice its time misses the targets of short requests. Runs differ
# by a third of their mean; what lies between the two changes nothing.
SLOW_RATIO: Final = 2.0
RECOVERED_RATIO: Final = 1.4
# Between two tellings: a server at the edge does not tell it with each run.
ANNOUNCE_INTERVAL_SECONDS: Final = 0.5


class Slowness(Struct, kw_only=True, gc=False):
    """The time of a backend server's runs now over their usual time.

    Attributes:
        ratio: of some five runs.
        is_slow: what entries were told last.
        announced_at: when they were told, seconds.
    """

    ratio: float = 1
    is_slow: bool = False
    announced_at: float = 0

    @property
    def announced_ratio(self) -> float:
        """What entries are told: what it is while it is slow, else 1.

        A server that is well again is on its way to its usual time; what is
        left of the ratio would be believed for long.
        """
        return self.ratio if self.is_slow else 1

    def note(self, ratio: float) -> None:
        """Note a run.

        Args:
            ratio: of its time over the usual time of its class.
        """
        gain = (
            RECOVERY_GAIN
            if self.is_slow and ratio < self.ratio
            else SLOWDOWN_GAIN
        )
        self.ratio += (min(MAX_RATIO, ratio) - self.ratio) * gain

    def note_abandoned(self, ratio: float) -> None:
        """Note a run that was given up: it would have taken longer.

        Args:
            ratio: of its time until then over the usual time of its class.
        """
        if ratio > self.ratio:
            self.note(ratio)

    def update_announcement(self, *, now: float) -> bool:
        """Find whether entries are to be told of a change, and note it.

        Args:
            now: seconds.

        Returns:
            Whether it began or ended and the last telling was not just now.
        """
        edge = RECOVERED_RATIO if self.is_slow else SLOW_RATIO
        is_slow = self.ratio > edge
        if (
            is_slow is self.is_slow
            or now - self.announced_at < ANNOUNCE_INTERVAL_SECONDS
        ):
            return False
        self.is_slow = is_slow
        self.announced_at = now
        return True
