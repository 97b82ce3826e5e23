"""The rate of requests that a backend server takes, as it names it.

Load pattern answered: a server in need asks for fewer requests a second than
come. A number of slots bounds no rate: a quick server gets many times what it
named with few requests running. A token bucket stands beside the slots: each
request to the server takes a token, whoever sends it and why.
"""

from __future__ import annotations

from math import inf
from typing import Final

from msgspec import Struct, field

# What a server did not get for half a second it may get at once: callers do
# not come evenly.
BURST_SECONDS: Final = 0.5
# A token to run, and one that is kept for more important requests.
MIN_BURST_TOKENS: Final = 2.0
RESERVED_TOKENS: Final = 1.0
# A server that named none would never be heard to take requests again.
MIN_PER_SECOND: Final = 0.5
# For so long tokens are kept for a rank of which a request came.
RANK_ACTIVE_SECONDS: Final = 2.0


class RateLimit(Struct, kw_only=True):
    """Tokens for requests to one start of a backend server.

    Attributes:
        per_second: that it takes; nothing while it names no limit.
        is_observed: whether this process has heard the server itself.
        tokens: as last counted.
        counted_at: when that was, seconds.
        source_sent_at: when the run began whose answer named the limit, or ended
            it, seconds.
        last_seen_by_rank: when a request of each rank came last, seconds.
    """

    per_second: float | None = None
    is_observed: bool = False
    tokens: float = 0
    counted_at: float = 0
    source_sent_at: float = -inf
    last_seen_by_rank: dict[int, float] = field(default_factory=dict)

    @property
    def is_limited(self) -> bool:
        """Whether the server names a limit."""
        return self.per_second is not None

    def note_answer(
        self,
        per_second: float | None,
        *,
        begun_at: float,
        now: float,
    ) -> None:
        """Note what an answer of the server says.

        Failure guarded here: answers to requests that were begun before the
        server came into need arrive after it named its limit, and end it. An
        answer to a request that is older than the limit can only lower it.

        Args:
            per_second: the limit that it names; nothing if it names none.
            begun_at: when its request was sent to the server, seconds.
            now: seconds.
        """
        is_later = begun_at >= self.source_sent_at or not self.is_observed
        if is_later or _is_lower(per_second, self.per_second):
            self.source_sent_at = max(self.source_sent_at, begun_at)
            self._set_rate(per_second, now)
        self.is_observed = True

    def note_forwarded(self, per_second: float, *, now: float) -> None:
        """Note a limit that an entry has heard from an earlier owner.

        Failure guarded here: an owner that has just started lets as many
        requests through as the server has slots, until its first answer.

        Args:
            per_second: the limit.
            now: seconds.
        """
        if not self.is_observed and _is_lower(per_second, self.per_second):
            self._set_rate(per_second, now)

    def note_restart(self) -> None:
        """Note that the server has started anew: it has named nothing yet."""
        self.per_second = None
        self.is_observed = True
        self.source_sent_at = -inf

    def note_request(self, rank: int, *, now: float) -> None:
        """Note that a request comes.

        Args:
            rank: of its class; 0 goes first.
            now: seconds.
        """
        self.last_seen_by_rank[rank] = now

    def has_token(self, rank: int, *, now: float) -> bool:
        """Tell whether a request may go to the server now.

        Args:
            rank: of its class; 0 goes first.
            now: seconds.

        Returns:
            Whether there is a token for it.
        """
        return self.find_wait(rank, ahead=0, now=now) <= 0

    def take_token(self, *, now: float) -> None:
        """Take a token: a request goes to the server.

        Args:
            now: seconds.
        """
        if self.per_second is not None:
            self._refill(now)
            self.tokens -= 1

    def find_wait(self, rank: int, *, ahead: int, now: float) -> float:
        """Find how long a request waits for its token.

        Args:
            rank: of its class.
            ahead: requests that go before it.
            now: seconds.

        Returns:
            Seconds.
        """
        if self.per_second is None:
            return 0
        self._refill(now)
        missing = ahead + 1 + self._find_reserved(rank, now) - self.tokens
        return max(0, missing / _clamp_rate(self.per_second))

    def _find_reserved(self, rank: int, now: float) -> float:
        # Failure: whatever comes first takes each token, and a booking meets
        # an empty bucket as often as a report does.
        return RESERVED_TOKENS * any(
            other < rank and now - at < RANK_ACTIVE_SECONDS
            for other, at in self.last_seen_by_rank.items()
        )

    def _set_rate(self, per_second: float | None, now: float) -> None:
        if self.per_second is None:
            # The server has just had more than it can bear.
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
