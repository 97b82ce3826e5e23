"""Tracks the recent and the usual run time of a request class."""

from __future__ import annotations

from typing import Final

from msgspec import Struct

# Weight of a run in the mean: thirty runs make up most of it.
MEAN_GAIN: Final = 0.03
# Weight of a run in the recent time: ten runs make up most of it. Fewer runs
# would reflect chance, and entries keep the value that they are sent for long.
RECENT_GAIN: Final = 0.1
# Single runs differ by a third of their mean. The mean of ten runs is exact
# to a tenth.
MIN_RUNS: Final = 10


class RunTimes(Struct, kw_only=True, gc=False):
    """Run times of one class at one backend server.

    Attributes:
        runs: number of completed runs.
        mean: mean run time at the usual pace in seconds; of all runs at
            first, later weighted over about thirty.
        recent: mean run time in seconds, weighted over about ten runs.
    """

    runs: int = 0
    mean: float = 0
    recent: float = 0

    @property
    def reliable_mean(self) -> float:
        """Mean run time in seconds; 0 while there are too few runs.

        The first run at a server opens a connection or meets a cold cache,
        so it takes much longer than usual. If entries were sent that time as
        the usual one, all of them would avoid the server for as long as they
        keep the value, and no second run would correct it.
        """
        return self.mean if self.runs >= MIN_RUNS else 0

    def note(self, seconds: float, *, usual_seconds: float) -> None:
        """Record a completed run.

        Args:
            seconds: run time.
            usual_seconds: run time at the usual pace of the server.
        """
        self.runs += 1
        gain = 1 / self.runs
        self.mean += (usual_seconds - self.mean) * max(MEAN_GAIN, gain)
        self.recent += (seconds - self.recent) * max(RECENT_GAIN, gain)

    def note_abandoned(self, seconds: float) -> None:
        """Record a run that was cancelled before it completed.

        When a server becomes slow, second attempts elsewhere may overtake
        all of its runs, which are then cancelled. No run completes, so the
        server would never be known to be slow. A cancelled run would have
        taken longer than it did until then.

        Args:
            seconds: run time until the cancellation.
        """
        if self.runs and seconds > self.recent:
            self.recent += (seconds - self.recent) * RECENT_GAIN
