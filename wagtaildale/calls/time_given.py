"""How much of its time a request has used before it came.

A caller that was refused comes back with less time left, and its target
counts from its first try. Where callers of a class give a first try the same
time, the longest is that, and what a request has less was used up before.

Where callers differ in how long they wait, nothing can be told from it.
"""

from __future__ import annotations

from typing import Final

from msgspec import Struct

# Callers' clocks and the way to the entry take a few milliseconds.
SLACK_MS: Final = 10
# The longest time is forgotten slowly, so that a class whose callers begin
# to give less is judged by that within some hundred requests.
KEPT: Final = 0.999
# Of the requests, those that must give the longest time. Callers make a few
# tries, so that under overload a third of the requests are first ones.
LIKE_LONGEST: Final = 0.25
# Of the longest: a caller that gives so much more is another kind of caller.
LONGER_SHARE: Final = 0.05
# Of a request in that share: some twenty make most of it.
SHARE_GAIN: Final = 0.05


class GivenTime(Struct, kw_only=True, gc=False):
    """What callers of one class give.

    Attributes:
        longest_ms: milliseconds.
        share: of the requests, those that give it.
    """

    longest_ms: float = 0
    share: float = 0

    def note(self, given_ms: int) -> int:
        """Note a request.

        Args:
            given_ms: milliseconds that its caller still waits.

        Returns:
            How much less than the longest that is, milliseconds.
        """
        kept_ms = self.longest_ms * KEPT
        if given_ms > kept_ms * (1 + LONGER_SHARE):
            # Nobody else has given as much yet.
            self.share = 0
        self.longest_ms = max(kept_ms, given_ms)
        less = max(0, round(self.longest_ms) - given_ms - SLACK_MS)
        self.share += ((less == 0) - self.share) * SHARE_GAIN
        return less


class TimesGiven:
    """The time that callers of each class give.

    Example:
        >>> times = TimesGiven()
        >>> [times.find_used_ms('a/b', 1000) for _request in range(6)][-1]
        0
        >>> times.find_used_ms('a/b', 700)
        290
    """

    def __init__(self) -> None:
        """Begin with none."""
        self._given: dict[str, GivenTime] = {}

    def find_used_ms(self, work_class: str, given_ms: int) -> int:
        """Find how much time a request has used.

        Failure guarded here: callers of one class wait for five seconds,
        more or less, and each request with less than the most patient one
        gives is taken for one that comes back, its target nearly missed. It
        is refused, or sent to another data centre, on a calm day.

        Args:
            work_class: service and class.
            given_ms: milliseconds that its caller still waits.

        Returns:
            Milliseconds since its caller's first try, about; 0 where callers
            differ.
        """
        given = self._given.setdefault(work_class, GivenTime())
        less = given.note(given_ms)
        return less if given.share >= LIKE_LONGEST else 0
