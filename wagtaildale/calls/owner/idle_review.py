"""Reviews whether a backend server may have restarted while it was idle.

The end of a server shows in failed requests and closed connections. A server
that ends and is back while nothing is sent to it is cold, and nothing but the
list, which lags by seconds, tells its owner.
"""

from __future__ import annotations

from math import inf
from typing import TYPE_CHECKING, Final

from wagtaildale.calls.owner.server_slow_start import SlowStartOrigin
from wagtaildale.timers.service import read_clock

if TYPE_CHECKING:
    from collections.abc import Callable

    from wagtaildale.admission.rates import RateLimit
    from wagtaildale.calls.owner.server_slow_start import SlowStartTracker

# A server cannot end and be back unnoticed within this time after it answered.
IDLE_SECONDS: Final = 0.25


class IdleReview:
    """Puts a server in doubt that may have restarted unnoticed."""

    def __init__(
        self,
        slow_start: SlowStartTracker,
        *,
        rate: RateLimit,
        find_contact: Callable[[], float],
    ) -> None:
        """Start with no doubt.

        Args:
            slow_start: tracker of whether the server is in slow start.
            rate: rate limit of the server.
            find_contact: returns until when the server process is known to
                have run, seconds on the clock.
        """
        self._slow_start = slow_start
        self._rate = rate
        self._find_contact = find_contact
        self._doubted_at = -inf
        self._is_asked = True

    def run(self) -> None:
        """Review the server before a request for it is admitted.

        The server is asked only once requests follow each other, since a
        single one does no harm.
        """
        if not self._slow_start.is_applicable:
            return
        now = read_clock()
        if self._may_have_restarted(now):
            self._slow_start.note_unknown(origin=SlowStartOrigin.idle)
            self._doubted_at = now
            self._is_asked = False
        elif not self._is_asked and self._rate.recent_sends.count(now):
            self._is_asked = True
            self._slow_start.ask()

    def _may_have_restarted(self, now: float) -> bool:
        contact_at = self._find_contact()
        if now - contact_at < IDLE_SECONDS:
            return False
        is_bounded = self._rate.find_slow_start(now) is not None
        return not is_bounded or self._doubted_at <= contact_at
