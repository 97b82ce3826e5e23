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
LEAST_BURST: Final = 2.0
KEPT_TOKENS: Final = 1.0
# A server that named none would never be heard to take requests again.
LEAST_PER_SECOND: Final = 0.5
# For so long tokens are kept for a rank of which a request came.
RANK_SECONDS: Final = 2.0


class RateLimit(Struct, kw_only=True):
    """Tokens for requests to one start of a backend server.

    Attributes:
        per_second: that it takes; nothing while it names no limit.
        is_heard: whether this process has heard the server itself.
        tokens: as last counted.
        counted_at: when that was, seconds.
        told_from: when the run began whose answer named the limit, or ended
            it, seconds.
        ranks: when a request of each rank came last, seconds.
    """

    per_second: float | None = None
    is_heard: bool = False
    tokens: float = 0
    counted_at: float = 0
    told_from: float = -inf
    ranks: dict[int, float] = field(default_factory=dict)

    @property
    def is_named(self) -> bool:
        """Whether the server names a limit."""
        return self.per_second is not None

    def note_told(
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
        is_later = begun_at >= self.told_from or not self.is_heard
        if is_later or _is_lower(per_second, self.per_second):
            self.told_from = max(self.told_from, begun_at)
            self._change(per_second, now)
        self.is_heard = True

    def note_brought(self, per_second: float, *, now: float) -> None:
        """Note a limit that an entry has heard from an earlier owner.

        Failure guarded here: an owner that has just started lets as many
        requests through as the server has slots, until its first answer.

        Args:
            per_second: the limit.
            now: seconds.
        """
        if not self.is_heard and _is_lower(per_second, self.per_second):
            self._change(per_second, now)

    def note_started(self) -> None:
        """Note that the server has started anew: it has named nothing yet."""
        self.per_second = None
        self.is_heard = True
        self.told_from = -inf

    def note_rank(self, rank: int, *, now: float) -> None:
        """Note that a request comes.

        Args:
            rank: of its class; 0 goes first.
            now: seconds.
        """
        self.ranks[rank] = now

    def has_token(self, rank: int, *, now: float) -> bool:
        """Tell whether a request may go to the server now.

        Args:
            rank: of its class; 0 goes first.
            now: seconds.

        Returns:
            Whether there is a token for it.
        """
        return self.find_wait(rank, ahead=0, now=now) <= 0

    def take(self, *, now: float) -> None:
        """Take a token: a request goes to the server.

        Args:
            now: seconds.
        """
        if self.per_second is not None:
            self._count(now)
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
        self._count(now)
        missing = ahead + 1 + self._find_kept(rank, now) - self.tokens
        return max(0, missing / _bound(self.per_second))

    def _find_kept(self, rank: int, now: float) -> float:
        # Failure: whatever comes first takes each token, and a booking meets
        # an empty bucket as often as a report does.
        return KEPT_TOKENS * any(
            other < rank and now - at < RANK_SECONDS
            for other, at in self.ranks.items()
        )

    def _change(self, per_second: float | None, now: float) -> None:
        if self.per_second is None:
            # The server has just had more than it can bear.
            self.tokens = 1
            self.counted_at = now
        self._count(now)
        self.per_second = per_second
        self._count(now)

    def _count(self, now: float) -> None:
        if self.per_second is None:
            return
        rate = _bound(self.per_second)
        grown = self.tokens + (now - self.counted_at) * rate
        self.tokens = min(grown, max(LEAST_BURST, rate * BURST_SECONDS))
        self.counted_at = now


def _bound(per_second: float) -> float:
    return max(LEAST_PER_SECOND, per_second)


def _is_lower(per_second: float | None, known: float | None) -> bool:
    if per_second is None:
        return False
    return known is None or per_second < known
