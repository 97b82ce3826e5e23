"""The timer service: one thread that knows what time it is.

Failure guarded here: a process is paused (SIGSTOP, a frozen virtual
machine) and wakes into an old view of the world, shown by leases that look
alive and messages sent long after they were prepared. The service compares
when it meant to wake with when it woke; a gap over ``LATE_SECONDS`` is told
to every subscriber before any tick. The guard holds since the gap is
measured on the boot-time clock, which runs on while the process or the
machine sleeps.
"""

from __future__ import annotations

import heapq
import random
import time
from typing import Final, Protocol

from msgspec import Struct

from wagtaildale.timers.messages import Tick, TimerName, WokeLate

LATE_SECONDS: Final = 2.0
MAX_SLEEP_SECONDS: Final = 0.5


def read_clock() -> float:
    """Give the time that all of a node's decisions go by.

    Returns:
        Seconds on the boot-time clock, which also counts a suspended
        machine's sleep.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class TickReceiver(Protocol):
    """Whoever can be told the time: an inbox, or a part with a lock."""

    def put(self, message: Tick | WokeLate, /) -> None:
        """Take a message of the timer service.

        Args:
            message: a tick, or that this process woke late.
        """


class Subscription(Struct, kw_only=True):
    """One subscriber's wish.

    Attributes:
        name: goes back in the tick.
        inbox: gets the ticks.
        interval: seconds between ticks.
        jitter: share of the interval by which each tick varies at random.
    """

    name: TimerName
    inbox: TickReceiver
    interval: float
    jitter: float = 0

    def draw_delay(self) -> float:
        """Draw the time to the next tick.

        Returns:
            Seconds.
        """
        spread = self.jitter * random.uniform(-1, 1)
        return self.interval * (1 + spread)


class TimerService:
    """Sends ticks to subscribers; runs as one task."""

    def __init__(self) -> None:
        """Start with no subscriber."""
        self._due: list[tuple[float, int, Subscription]] = []
        self._sequence = 0
        self._running = True

    def subscribe(self, subscription: Subscription) -> None:
        """Add a subscriber; before ``run`` only.

        Args:
            subscription: who, what and how often.
        """
        self._schedule(subscription, read_clock())

    def run(self) -> None:
        """Send ticks until stopped."""
        while self._running:
            delay = self._find_delay(read_clock())
            expected = read_clock() + delay
            time.sleep(delay)
            self.advance(read_clock(), expected=expected)

    def stop(self) -> None:
        """End ``run`` within ``MAX_SLEEP_SECONDS`` seconds."""
        self._running = False

    def advance(self, now: float, *, expected: float) -> None:
        """Send what is due.

        Args:
            now: current time on the clock, seconds.
            expected: when this call was meant to come.
        """
        if now - expected > LATE_SECONDS:
            self._report_late_wake(now, now - expected)
        while self._due and self._due[0][0] <= now:
            subscription = heapq.heappop(self._due)[2]
            subscription.inbox.put(Tick(name=subscription.name, now=now))
            self._schedule(subscription, now)

    def _schedule(self, subscription: Subscription, now: float) -> None:
        self._sequence += 1
        due = now + subscription.draw_delay()
        heapq.heappush(self._due, (due, self._sequence, subscription))

    def _find_delay(self, now: float) -> float:
        if not self._due:
            return MAX_SLEEP_SECONDS
        return min(MAX_SLEEP_SECONDS, max(0, self._due[0][0] - now))

    def _report_late_wake(self, now: float, late_by: float) -> None:
        inboxes = {id(entry[2].inbox): entry[2].inbox for entry in self._due}
        for inbox in inboxes.values():
            inbox.put(WokeLate(now=now, late_by=late_by))
