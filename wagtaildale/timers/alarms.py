"""One-shot alarms for a task that waits on a selector.

``TimerService`` sends ticks to other tasks' inboxes. A task that owns sockets
needs thousands of short deadlines, one or two for each call, most of which
are cancelled: those ring inside its own loop, without a hand-over.
"""

from __future__ import annotations

import heapq
from typing import TYPE_CHECKING, Final

from wagtaildale.timers.service import read_clock

if TYPE_CHECKING:
    from collections.abc import Callable

MAX_WAIT_SECONDS: Final = 1.0


class Alarm:
    """Something to do at a time, unless it is cancelled before.

    Attributes:
        at: time on the clock, seconds.
    """

    __slots__ = ('_action', 'at')

    def __init__(self, at: float, action: Callable[[], None]) -> None:
        """Set the time.

        Args:
            at: time on the clock, seconds.
            action: function that is called at that time.
        """
        self.at = at
        self._action: Callable[[], None] | None = action

    @property
    def is_set(self) -> bool:
        """Whether it has neither rung nor been cancelled."""
        return self._action is not None

    def cancel(self) -> None:
        """Do nothing at that time."""
        self._action = None

    def fire(self) -> None:
        """Do what was set, once."""
        action = self._action
        self._action = None
        if action is not None:
            action()


class Alarms:
    """The alarms of one task; not shared between threads.

    Example:
        >>> alarms = Alarms()
        >>> alarm = alarms.set(0, lambda: print('now'))
        >>> alarms.fire_due(alarm.at)
        now
    """

    def __init__(self) -> None:
        """Begin with none."""
        self._heap: list[tuple[float, int, Alarm]] = []
        self._sequence = 0

    def set(self, seconds: float, action: Callable[[], None]) -> Alarm:
        """Set an alarm.

        Args:
            seconds: from now.
            action: function that is called at that time.

        Returns:
            The alarm, to cancel it.
        """
        return self.set_at(read_clock() + seconds, action)

    def set_at(self, at: float, action: Callable[[], None]) -> Alarm:
        """Set an alarm for a time on the clock.

        Args:
            at: time on the clock, seconds.
            action: function that is called at that time.

        Returns:
            The alarm, to cancel it.
        """
        alarm = Alarm(at, action)
        self._sequence += 1
        heapq.heappush(self._heap, (at, self._sequence, alarm))
        return alarm

    def find_delay(self, now: float) -> float:
        """Find how long the task may wait.

        Args:
            now: current time on the clock, seconds.

        Returns:
            Seconds until the next alarm, ``MAX_WAIT_SECONDS`` at most.
        """
        while self._heap and not self._heap[0][2].is_set:
            heapq.heappop(self._heap)
        if not self._heap:
            return MAX_WAIT_SECONDS
        return min(MAX_WAIT_SECONDS, max(0, self._heap[0][0] - now))

    def fire_due(self, now: float) -> None:
        """Ring every alarm whose time has come.

        Args:
            now: current time on the clock, seconds.
        """
        while self._heap and self._heap[0][0] <= now:
            heapq.heappop(self._heap)[2].fire()
