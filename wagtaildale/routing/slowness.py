"""Estimates how slow an upstream is, from the reports of its owner.

Servers of one service may run on machines of different speed. In a large
fleet an entry sends each of them a request only every few seconds, and would
need a minute to learn from these that a server takes twice as long. Until
then, the slow server with an equal share of the requests is full while half of
the service's slots are free. The owner measures every run at its server, so one
report of the owner replaces the entry's estimate at once.
"""

from __future__ import annotations

from typing import Final

from wagtaildale.admission.pace import ReportedPace

# Bounds of a server's time over the usual time of the class. One answer in a
# hundred takes several times the usual time on any server. The upper bound
# keeps such an answer from looking like a hanging server.
MAX_SLOWNESS: Final = 4.0
MIN_SLOWNESS: Final = 0.25
# A server that has just started takes about twice its usual time.
COLD_SLOWNESS: Final = 2.0
# Weight of the time of one answer, if the owner does not report times.
MEASURED_GAIN: Final = 0.1
# Slowness from a pause, a full disk or a cold start is temporary, but an entry
# that avoids the server can't observe its end. The owner reports the end; if
# that report is lost, the server is tried again after this time. With 4 s, an
# entry with a dozen near servers and a few requests a second would send a third
# of its requests to servers that are still slow.
SLOWNESS_DECAY_SECONDS: Final = 15.0
# Time over which COLD_SLOWNESS decays if no report comes. A server without any
# report may have just started.
COLD_DECAY_SECONDS: Final = 4.0
# A server's usual speed depends on its machine and rarely changes. A wrong
# report keeps requests away from the server for at most this time.
USUAL_SPEED_DECAY_SECONDS: Final = 60.0


class Slowness:
    """Slowness of one upstream: its time over the usual time of the class.

    Attributes:
        pace: pace of the server, as its owner last reported it.

    Example:
        >>> slowness = Slowness(now=0)
        >>> slowness.note_reported_times(0.6, usual_ratio=0.5, now=10)
        >>> round(slowness.estimate(10), 2), round(slowness.estimate(12), 2)
        (0.6, 0.56)
    """

    __slots__ = (
        '_decay_seconds',
        '_is_unanswered',
        '_is_usual_known',
        '_noted_at',
        '_slowness',
        '_usual_ratio',
        'pace',
    )

    def __init__(self, *, now: float) -> None:
        """Start with an upstream that may be cold.

        Args:
            now: current time, in seconds.
        """
        self._slowness = COLD_SLOWNESS
        self._usual_ratio = float(1)
        self._is_usual_known = False
        self._is_unanswered = False
        self._noted_at = now
        self._decay_seconds = COLD_DECAY_SECONDS
        self.pace = ReportedPace()

    def note_reported_times(
        self,
        ratio: float,
        *,
        usual_ratio: float,
        now: float,
    ) -> None:
        """Note the times that the owner reports.

        Args:
            ratio: time of its recent answers over the fleet's usual time.
            usual_ratio: longer-term time of its answers over the fleet's
                usual time.
            now: current time, in seconds.
        """
        self._usual_ratio = usual_ratio
        self._is_usual_known = True
        self._set_slowness(_bound(ratio), now)

    def note_measured_time(self, ratio: float, *, now: float) -> None:
        """Note the time of one answer, if the owner reports no times.

        Args:
            ratio: time of the answer over the fleet's usual time.
            now: current time, in seconds.
        """
        self._slowness += (_bound(ratio) - self._slowness) * MEASURED_GAIN
        self._noted_at = now

    def note_reported_slowness(self, ratio: float, *, now: float) -> None:
        """Note the owner's report that the upstream is slow or has recovered.

        Args:
            ratio: time of its recent answers over its own usual time.
            now: current time, in seconds.
        """
        self._set_slowness(_bound(ratio * _bound(self._usual_ratio)), now)

    def note_pace(self, percent: int, *, now: float) -> None:
        """Note the pace of the server, which its owner sends in each message.

        Args:
            percent: current run time in percent of the server's usual one; 0
                if the server does not report it.
            now: current time, in seconds.
        """
        self.pace.note(percent, now=now)
        self._is_unanswered = False

    def estimate_pace(self, now: float) -> float:
        """Estimate the current pace of the server.

        Args:
            now: current time, in seconds.

        Returns:
            Run time as a multiple of the server's usual one; closer to 1 with
            the age of the report, and 1 if nothing is known.
        """
        return self.pace.estimate(now)

    def has_fresh_pace(self, now: float) -> bool:
        """Tell whether the owner has reported the pace a moment ago.

        Args:
            now: current time, in seconds.

        Returns:
            Whether the last report has a pace that still has an effect.
        """
        return self.pace.is_fresh(now)

    def note_unfinished_attempt(self, ratio: float, *, now: float) -> None:
        """Note an attempt that was unfinished when another one was answered.

        Args:
            ratio: time waited for the answer over the fleet's usual time.
            now: current time, in seconds.
        """
        if _bound(ratio) > self.estimate(now):
            self._set_slowness(_bound(ratio), now)
            self._is_unanswered = not self.pace.is_fresh(now)

    def estimate(self, now: float) -> float:
        """Estimate the upstream's current slowness.

        The estimate decays with time. Otherwise an upstream that gives a few
        slow answers in a row would get no more requests, and nothing would
        show that it has recovered.

        Args:
            now: current time, in seconds.

        Returns:
            Time of its answers as a multiple of the usual time.
        """
        if not self.pace.is_known:
            return self._estimate_from_times(now)
        pace = self.pace.estimate(now)
        if self._is_unanswered or not self._is_usual_known:
            return max(self._estimate_from_times(now), _bound(pace))
        # Recent run times are older than a slow period, so the pace replaces
        # them. Only the product is bounded: an owner divides the usual time by
        # the reported pace, so a wrong report of a constant pace cancels out.
        share = (now - self._noted_at) / USUAL_SPEED_DECAY_SECONDS
        return _bound(
            decay_linearly(self._usual_ratio, to=1, share=share) * pace
        )

    def _estimate_from_times(self, now: float) -> float:
        age = now - self._noted_at
        usual = decay_linearly(
            _bound(self._usual_ratio),
            to=1,
            share=age / USUAL_SPEED_DECAY_SECONDS,
        )
        if age >= self._decay_seconds:
            return usual
        share = age / self._decay_seconds
        return decay_linearly(self._slowness, to=usual, share=share)

    def _set_slowness(self, slowness: float, now: float) -> None:
        self._slowness = slowness
        self._noted_at = now
        self._decay_seconds = SLOWNESS_DECAY_SECONDS


def decay_linearly(start: float, *, to: float, share: float) -> float:
    """Interpolate linearly between two numbers.

    Args:
        start: number at the start.
        to: number at the end.
        share: elapsed fraction of the decay; 1 or more is the end.

    Returns:
        The interpolated number.
    """
    return to if share >= 1 else to + (start - to) * (1 - share)


def _bound(ratio: float) -> float:
    return min(MAX_SLOWNESS, max(MIN_SLOWNESS, ratio))
