"""Estimates the delay after which a slow attempt is hedged.

The delay follows the round-trip time estimator of TCP: smoothed time plus
four times the mean deviation. MONET (Andersen et al., NSDI 2005, section
2.2.2) paces its additional attempts the same way. See docs/design/calls.md.
"""

from __future__ import annotations

from math import inf
from typing import Final

from wagtaildale.calls.smoothed_time import SmoothedTime

# Lower limit of the delay, and samples that are needed before any hedge.
MIN_DELAY_SECONDS: Final = 0.002
MIN_SAMPLES: Final = 20
MILLISECONDS: Final = 1000


class HedgeDelay:
    """Estimates the hedge delay of one class from its response times.

    Example:
        >>> hedge_delay = HedgeDelay()
        >>> hedge_delay.find_delay() is None
        True
    """

    __slots__ = ('_smoothed',)

    def __init__(self) -> None:
        """Create an estimator without samples."""
        self._smoothed = SmoothedTime()

    def add_sample(self, seconds: float) -> None:
        """Add the response time of one attempt.

        Args:
            seconds: time from the start of the attempt, which includes the
                wait for a reservation, to the response head.
        """
        self._smoothed.add_sample(seconds)

    def find_delay(self, *, within_ms: float = inf) -> float | None:
        """Return the delay after which an attempt is hedged.

        The delay is capped at the latency target of the class: an attempt
        that misses the target is slow, whatever the usual time is. Without
        the cap, the deviation on a busy machine grows until the delay
        exceeds the time that callers wait, and a hung server is never
        hedged.

        Args:
            within_ms: latency target of the class, milliseconds.

        Returns:
            Delay in seconds, or ``None`` while there are too few samples.
        """
        if self._smoothed.samples < MIN_SAMPLES:
            return None
        delay = min(self._smoothed.bound, within_ms / MILLISECONDS)
        return max(MIN_DELAY_SECONDS, delay)


class HedgeDelays:
    """The hedge delay estimators of all classes that an entry calls."""

    def __init__(self) -> None:
        """Create a collection without estimators."""
        self._delays: dict[str, HedgeDelay] = {}

    def find_or_create(self, work_class: str) -> HedgeDelay:
        """Return the estimator of a class, created on first use.

        Args:
            work_class: qualified name of the class, ``service/class``.

        Returns:
            The estimator of the class.
        """
        hedge_delay = self._delays.get(work_class)
        if hedge_delay is None:
            hedge_delay = HedgeDelay()
            self._delays[work_class] = hedge_delay
        return hedge_delay
