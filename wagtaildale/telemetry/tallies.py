"""Counts of calls, kept by each worker for itself and summed when read.

An instrument that all workers share costs a lock and a look-up of its
attributes on every call. Here a worker adds to its own numbers; whoever
reads (status, metrics) adds them up.
"""

from __future__ import annotations

import threading
from bisect import bisect_left
from typing import Final

from msgspec import Struct, field

from wagtaildale.errors.codes import Code
from wagtaildale.types import Outcome

# Upper bounds in seconds, as OpenTelemetry's HTTP conventions advise, with
# finer steps below 10 ms.
BOUNDS: Final = (
    0.0005,
    0.001,
    0.0025,
    0.005,
    0.01,
    0.025,
    0.05,
    0.075,
    0.1,
    0.25,
    0.5,
    0.75,
    1.0,
    2.5,
    5.0,
    7.5,
    10.0,
)


class ClassTally(Struct, kw_only=True):
    """What became of the calls of one class.

    Attributes:
        in_time: answered within the class's target.
        answered: answered at all.
        not_run: refused, and truly not run.
        unknown: ended with an unknown outcome.
        retried: attempts beyond the first.
        hedged: attempts begun while another was under way.
        codes: failures by code.
        buckets: durations by ``BOUNDS``, the last one for longer ones.
        seconds: sum of the durations.
    """

    in_time: int = 0
    answered: int = 0
    not_run: int = 0
    unknown: int = 0
    retried: int = 0
    hedged: int = 0
    codes: dict[Code, int] = field(default_factory=dict)
    buckets: list[int] = field(
        default_factory=lambda: [0 for _bucket in range(len(BOUNDS) + 1)],
    )
    seconds: float = 0

    @property
    def total(self) -> int:
        """All calls of the class."""
        return self.answered + self.not_run + self.unknown

    def note(self, code: Code, outcome: Outcome, seconds: float) -> None:
        """Note how a call ended.

        Args:
            code: its result code.
            outcome: what the caller was told.
            seconds: it took.
        """
        if outcome is Outcome.answered:
            self.answered += 1
        elif outcome is Outcome.not_run:
            self.not_run += 1
        else:
            self.unknown += 1
        if code is not Code.ok:
            self.codes[code] = self.codes.get(code, 0) + 1
        self.buckets[bisect_left(BOUNDS, seconds)] += 1
        self.seconds += seconds

    def add(self, other: ClassTally) -> None:
        """Add another worker's numbers.

        Args:
            other: stays as it is.
        """
        self.in_time += other.in_time
        self.answered += other.answered
        self.not_run += other.not_run
        self.unknown += other.unknown
        self.retried += other.retried
        self.hedged += other.hedged
        self.seconds += other.seconds
        for code, count in tuple(other.codes.items()):
            self.codes[code] = self.codes.get(code, 0) + count
        for index, count in enumerate(other.buckets):
            self.buckets[index] += count


class Tallies:
    """The numbers of all workers of a node."""

    def __init__(self) -> None:
        """Begin with none."""
        self._own = threading.local()
        self._all: list[dict[str, ClassTally]] = []
        self._lock = threading.Lock()

    def find(self, work_class: str) -> ClassTally:
        """Find the calling worker's numbers for a class.

        Args:
            work_class: service and class.

        Returns:
            Numbers that only this worker adds to.
        """
        mine: dict[str, ClassTally] | None = getattr(self._own, 'mine', None)
        if mine is None:
            mine = self._register()
        tally = mine.get(work_class)
        if tally is None:
            tally = ClassTally()
            mine[work_class] = tally
        return tally

    def sum_up(self) -> dict[str, ClassTally]:
        """Add up the numbers of all workers.

        Returns:
            By class.
        """
        with self._lock:
            workers = tuple(self._all)
        totals: dict[str, ClassTally] = {}
        for mine in workers:
            for name, tally in tuple(mine.items()):
                totals.setdefault(name, ClassTally()).add(tally)
        return totals

    def _register(self) -> dict[str, ClassTally]:
        mine: dict[str, ClassTally] = {}
        self._own.mine = mine
        with self._lock:
            self._all.append(mine)
        return mine
