"""Estimates the usual time of an operation, as TCP does for round trips."""

from __future__ import annotations

from typing import Final

# Gains and factor of the estimator are those of RFC 6298.
SMOOTHING_GAIN: Final = 0.125
DEVIATION_GAIN: Final = 0.25
DEVIATION_FACTOR: Final = 4


class SmoothedTime:
    """Smoothed time of an operation and its mean deviation.

    Attributes:
        samples: number of samples so far.

    Example:
        >>> smoothed_time = SmoothedTime()
        >>> smoothed_time.add_sample(2)
        >>> smoothed_time.bound
        6.0
    """

    __slots__ = ('_deviation', '_smoothed', 'samples')

    def __init__(self) -> None:
        """Create an estimator without samples."""
        self.samples = 0
        self._smoothed = float(0)
        self._deviation = float(0)

    @property
    def bound(self) -> float:
        """Time in seconds that few samples exceed; 0 without samples."""
        return self._smoothed + DEVIATION_FACTOR * self._deviation

    def add_sample(self, seconds: float) -> None:
        """Add the time of one operation.

        Args:
            seconds: its time.
        """
        if self.samples:
            error = seconds - self._smoothed
            self._smoothed += SMOOTHING_GAIN * error
            deviation_error = abs(error) - self._deviation
            self._deviation += DEVIATION_GAIN * deviation_error
        else:
            self._smoothed = seconds
            self._deviation = seconds / 2
        self.samples += 1
