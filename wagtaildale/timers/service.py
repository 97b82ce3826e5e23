"""Timer service: sends periodic ticks and detects pauses of the process.

A process may be paused (SIGSTOP, a frozen virtual machine) and resume with
outdated state: expired leases look valid, and messages are sent long after
they were prepared. The service compares the time at which it meant to wake
with the time at which it woke, and reports a gap over ``LATE_SECONDS`` to
every subscriber before any tick. The gap is measured on the boot-time clock,
which continues while the process or the machine is suspended.
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
    """Read the clock that all decisions of a node use.

    Returns:
        Seconds on the boot-time clock, which also counts the time for which
        the machine is suspended.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class TickReceiver(Protocol):
    """Receiver of timer messages: an inbox, or an object with a lock."""

    def put(self, message: Tick | WokeLate, /) -> None:
        """Receive a message of the timer service.

        Args:
            message: a tick, or the report of a late wake.
        """


class Subscription(Struct, kw_only=True):
    """Subscription to periodic ticks.

    Attributes:
        name: name that each tick carries.
        inbox: receiver of the ticks.
        interval: time between ticks, seconds.
        jitter: share of the interval by which each tick varies at random.
    """

    name: TimerName
    inbox: TickReceiver
    interval: float
    jitter: float = 0

    def draw_delay(self) -> float:
        """Draw the delay until the next tick.

        Returns:
            Seconds.
        """
        spread = self.jitter * random.uniform(-1, 1)
        return self.interval * (1 + spread)


class TimerService:
    """Sends ticks to subscribers; runs as a task of its own."""

    def __init__(self) -> None:
        """Create a service without subscribers."""
        self._due: list[tuple[float, int, Subscription]] = []
        self._sequence = 0
        self._running = True

    def subscribe(self, subscription: Subscription) -> None:
        """Add a subscription; only allowed before ``run``.

        Args:
            subscription: receiver, name and interval of the ticks.
        """
        self._schedule(subscription, read_clock())

    def run(self) -> None:
        """Send ticks until ``stop`` is called."""
        while self._running:
            delay = self._find_delay(read_clock())
            expected = read_clock() + delay
            time.sleep(delay)
            self.advance(read_clock(), expected=expected)

    def stop(self) -> None:
        """End ``run`` within ``MAX_SLEEP_SECONDS`` seconds."""
        self._running = False

    def advance(self, now: float, *, expected: float) -> None:
        """Send the ticks that are due.

        Args:
            now: current time on the clock, seconds.
            expected: intended time of this call, seconds.
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
