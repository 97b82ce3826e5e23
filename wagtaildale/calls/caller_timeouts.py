"""Estimates the time that passed since a caller's first try.

A rejected caller retries with less time left, and the latency target counts
from its first try. The longest timeout that callers of a class send is taken
as the timeout of a first try; the difference to it has passed before the
request arrived.
"""

from __future__ import annotations

from typing import Final

# Tolerates a few milliseconds for callers' clocks and the network path to the
# entry.
SLACK_MS: Final = 10
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

    def estimate_elapsed_ms(self, work_class: str, given_ms: int) -> int:
        """Estimate the time since the first try of a request's caller.

        Args:
            work_class: qualified name of the class, ``service/class``.
            given_ms: time that the caller still waits, milliseconds.

        Returns:
            Estimated time since the first try, milliseconds.
        """
        longest = self._longest.get(work_class, 0) * DECAY
        self._longest[work_class] = max(longest, given_ms)
        return max(0, round(longest) - given_ms - SLACK_MS)
