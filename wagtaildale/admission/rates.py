"""Applies the request rate limit that a backend server names.

A backend server under load may name a limit in requests per second. Slots
do not bound a rate: a fast server can get many times its limit with few
concurrent requests. A token bucket is therefore used in addition to the
slots. Every request to the server takes a token, including the node's own.
"""

from __future__ import annotations

from math import inf
from typing import TYPE_CHECKING, Final

from msgspec import Struct, field

from wagtaildale.admission.recent_sends import RecentSends
from wagtaildale.admission.slow_start import SlowStartBound

if TYPE_CHECKING:
    from wagtaildale.admission.messages import TicketId

# Requests that a server did not get in the last half second may be sent at
# once, since callers do not send them evenly.
BURST_SECONDS: Final = 0.5
# One token for a request, and one that is reserved for higher priorities.
MIN_BURST_TOKENS: Final = 2.0
RESERVED_TOKENS: Final = 1
# With a limit of zero no response would ever arrive to raise it again.
MIN_PER_SECOND: Final = 0.5
# A token is reserved for a rank for this long after its last request.
RANK_ACTIVE_SECONDS: Final = 2.0


class RateLimit(Struct, kw_only=True):
    """Token bucket for requests to a backend server, until it restarts.

    Attributes:
        per_second: requests per second that it accepts; None without a limit.
        is_observed: whether this process knows the limit from the server
            itself, not only from an entry.
        tokens: number of tokens at ``counted_at``.
        counted_at: when the bucket was last refilled, seconds.
        source_sent_at: when the request was sent whose response last set or
            ended the limit, seconds.
        last_seen_by_rank: arrival time of the last request of each rank,
            seconds.
        slow_start: bound on the rate of a server that has just started; None
            if it is warm.
        recent_sends: requests that the server was sent in the last second.
    """

    per_second: float | None = None
    is_observed: bool = False
    tokens: float = 0
    counted_at: float = 0
    source_sent_at: float = -inf
    last_seen_by_rank: dict[int, float] = field(default_factory=dict)
    slow_start: SlowStartBound | None = None
    recent_sends: RecentSends = field(default_factory=RecentSends)

    def find_rate(self, now: float) -> float | None:
        """Find the rate that the server may get.

        Args:
            now: current time, seconds.

        Returns:
            Requests per second: the limit that the server names or that of
            its slow start, whichever is lower; None without a limit.
        """
        slow_start = self.find_slow_start(now)
        if slow_start is None:
            return self.per_second
        if self.per_second is None:
            return slow_start.per_second
        return min(self.per_second, slow_start.per_second)

    def find_slow_start(self, now: float) -> SlowStartBound | None:
        """Find the bound of a cold server.

        Args:
            now: current time, seconds.

        Returns:
            The bound that is in force; None if the server is warm.
        """
        slow_start = self.slow_start
        if slow_start is None or now >= slow_start.until:
            return None
        return slow_start

    def note_answer(
        self,
        per_second: float | None,
        *,
        begun_at: float,
        now: float,
    ) -> None:
        """Apply the rate limit that a response of the server names.

        Responses to requests that were sent before the server was under load
        may arrive after it named its limit, and must not end it. A response
        to a request that is older than the limit can therefore only lower it.

        Args:
            per_second: limit that the response names; None without a limit.
            begun_at: when the request was sent to the server, seconds.
            now: current time, seconds.
        """
        is_later = begun_at >= self.source_sent_at or not self.is_observed
        if is_later or _is_lower(per_second, self.per_second):
            self.source_sent_at = max(self.source_sent_at, begun_at)
            self._set_rate(per_second, now)
        self.is_observed = True

    def note_forwarded(self, per_second: float, *, now: float) -> None:
        """Apply a rate limit that an entry learned from an earlier owner.

        Without this, an owner that has just started sends as many requests
        as the server has slots until its first response arrives.

        Args:
            per_second: the limit.
            now: current time, seconds.
        """
        if not self.is_observed and _is_lower(per_second, self.per_second):
            self._set_rate(per_second, now)

    def note_restart(self) -> None:
        """Drop the limit after a restart: the new server has named none yet."""
        self.per_second = None
        self.is_observed = True
        self.source_sent_at = -inf

    def note_request(self, rank: int, *, now: float) -> None:
        """Record the arrival of a request.

        Args:
            rank: priority of the request's class; 0 is served first.
            now: current time, seconds.
        """
        self.last_seen_by_rank[rank] = now

    def has_token(self, rank: int, *, now: float) -> bool:
        """Tell whether a request may be sent to the server now.

        Args:
            rank: priority of the request's class; 0 is served first.
            now: current time, seconds.

        Returns:
            Whether a token is available to its rank.
        """
        return self.find_wait(rank, ahead=0, now=now) <= 0

    def take_token(self, ticket: TicketId | None, *, now: float) -> None:
        """Take a token for a request that is sent to the server.

        Args:
            ticket: ticket of the request; None for the node's own.
            now: current time, seconds.
        """
        self.recent_sends.note(ticket, now=now)
        if self.find_rate(now) is not None:
            self.refill(now)
            self.tokens -= 1

    def find_wait(self, rank: int, *, ahead: int, now: float) -> float:
        """Estimate how long a request waits for its token.

        Args:
            rank: priority of the request's class; 0 is served first.
            ahead: number of requests that are served before it.
            now: current time, seconds.

        Returns:
            Seconds.
        """
        per_second = self.find_rate(now)
        if per_second is None:
            return 0
        self.refill(now)
        ahead += _find_reserved(self, rank, now)
        missing = ahead + 1 - self.tokens
        return max(
            0,
            missing / _clamp_rate(per_second),
            _find_slow_start_wait(self, ahead, now),
        )

    def refill(self, now: float) -> None:
        """Add the tokens since the bucket was last refilled.

        Args:
            now: current time, seconds.
        """
        per_second = self.find_rate(now)
        if per_second is None:
            return
        rate = _clamp_rate(per_second)
        grown = self.tokens + (now - self.counted_at) * rate
        self.tokens = min(grown, _find_burst(self, rate, now))
        self.counted_at = now

    def _set_rate(self, per_second: float | None, now: float) -> None:
        if self.find_rate(now) is None:
            # The server was overloaded a moment ago: start without a burst.
            self.tokens = 1
            self.counted_at = now
        self.refill(now)
        self.per_second = per_second
        self.refill(now)


