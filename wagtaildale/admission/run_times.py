"""What requests of a class take at a backend server, now and usually."""

from __future__ import annotations

from typing import Final

from msgspec import Struct

# Of a run in the usual time of its class: thirty of them make most of it.
MEAN_GAIN: Final = 0.03
# Of a run in the time that the class takes now: ten of them make most of it.
# Fewer would tell the luck of single runs, and what is told is kept for long.
RECENT_GAIN: Final = 0.1
# Single runs differ by a third; the mean of ten is known to a tenth.
MIN_RUNS: Final = 10


class RunTimes(Struct, kw_only=True, gc=False):
    """What requests of a class take at one backend server.

    Attributes:
        runs: that were seen.
        mean: seconds; of all runs at first, later of some thirty.
        recent: seconds; of some ten runs.
    """

    runs: int = 0
    mean: float = 0
    recent: float = 0

    @property
    def reliable_mean(self) -> float:
        """Seconds that entries are told; 0 while the runs are too few.

        Failure guarded here: the first run at a server opens a connection,
        or meets a cold cache. Told as usual it keeps every entry away for
        as long as they believe it, and no second run shows it wrong.
        """
        return self.mean if self.runs >= MIN_RUNS else 0

    def note(self, seconds: float) -> None:
        """Note a run.

        Args:
            seconds: it took.
        """
        self.runs += 1
        gain = 1 / self.runs
        self.mean += (seconds - self.mean) * max(MEAN_GAIN, gain)
        self.recent += (seconds - self.recent) * max(RECENT_GAIN, gain)

    def note_abandoned(self, seconds: float) -> None:
        """Note a run that was given up before its end.

        Failure guarded here: a server turns slow, every run there is
        overtaken by a second attempt elsewhere and given up, and the server
        is never known to be slow: no run of its ends. One that was given up
        would have taken longer than it did.

        Args:
            seconds: it had taken by then.
        """
        if self.runs and seconds > self.recent:
            self.recent += (seconds - self.recent) * RECENT_GAIN
