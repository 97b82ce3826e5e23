"""Estimates the time that passed since a caller's first try.

A rejected caller retries with less time left, and the latency target counts
from its first try. The longest timeout that callers of a class send is taken
as the timeout of a first try; a caller that sends a shorter one has already
waited for the difference.
"""

from __future__ import annotations

from typing import Final

# Differences up to this are taken as jitter of callers' clocks and of the
# network path to the entry.
TOLERANCE_MS: Final = 10
# Factor by which the longest timeout decays with each request, so that it
# follows shorter timeouts of a class's callers within a few hundred requests.
DECAY: Final = 0.999


class CallerTimeouts:
    """The longest timeout that callers of each class send.

    Example:
        >>> timeouts = CallerTimeouts()
        >>> timeouts.estimate_elapsed_ms('a/b', 1000)
        0
        >>> timeouts.estimate_elapsed_ms('a/b', 700)
        289
    """

    def __init__(self) -> None:
        """Create an estimator without observations."""
        self._longest: dict[str, float] = {}

    def estimate_elapsed_ms(self, work_class: str, timeout_ms: int) -> int:
        """Estimate the time since the first try of a request's caller.

        Args:
            work_class: qualified name of the class, ``service/class``.
            timeout_ms: time that the caller still waits, milliseconds.

        Returns:
            Estimated time since the first try, milliseconds.
        """
        longest = self._longest.get(work_class, 0) * DECAY
        self._longest[work_class] = max(longest, timeout_ms)
        return max(0, round(longest) - timeout_ms - TOLERANCE_MS)
