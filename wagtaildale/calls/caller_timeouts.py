"""How much of its time a request has used before it came.

A caller that was refused comes back with less time left, and its target
counts from its first try. The longest time that callers of a class give is
what a first try has; what a request has less was used up before.
"""

from __future__ import annotations

from typing import Final

# Callers' clocks and the way to the entry take a few milliseconds.
SLACK_MS: Final = 10
# The longest time is forgotten slowly, so that a class whose callers begin
# to give less is judged by that within some hundred requests.
KEPT: Final = 0.999


class CallerTimeouts:
    """The longest time that callers of each class give.

    Example:
        >>> timeouts = CallerTimeouts()
        >>> timeouts.estimate_elapsed_ms('a/b', 1000)
        0
        >>> timeouts.estimate_elapsed_ms('a/b', 700)
        290
    """

    def __init__(self) -> None:
        """Begin with none."""
        self._longest: dict[str, float] = {}

    def estimate_elapsed_ms(self, work_class: str, given_ms: int) -> int:
        """Find how much time a request has used.

        Args:
            work_class: service and class.
            given_ms: milliseconds that its caller still waits.

        Returns:
            Milliseconds since its caller's first try, about.
        """
        longest = self._longest.get(work_class, 0) * KEPT
        self._longest[work_class] = max(longest, given_ms)
        return max(0, round(longest) - given_ms - SLACK_MS)
