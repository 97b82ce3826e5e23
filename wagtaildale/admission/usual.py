"""What requests usually take at a backend server."""

from __future__ import annotations

from typing import Final

from msgspec import Struct

# Of a run in the usual time of its class: thirty of them make most of it.
USUAL_GAIN: Final = 0.03
# Single runs differ by a third; the mean of ten is known to a tenth.
RUNS_TO_TELL: Final = 10


class UsualTime(Struct, kw_only=True, gc=False):
    """What requests of a class usually take at one backend server.

    Attributes:
        runs: that were seen.
        mean: seconds; of all runs at first, later of some thirty.
    """

    runs: int = 0
    mean: float = 0

    @property
    def told(self) -> float:
        """Seconds that entries are told; 0 while the runs are too few.

        Failure guarded here: the first run at a server opens a connection,
        or meets a cold cache. Told as usual it keeps every entry away for
        as long as they believe it, and no second run shows it wrong.
        """
        return self.mean if self.runs >= RUNS_TO_TELL else 0

    def note(self, seconds: float) -> None:
        """Note a run.

        Args:
            seconds: it took.
        """
        self.runs += 1
        gain = max(USUAL_GAIN, 1 / self.runs)
        self.mean += (seconds - self.mean) * gain
