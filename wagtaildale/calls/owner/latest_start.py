"""The time after which a call may not start, since its entry's process ends."""

from __future__ import annotations

from math import inf
from typing import Final

from wagtaildale.calls.failures import CallFailed
from wagtaildale.calls.wire.fields import NO_START_LIMIT
from wagtaildale.errors.codes import Code
from wagtaildale.timers.service import read_clock

MILLISECONDS: Final = 1000
ENTRY_ENDS_DETAIL: Final = 'the process of the entry ends too soon'


class LatestStart:
    """The latest start of one call.

    Attributes:
        at: seconds on the clock; infinite without a limit.
    """

    def __init__(self) -> None:
        """Start without a limit."""
        self.at = inf

    def limit(self, start_within_ms: int) -> None:
        """Lower the latest start to a limit that the entry has sent.

        Args:
            start_within_ms: milliseconds from now, or ``NO_START_LIMIT``.
        """
        if start_within_ms != NO_START_LIMIT:
            limit = read_clock() + start_within_ms / MILLISECONDS
            self.at = min(self.at, limit)

    def check(self) -> None:
        """Check that the call may still start.

        Raises:
            CallFailed: with outcome ``not_run``, if it may not.
        """
        if read_clock() > self.at:
            raise CallFailed(Code.stopping, detail=ENTRY_ENDS_DETAIL)
