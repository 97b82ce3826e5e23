"""A hybrid logical clock, so that events of many nodes can be ordered.

Wall clocks of instances disagree; a plain sort by them shows an answer
before its question. A hybrid logical clock stays near the wall clock and
never runs behind a message that was received.
"""

from __future__ import annotations

import threading
import time
from typing import Final, NewType

Stamp = NewType('Stamp', int)

LOGICAL_BITS: Final = 16
NANOSECONDS_PER_TICK: Final = 1_000_000
MAX_AHEAD_TICKS: Final = 60_000


class HybridClock:
    """Stamps that rise with the wall clock and with what was heard.

    A stamp is one integer: milliseconds since the epoch, then a counter of
    16 bits.

    Example:
        >>> clock = HybridClock()
        >>> clock.tick() < clock.tick()
        True
    """

    def __init__(self) -> None:
        """Start at the wall clock."""
        self._last = 0
        self._lock = threading.Lock()

    def tick(self) -> Stamp:
        """Stamp an event of this process.

        Returns:
            A stamp above each one given or observed before.
        """
        with self._lock:
            self._last = max(self._last + 1, _read_wall())
            return Stamp(self._last)

    def observe(self, stamp: int) -> None:
        """Take note of a stamp from another node.

        A stamp far ahead of the wall clock is left out: one node with a
        broken clock would otherwise drag the whole fleet's stamps along.

        Args:
            stamp: the sender's stamp.
        """
        ahead = (stamp - _read_wall()) >> LOGICAL_BITS
        if ahead > MAX_AHEAD_TICKS:
            return
        with self._lock:
            self._last = max(self._last, stamp)


def read_milliseconds(stamp: int) -> int:
    """Give the wall-clock part of a stamp.

    Args:
        stamp: as given by ``HybridClock.tick``.

    Returns:
        Milliseconds since the epoch.
    """
    return stamp >> LOGICAL_BITS


def _read_wall() -> int:
    return (time.time_ns() // NANOSECONDS_PER_TICK) << LOGICAL_BITS
