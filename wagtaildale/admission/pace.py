"""The pace of a backend server: how long work takes on its machine now.

A server may report its pace with each response, in percent of the usual time.
Servers on shared machines are slow for periods of about half a second, which
is shorter than the mean of the last runs needs to show it.

Reports may be wrong. Each completed run is compared with what its reports made
expect, and measured run times take precedence over reports that they
contradict.
"""

from __future__ import annotations

from collections import deque
from math import log
from typing import Final

from msgspec import Struct, field

USUAL_PERCENT: Final = 100
MIN_PERCENT: Final = 1
MAX_PERCENT: Final = 10_000
# Without a further report, the deviation from the usual pace decays over the
# usual length of a slow period.
DECAY_SECONDS: Final = 0.6
# Reports kept to find the pace during a run: a second of a server that answers
# sixty requests a second, which is longer than most runs.
MAX_KEPT_REPORTS: Final = 64
# Weight of a run in the comparison with the reports. The mean covers about
# twenty runs, so that the spread of single run times alone does not contradict
# a report.
COMPARISON_GAIN: Final = 0.1
# Weight of a run in the measured pace: five runs make up most of it.
MEASURED_GAIN: Final = 0.2
# A single run of many times the usual time, as one in a hundred is, must not
# contradict a report.
MAX_RUN_RATIO: Final = 5.0
MIN_COMPARED_RUNS: Final = 5
# Reports are contradicted when run times differ from what they made expect by
# the first factor, and confirmed again below the second. Between the two
# nothing changes.
CONTRADICTION_FACTOR: Final = 1.5
AGREEMENT_FACTOR: Final = 1.25
# Entries are notified when the pace has changed by this factor from what they
# assume, and not more often than the interval.
ANNOUNCE_FACTOR: Final = 1.4
ANNOUNCE_INTERVAL_SECONDS: Final = 0.1
# The backend server has more requests than its owner knows of for at most this
# long after it reported that some wait.
OCCUPIED_SECONDS: Final = 0.25


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
            Percent of the usual time; 0 if the last report has none or is
            too old to have an effect.
        """
        if not self.is_fresh(now):
            return 0
        percent = round(self.estimate(now) * USUAL_PERCENT)
        return min(MAX_PERCENT, max(MIN_PERCENT, percent))


def _find_error(ratio: float) -> float:
    bounded = min(MAX_RUN_RATIO, max(1 / MAX_RUN_RATIO, ratio))
    return abs(log(bounded))


def _make_reports() -> deque[tuple[float, float]]:
    return deque(maxlen=MAX_KEPT_REPORTS)


class Pace(Struct, kw_only=True):
    """The pace of a backend server that its owner assumes.

    Attributes:
        reported: last report of the server.
        measured: pace according to the last runs.
        reports: time and pace of the last reports.
        run_ratio: smoothed run time over the usual time.
        report_ratio: smoothed run time over the time that the reports made
            expect; 1 if they are right.
        excess_error: smoothed logarithmic error of the times that the reports
            made expect, less that of the mean of the last runs. Reports that
            vary at random may be right on average; this shows that they are
            worse than none.
        compared_runs: number of runs compared with reports.
        is_contradicted: whether ``measured`` is used instead of ``reported``.
        announced: pace that entries were last notified of.
    """

    reported: ReportedPace = field(default_factory=ReportedPace)
    measured: ReportedPace = field(default_factory=ReportedPace)
    reports: deque[tuple[float, float]] = field(default_factory=_make_reports)
    run_ratio: float = 1
    report_ratio: float = 1
    excess_error: float = 0
    compared_runs: int = 0
    is_contradicted: bool = False
    announced: ReportedPace = field(default_factory=ReportedPace)

    @property
    def is_known(self) -> bool:
        """Whether the server reports a pace."""
        return self.reported.is_known

    @property
    def in_effect(self) -> ReportedPace:
        """The reported pace, or the measured one while they disagree."""
        return self.measured if self.is_contradicted else self.reported

    def note_report(self, percent: int, *, now: float) -> None:
        """Record a report of the server.

        Args:
            percent: reported pace in percent; 0 if it reports none, which
                ends the effect of all earlier reports.
            now: current time, seconds.
        """
        self.reported.note(percent, now=now)
        if self.is_known:
            self.reports.append((now, self.reported.estimate(now)))
            return
        self.reports.clear()
        self.run_ratio = 1
        self.report_ratio = 1
        self.excess_error = 0
        self.compared_runs = 0
        self.is_contradicted = False

    def note_run(
        self, ratio: float, *, recent_ratio: float, seconds: float, now: float
    ) -> None:
        """Compare a completed run with the reports.

        Args:
            ratio: its run time over the usual time of its class.
            recent_ratio: its run time over the mean of the last runs of its
                class.
            seconds: its run time.
            now: current time, seconds.
        """
        if not self.is_known:
            return
        bounded = min(
            MAX_RUN_RATIO, ratio / self._average_reports(seconds, now)
        )
        self.report_ratio += (bounded - self.report_ratio) * COMPARISON_GAIN
        excess = _find_error(bounded) - _find_error(recent_ratio)
        self.excess_error += (excess - self.excess_error) * COMPARISON_GAIN
        self.run_ratio += (ratio - self.run_ratio) * MEASURED_GAIN
        self.measured.note(
            max(MIN_PERCENT, round(self.run_ratio * USUAL_PERCENT)), now=now
        )
        self.compared_runs += 1
        deviation = max(_find_error(self.report_ratio), self.excess_error)
        if self.is_contradicted:
            self.is_contradicted = deviation > log(AGREEMENT_FACTOR)
        elif self.compared_runs >= MIN_COMPARED_RUNS:
            self.is_contradicted = deviation >= log(CONTRADICTION_FACTOR)

    def note_abandoned(
        self, ratio: float, *, recent_ratio: float, seconds: float, now: float
    ) -> None:
        """Compare a cancelled run, which would have taken longer.

        Args:
            ratio: its run time until the cancellation over the usual time of
                its class.
            recent_ratio: the same over the mean of the last runs.
            seconds: its run time until the cancellation.
            now: current time, seconds.
        """
        if not self.is_known:
            return
        expected = self._average_reports(seconds, now)
        if ratio / expected > max(1, self.report_ratio):
            self.note_run(
                ratio, recent_ratio=recent_ratio, seconds=seconds, now=now
            )

    def normalise(self, seconds: float, *, now: float) -> float:
        """Estimate how long a run would have taken at the usual pace.

        Args:
            seconds: run time of a run that has just ended.
            now: current time, seconds.

        Returns:
            The run time divided by the pace that was in effect during the
            run; the same run time if the server reports no pace.
        """
        if not self.is_known:
            return seconds
        if self.is_contradicted:
            return seconds / self.measured.estimate(now)
        return seconds / self._average_reports(seconds, now)

    def estimate(self, now: float) -> float:
        """Estimate the current pace.

        Args:
            now: current time, seconds.

        Returns:
            Multiple of the usual time; 1 if the server reports no pace.
        """
        return self.in_effect.estimate(now) if self.is_known else 1

    def encode(self, now: float) -> int:
        """Encode the current pace for entries.

        Args:
            now: current time, seconds.

        Returns:
            Percent of the usual time; 0 if the server reports no pace or has
            answered nothing for a while, as a hanging server.
        """
        return self.in_effect.encode(now) if self.is_known else 0

    def update_announcement(self, now: float) -> bool:
        """Decide whether to notify entries of the pace, and record it.

        What entries assume decays like a report. In a long slow period they
        are therefore notified again.

        Args:
            now: current time, seconds.

        Returns:
            Whether the pace differs enough from what entries assume, and the
            last notification was long enough ago.
        """
        if not self.is_known:
            return False
        ratio = self.estimate(now) / self.announced.estimate(now)
        is_early = now - self.announced.reported_at < ANNOUNCE_INTERVAL_SECONDS
        if is_early or max(ratio, 1 / ratio) < ANNOUNCE_FACTOR:
            return False
        self.announced.note(self.encode(now), now=now)
        return True

    def _average_reports(self, seconds: float, now: float) -> float:
        # The pace may have changed during the run. The report before its start
        # counts as one of those during the run, unless it was old by then.
        since = now - seconds
        during = [pace for at, pace in self.reports if at >= since]
        before = [(at, pace) for at, pace in self.reports if at < since]
        if before and since - before[-1][0] < DECAY_SECONDS:
            during.append(before[-1][1])
        if not during:
            return self.reported.estimate(now)
        return sum(during) / len(during)
