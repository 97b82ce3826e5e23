"""Counts of calls, kept separately by each worker and summed when read.

An instrument that all workers share costs a lock and a look-up of its
attributes on every call. Here each worker updates its own counts, and the
readers (status reports, metrics) add them up.
"""

from __future__ import annotations

import threading
from bisect import bisect_left
from typing import Final

from msgspec import Struct, field

from wagtaildale.errors.codes import Code
from wagtaildale.types import Outcome

# Upper bounds of the histogram buckets, as recommended by the HTTP conventions
# of OpenTelemetry, with finer steps below 10 ms.
BUCKET_BOUNDS_SECONDS: Final = (
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
    """Counts of the calls of one class, by result.

    Attributes:
        in_time: calls answered within the class's target.
        answered: calls answered, in time or later.
        not_run: calls refused that certainly did not run.
        unknown: calls that ended with an unknown outcome.
        retried: attempts after the first one of a call.
        redirected: attempts after an owner rejected the call, of calls that
            no backend server had received.
        hedged: attempts started while another one was in progress.
        no_free_slot: attempts that were refused for want of a free slot; the
            call was then sent again.
        codes: numbers of failures by result code.
        buckets: numbers of calls by duration, with the upper bounds of
            ``BUCKET_BOUNDS_SECONDS``; the last bucket has no upper bound.
        seconds: sum of the durations, seconds.
    """

    in_time: int = 0
    answered: int = 0
    not_run: int = 0
    unknown: int = 0
    retried: int = 0
    redirected: int = 0
    hedged: int = 0
    no_free_slot: int = 0
    codes: dict[Code, int] = field(default_factory=dict)
    buckets: list[int] = field(
        default_factory=lambda: [
            0 for _bucket in range(len(BUCKET_BOUNDS_SECONDS) + 1)
        ],
    )
    seconds: float = 0

    @property
    def total(self) -> int:
        """Number of all calls of the class."""
        return self.answered + self.not_run + self.unknown

    def note(self, code: Code, outcome: Outcome, seconds: float) -> None:
        """Count a call that has ended.

        Args:
            code: result code of the call.
            outcome: outcome reported to the caller.
            seconds: duration of the call.
        """
        if outcome is Outcome.answered:
            self.answered += 1
        elif outcome is Outcome.not_run:
            self.not_run += 1
        else:
            self.unknown += 1
        if code is not Code.ok:
            self.codes[code] = self.codes.get(code, 0) + 1
        self.buckets[bisect_left(BUCKET_BOUNDS_SECONDS, seconds)] += 1
        self.seconds += seconds

    def add(self, other: ClassTally) -> None:
        """Add the counts of another worker to these.

        Args:
            other: counts to add; not changed.
        """
        self.in_time += other.in_time
        self.answered += other.answered
        self.not_run += other.not_run
        self.unknown += other.unknown
        self.retried += other.retried
        self.redirected += other.redirected
        self.hedged += other.hedged
        self.no_free_slot += other.no_free_slot
        self.seconds += other.seconds
        for code, count in tuple(other.codes.items()):
            self.codes[code] = self.codes.get(code, 0) + count
        for index, count in enumerate(other.buckets):
            self.buckets[index] += count


class Tallies:
    """Counts of all workers of a node, by class."""

    def __init__(self) -> None:
        """Create tallies without workers."""
        self._own = threading.local()
        self._all: list[dict[str, ClassTally]] = []
        self._lock = threading.Lock()

    def find(self, work_class: str) -> ClassTally:
        """Find the calling worker's counts for a class.

        Args:
            work_class: service and class, separated by a slash.

        Returns:
            Counts that only this worker changes.
        """
        own_tallies: dict[str, ClassTally] | None = getattr(
            self._own,
            'own_tallies',
            None,
        )
        if own_tallies is None:
            own_tallies = self._register()
        tally = own_tallies.get(work_class)
        if tally is None:
            tally = ClassTally()
            own_tallies[work_class] = tally
        return tally

    def sum_up(self) -> dict[str, ClassTally]:
        """Add up the counts of all workers.

        Returns:
            Totals by class.
        """
        with self._lock:
            workers = tuple(self._all)
        totals: dict[str, ClassTally] = {}
        for own_tallies in workers:
            for name, tally in tuple(own_tallies.items()):
                totals.setdefault(name, ClassTally()).add(tally)
        return totals

    def _register(self) -> dict[str, ClassTally]:
        own_tallies: dict[str, ClassTally] = {}
        self._own.own_tallies = own_tallies
        with self._lock:
            self._all.append(own_tallies)
        return own_tallies