def begin_slow_start(
    rate: RateLimit, bound: SlowStartBound, *, now: float
) -> None:
    """Bound the rate of a server that is cold.

    Args:
        rate: rate limit of the server; updated in place.
        bound: rate, and when the slow start ends.
        now: current time, seconds.
    """
    if rate.find_rate(now) is None:
        # What the server got in the last second counts towards the bound.
        rate.tokens = max(1, bound.burst - rate.recent_sends.count(now))
        rate.counted_at = now
    rate.refill(now)
    rate.slow_start = bound
    rate.refill(now)


def _find_slow_start_wait(rate: RateLimit, ahead: int, now: float) -> float:
    # The bound may begin after the server turned cold: what it got before
    # counts towards what it bears in one second.
    slow_start = rate.find_slow_start(now)
    if slow_start is None:
        return 0
    return rate.recent_sends.find_wait(
        most=slow_start.most_in_second, ahead=ahead, now=now
    )


def _find_reserved(rate: RateLimit, rank: int, now: float) -> int:
    # Without a reserved token the first request to arrive takes it, and a
    # request of high priority finds the bucket empty as often as others.
    return RESERVED_TOKENS * any(
        other < rank and now - at < RANK_ACTIVE_SECONDS
        for other, at in rate.last_seen_by_rank.items()
    )


def _find_burst(rate: RateLimit, per_second: float, now: float) -> float:
    burst = max(MIN_BURST_TOKENS, per_second * BURST_SECONDS)
    slow_start = rate.find_slow_start(now)
    if slow_start is None:
        return burst
    return min(burst, slow_start.burst)


def _clamp_rate(per_second: float) -> float:
    return max(MIN_PER_SECOND, per_second)


def _is_lower(per_second: float | None, known: float | None) -> bool:
    if per_second is None:
        return False
    return known is None or per_second < known
