"""Virtual clock, which jumps from one scheduled event to the next."""

from __future__ import annotations

import heapq
import itertools
from collections.abc import Callable

from msgspec import Struct


class Event(Struct, frozen=True, kw_only=True, order=True, gc=False):
    """A scheduled action.

    Events compare by their fields in this order: by time, then by the order
    in which they were scheduled.

    Attributes:
        at: time at which the action runs, seconds.
        order: number of events scheduled before this one.
        action: called at that time.
    """

    at: float
    order: int
    action: Callable[[], None]


class VirtualClock:
    """Runs scheduled actions in the order of their times.

    Attributes:
        now: current virtual time, seconds.

    Example:
        >>> clock = VirtualClock()
        >>> clock.schedule(2.0, lambda: print(clock.now))
        >>> clock.run(until=5.0)
        2.0
    """

    def __init__(self) -> None:
        """Start at time zero without events."""
        self.now = float(0)
        self._order = itertools.count()
        self._events: list[Event] = []

    def schedule(self, delay: float, action: Callable[[], None]) -> None:
        """Schedule an action.

        Args:
            delay: time from now, seconds; a negative one counts as 0.
            action: called at that time.
        """
        at = self.now + max(0, delay)
        event = Event(at=at, order=next(self._order), action=action)
        heapq.heappush(self._events, event)

    def run(self, *, until: float) -> None:
        """Run all actions up to a time, and set the clock to that time.

        Args:
            until: virtual time, seconds; later events stay scheduled.
        """
        while self._events and self._events[0].at <= until:
            event = heapq.heappop(self._events)
            self.now = event.at
            event.action()
        self.now = until
