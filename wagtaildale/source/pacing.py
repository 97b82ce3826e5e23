"""How fast a node may read the platform.

The platform answers about 2,000 reads a second for all readers together,
and that grows more slowly than the fleet. Each task that reads has a token
bucket; docs/CAPACITY.md adds them up over 2,500 nodes.
"""

from __future__ import annotations

import random
from typing import Final

FIRST_CAP: Final = 0.5
LAST_CAP: Final = 30.0


class TokenBucket:
    """Permits a rate, with a burst above it.

    Example:
        >>> bucket = TokenBucket(rate=1, burst=1, now=0)
        >>> bucket.take(now=0), bucket.take(now=0)
        (0, 1.0)
    """

    def __init__(self, *, rate: float, burst: float, now: float) -> None:
        """Begin with a full bucket.

        Args:
            rate: tokens a second.
            burst: tokens that a full bucket holds.
            now: seconds.
        """
        self._rate = rate
        self._burst = burst
        self._tokens = burst
        self._filled_at = now

    def take(self, *, now: float) -> float:
        """Take a token, in advance if there is none.

        Args:
            now: seconds.

        Returns:
            Seconds to wait before the read may be sent.
        """
        gained = (now - self._filled_at) * self._rate
        self._tokens = min(self._burst, self._tokens + gained) - 1
        self._filled_at = now
        return max(0, -self._tokens / self._rate)


class Backoff:
    """Exponential backoff with full jitter.

    Failure guarded here: a herd that lost the platform at one moment asks
    again at one moment, over and over. The guard holds since each delay is
    drawn evenly from nothing up to a cap that doubles.
    """

    def __init__(
        self,
        *,
        first_cap: float = FIRST_CAP,
        last_cap: float = LAST_CAP,
    ) -> None:
        """Begin with the smallest cap.

        Args:
            first_cap: longest delay after one failure, seconds.
            last_cap: longest delay, seconds.
        """
        self._first_cap = first_cap
        self._cap = first_cap
        self._last_cap = last_cap

    def draw(self) -> float:
        """Draw the delay after one more failure.

        Returns:
            Seconds.
        """
        delay = random.uniform(0, self._cap)
        self._cap = min(self._last_cap, self._cap * 2)
        return delay

    def reset(self) -> None:
        """Begin anew after a success."""
        self._cap = self._first_cap
