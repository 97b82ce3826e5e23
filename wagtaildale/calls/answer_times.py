"""Bounds how long requests of a class take once a server begins with them."""

from __future__ import annotations

from math import inf
from typing import Final

from wagtaildale.calls.smoothed_time import SmoothedTime

# Share of the distance to the latest sample by which the peak falls: a single
# long answer counts for some two hundred further ones.
PEAK_DECAY: Final = 0.005


class AnswerTime:
    """Time of one class from the start of a run to the whole answer."""

    __slots__ = ('_peak', '_smoothed')

    def __init__(self) -> None:
        """Create an estimator without samples."""
        self._smoothed = SmoothedTime()
        self._peak = float(0)

    @property
    def bound(self) -> float:
        """Time in seconds that hardly any answer exceeds."""
        return max(self._smoothed.bound, self._peak)

    def add_sample(self, seconds: float) -> None:
        """Add the time of one answer.

        Args:
            seconds: time from the start of the run to the whole answer.
        """
        self._smoothed.add_sample(seconds)
        fallen = self._peak + PEAK_DECAY * (seconds - self._peak)
        self._peak = max(seconds, fallen)


class AnswerTimes:
    """Answer times of all classes.

    Example:
        >>> answer_times = AnswerTimes()
        >>> answer_times.find_bound('casefiles/lookup')
        inf
    """

    def __init__(self) -> None:
        """Create a collection without samples."""
        self._times: dict[str, AnswerTime] = {}

    def note(self, work_class: str, seconds: float) -> None:
        """Record an answer.

        Args:
            work_class: qualified name of the class, ``service/class``.
            seconds: time from the start of the run to the whole answer.
        """
        answer_time = self._times.get(work_class)
        if answer_time is None:
            answer_time = AnswerTime()
            self._times[work_class] = answer_time
        answer_time.add_sample(seconds)

    def find_bound(self, work_class: str) -> float:
        """Find the time that an answer of a class takes at most, as far known.

        Args:
            work_class: qualified name of the class.

        Returns:
            Seconds; infinite if no answer of the class was seen.
        """
        answer_time = self._times.get(work_class)
        return inf if answer_time is None else answer_time.bound
