"""A clock that stands still until the next event is due."""

from __future__ import annotations

import heapq
import itertools
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable


class VirtualClock:
    """Events in the order of their times.

    Attributes:
        now: seconds.

    Example:
        >>> clock = VirtualClock()
        >>> clock.set(2.0, lambda: print(clock.now))
        >>> clock.run(until=5.0)
        2.0
    """

    def __init__(self) -> None:
        """Begin at zero with nothing due."""
        self.now = float(0)
        self._order = itertools.count()
        self._events: list[tuple[float, int, Callable[[], None]]] = []

    def set(self, delay: float, event: Callable[[], None]) -> None:
        """Set an event.

        Args:
            delay: seconds from now.
            event: what is then done.
        """
        at = self.now + max(0, delay)
        heapq.heappush(self._events, (at, next(self._order), event))

    def run(self, *, until: float) -> None:
        """Do what is due.

        Args:
            until: seconds; later events stay.
        """
        while self._events and self._events[0][0] <= until:
            self.now, _order, event = heapq.heappop(self._events)
            event()
        self.now = until
