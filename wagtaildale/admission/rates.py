"""Applies the request rate limit that a backend server names.

A backend server under load may name a limit in requests per second. Slots
do not bound a rate: a fast server can get many times its limit with few
concurrent requests. A token bucket is therefore used in addition to the
slots. Every request to the server takes a token, including the node's own.
"""

from __future__ import annotations

from math import inf
from typing import Final

from msgspec import Struct, field

# Requests that a server did not get in the last half second may be sent at
# once, since callers do not send them evenly.
BURST_SECONDS: Final = 0.5
# One token for a request, and one that is reserved for higher priorities.
MIN_BURST_TOKENS: Final = 2.0
RESERVED_TOKENS: Final = 1.0
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
    """

    per_second: float | None = None
    is_observed: bool = False
    tokens: float = 0
    counted_at: float = 0
    source_sent_at: float = -inf
    last_seen_by_rank: dict[int, float] = field(default_factory=dict)

    @property
    def is_limited(self) -> bool:
        """Whether the server names a rate limit."""
        return self.per_second is not None

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

    def take_token(self, *, now: float) -> None:
        """Take a token for a request that is sent to the server.

        Args:
            now: current time, seconds.
        """
        if self.per_second is not None:
            self._refill(now)
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
        if self.per_second is None:
            return 0
        self._refill(now)
        missing = ahead + 1 + self._find_reserved(rank, now) - self.tokens
        return max(0, missing / _clamp_rate(self.per_second))

    def _find_reserved(self, rank: int, now: float) -> float:
        # Without a reserved token the first request to arrive takes it, and
        # a request of high priority finds the bucket empty as often as others.
        return RESERVED_TOKENS * any(
            other < rank and now - at < RANK_ACTIVE_SECONDS
            for other, at in self.last_seen_by_rank.items()
        )

    def _set_rate(self, per_second: float | None, now: float) -> None:
        if self.per_second is None:
            # The server was overloaded a moment ago: start without a burst.
            self.tokens = 1
            self.counted_at = now
        self._refill(now)
        self.per_second = per_second
        self._refill(now)

    def _refill(self, now: float) -> None:
        if self.per_second is None:
            return
        rate = _clamp_rate(self.per_second)
        grown = self.tokens + (now - self.counted_at) * rate
        self.tokens = min(grown, max(MIN_BURST_TOKENS, rate * BURST_SECONDS))
        self.counted_at = now


def _clamp_rate(per_second: float) -> float:
    return max(MIN_PER_SECOND, per_second)


def _is_lower(per_second: float | None, known: float | None) -> bool:
    if per_second is None:
        return False
    return known is None or per_second < known
