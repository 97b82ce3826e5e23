"""A clock that stands still until the next event is due."""

from __future__ import annotations

import heapq
import itertools
from collections.abc import Callable

from msgspec import Struct


class Event(Struct, frozen=True, kw_only=True, order=True, gc=False):
    """What is done at a time; the order of fields is that of events."""

    at: float
    order: int
    action: Callable[[], None]


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
        self._events: list[Event] = []

    def set(self, delay: float, event: Callable[[], None]) -> None:
        """Set an event.

        Args:
            delay: seconds from now.
            event: what is then done.
        """
        at = self.now + max(0, delay)
        due = Event(at=at, order=next(self._order), action=event)
        heapq.heappush(self._events, due)

    def run(self, *, until: float) -> None:
        """Do what is due.

        Args:
            until: seconds; later events stay.
        """
        while self._events and self._events[0].at <= until:
            event = heapq.heappop(self._events)
            self.now = event.at
            event.action()
        self.now = until
