"""Rate limits and backoff for reads of the platform.

The platform answers about 2,000 reads a second for all readers together,
and this rate grows more slowly than the fleet. Each task that reads has a
token bucket; docs/CAPACITY.md adds them up over 2,500 nodes.
"""

from __future__ import annotations

import random
from typing import Final

from msgspec import Struct

FIRST_CAP_SECONDS: Final = 0.5
LAST_CAP_SECONDS: Final = 30.0


class RetryPacing(Struct, frozen=True, kw_only=True):
    """How long a reader waits after failed reads.

    The first reader of a data centre reads soon after the platform is back; the
    others leave it the calls.

    Attributes:
        first_cap_seconds: longest delay after the first failed read, seconds.
        rank_cap_seconds: longest delay after any failed read, for each reader
            up to a node's rank, seconds.
    """

    first_cap_seconds: float = FIRST_CAP_SECONDS
    rank_cap_seconds: float = LAST_CAP_SECONDS


USUAL_PACING: Final = RetryPacing()


class TokenBucket:
    """Token bucket: a steady rate with bursts above it.

    Example:
        >>> bucket = TokenBucket(rate=1, burst=1, now=0)
        >>> bucket.take(now=0), bucket.take(now=0)
        (0, 1.0)
    """

    def __init__(self, *, rate: float, burst: float, now: float) -> None:
        """Create a full bucket.

        Args:
            rate: tokens added per second.
            burst: capacity of the bucket, tokens.
            now: time on the monotonic clock, seconds.
        """
        self._rate = rate
        self._burst = burst
        self._tokens = burst
        self._filled_at = now

    def take(self, *, now: float) -> float:
        """Take a token; an empty bucket goes into debt.

        Args:
            now: time on the monotonic clock, seconds.

        Returns:
            Seconds to wait before the read may be sent.
        """
        gained = (now - self._filled_at) * self._rate
        self._tokens = min(self._burst, self._tokens + gained) - 1
        self._filled_at = now
        return max(0, -self._tokens / self._rate)


class Backoff:
    """Exponential backoff with full jitter.

    Nodes that lose the platform at the same moment would otherwise all retry
    at the same moment, again and again. Each delay is drawn uniformly between
    zero and a cap that doubles with each failure, so the retries spread out.
    """

    def __init__(
        self,
        *,
        first_cap_seconds: float = FIRST_CAP_SECONDS,
        last_cap_seconds: float = LAST_CAP_SECONDS,
    ) -> None:
        """Create a backoff with the smallest cap.

        Args:
            first_cap_seconds: longest delay after the first failure, seconds.
            last_cap_seconds: longest delay after any failure, seconds.
        """
        self._first_cap_seconds = first_cap_seconds
        self._cap_seconds = first_cap_seconds
        self._last_cap_seconds = last_cap_seconds
        self._longest_seconds = last_cap_seconds

    def limit(self, last_cap_seconds: float) -> None:
        """Change the longest delay.

        Args:
            last_cap_seconds: longest delay after any failure, seconds; never
                longer than at the start.
        """
        self._last_cap_seconds = min(self._longest_seconds, last_cap_seconds)
        self._cap_seconds = min(self._cap_seconds, self._last_cap_seconds)

    def draw(self) -> float:
        """Draw the delay after a further failure.

        Returns:
            Delay before the next try, seconds.
        """
        delay = random.uniform(0, self._cap_seconds)
        self._cap_seconds = min(self._last_cap_seconds, self._cap_seconds * 2)
        return delay

    def reset(self) -> None:
        """Return to the smallest cap after a success."""
        self._cap_seconds = self._first_cap_seconds
