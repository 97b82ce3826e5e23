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

# A busy server that closes each connection has shorter gaps between answers.
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
        slow_start = self._slow_start
        if not slow_start.starts_slowly or slow_start.is_in_doubt:
            return
        now = read_clock()
        if may_have_restarted(
            contact_at=self._find_contact(),
            doubted_at=self._find_doubt(now),
            now=now,
        ):
            slow_start.note_unknown(origin=SlowStartOrigin.idle, asks=False)
            self._doubted_at = now
            self._is_asked = False
        elif not self._is_asked and self._rate.recent_sends.count(now):
            self._is_asked = True
            slow_start.ask()

    def _find_doubt(self, now: float) -> float:
        is_bounded = self._rate.find_slow_start(now) is not None
        return self._doubted_at if is_bounded else -inf


def may_have_restarted(
    *, contact_at: float, doubted_at: float, now: float
) -> bool:
    """Tell whether a server may have restarted since it was last doubted.

    Args:
        contact_at: until when the server process is known to have run, seconds.
        doubted_at: since when it counts as cold for this reason, seconds;
            negative infinity if it does not.
        now: current time, seconds.

    Returns:
        Whether it was idle for long enough, and is not in doubt for that yet.
    """
    return now - contact_at >= IDLE_SECONDS and doubted_at <= contact_at
