"""When a second attempt is begun beside one that is slow to answer.

The delay follows the round-trip estimator of TCP, smoothed time plus four
times its deviation. MONET (Andersen et al., NSDI 2005, section 2.2.2) paces
its further attempts alike; the measurement that supports it here is in
docs/design/calls.md.
"""

from __future__ import annotations

from math import inf
from typing import Final

GAIN: Final = 0.125
DEVIATION_GAIN: Final = 0.25
DEVIATIONS: Final = 4
LEAST_DELAY: Final = 0.002
SAMPLES_TO_TRUST: Final = 20
MILLISECONDS: Final = 1000


class HedgeDelay:
    """Estimates the time of one class's answers.

    Example:
        >>> clock = HedgeDelay()
        >>> clock.find_delay() is None
        True
    """

    __slots__ = ('_deviation', '_samples', '_smoothed')

    def __init__(self) -> None:
        """Begin with no sample."""
        self._smoothed = float(0)
        self._deviation = float(0)
        self._samples = 0

    def add_sample(self, seconds: float) -> None:
        """Note how long an answer took.

        Args:
            seconds: from sending to the head of the answer.
        """
        if self._samples:
            error = seconds - self._smoothed
            self._smoothed += GAIN * error
            gain = abs(error) - self._deviation
            self._deviation += DEVIATION_GAIN * gain
        else:
            self._smoothed = seconds
            self._deviation = seconds / 2
        self._samples += 1

    def find_delay(self, *, within_ms: float = inf) -> float | None:
        """Find how long to wait before a second attempt.

        Failure guarded here: on a busy machine the deviation grows until
        the delay is past what anybody waits for, and a hung server is met
        by no second attempt. Once the target is missed an attempt counts
        as slow whatever is usual.

        Args:
            within_ms: target of the class, milliseconds.

        Returns:
            Seconds, or nothing while there are too few samples.
        """
        if self._samples < SAMPLES_TO_TRUST:
            return None
        delay = self._smoothed + DEVIATIONS * self._deviation
        return max(LEAST_DELAY, min(delay, within_ms / MILLISECONDS))


class HedgeDelays:
    """The clocks of all classes of an entry."""

    def __init__(self) -> None:
        """Begin with none."""
        self._clocks: dict[str, HedgeDelay] = {}

    def find(self, work_class: str) -> HedgeDelay:
        """Find the clock of a class.

        Args:
            work_class: service and class.

        Returns:
            Its clock, a new one for a new class.
        """
        clock = self._clocks.get(work_class)
        if clock is None:
            clock = HedgeDelay()
            self._clocks[work_class] = clock
        return clock
