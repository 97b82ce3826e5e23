"""Hybrid logical clock that orders the events of many nodes.

Wall clocks of instances disagree, and sorting by them can show an answer
before its request. A hybrid logical clock stays near the wall clock and is
never behind the stamp of a message that was received.
"""

from __future__ import annotations

import threading
import time
from typing import Final, NewType

Stamp = NewType('Stamp', int)

LOGICAL_BITS: Final = 16
NANOSECONDS_PER_MILLISECOND: Final = 1_000_000
MAX_AHEAD_MS: Final = 60_000


class HybridClock:
    """Issues stamps that follow the wall clock and the received stamps.

    A stamp is one integer: milliseconds since the epoch in the upper bits
    and a counter in the lower 16 bits.

    Example:
        >>> clock = HybridClock()
        >>> clock.tick() < clock.tick()
        True
    """

    def __init__(self) -> None:
        """Create a clock that starts at the wall clock."""
        self._last = 0
        self._lock = threading.Lock()

    def tick(self) -> Stamp:
        """Issue a stamp for an event of this process.

        Returns:
            A stamp greater than all that were issued or observed before.
        """
        with self._lock:
            self._last = max(self._last + 1, _read_wall_clock())
            return Stamp(self._last)

    def observe(self, stamp: int) -> None:
        """Advance the clock to a stamp received from another node.

        A stamp far ahead of the wall clock is ignored: otherwise one node
        with a wrong clock would advance the stamps of the whole fleet.

        Args:
            stamp: stamp of the sender.
        """
        ahead = (stamp - _read_wall_clock()) >> LOGICAL_BITS
        if ahead > MAX_AHEAD_MS:
            return
        with self._lock:
            self._last = max(self._last, stamp)


def read_milliseconds(stamp: int) -> int:
    """Read the wall-clock part of a stamp.

    Args:
        stamp: stamp issued by ``HybridClock.tick``.

    Returns:
        Milliseconds since the epoch.
    """
    return stamp >> LOGICAL_BITS


def _read_wall_clock() -> int:
    return (time.time_ns() // NANOSECONDS_PER_MILLISECOND) << LOGICAL_BITS
