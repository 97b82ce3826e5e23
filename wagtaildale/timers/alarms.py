"""One-shot alarms for a task that waits on a selector.

``TimerService`` sends ticks to other tasks' inboxes. A task that owns sockets
needs thousands of short deadlines, one or two for each call, most of which
are cancelled. These alarms fire inside the task's own loop, without messages
between threads.
"""

from __future__ import annotations

import heapq
from typing import TYPE_CHECKING, Final

from wagtaildale.timers.service import read_clock

if TYPE_CHECKING:
    from collections.abc import Callable

MAX_WAIT_SECONDS: Final = 1.0


class Alarm:
    """Calls a function at a given time unless it is cancelled before.

    Attributes:
        at: time on the clock, seconds.
    """

    __slots__ = ('_action', 'at')

    def __init__(self, at: float, action: Callable[[], None]) -> None:
        """Set the alarm.

        Args:
            at: time on the clock, seconds.
            action: function that is called at that time.
        """
        self.at = at
        self._action: Callable[[], None] | None = action

    @property
    def is_set(self) -> bool:
        """Whether the alarm has neither fired nor been cancelled."""
        return self._action is not None

    def cancel(self) -> None:
        """Cancel the alarm."""
        self._action = None

    def fire(self) -> None:
        """Call the function, unless the alarm was cancelled or has fired."""
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
        """Create an empty set of alarms."""
        self._heap: list[tuple[float, int, Alarm]] = []
        self._sequence = 0

    def set(self, seconds: float, action: Callable[[], None]) -> Alarm:
        """Set an alarm.

        Args:
            seconds: time from now.
            action: function that is called at that time.

        Returns:
            The alarm, which can be cancelled.
        """
        return self.set_at(read_clock() + seconds, action)

    def set_at(self, at: float, action: Callable[[], None]) -> Alarm:
        """Set an alarm at a given time.

        Args:
            at: time on the clock, seconds.
            action: function that is called at that time.

        Returns:
            The alarm, which can be cancelled.
        """
        alarm = Alarm(at, action)
        self._sequence += 1
        heapq.heappush(self._heap, (at, self._sequence, alarm))
        return alarm

    def find_delay(self, now: float) -> float:
        """Compute how long the task may wait.

        Args:
            now: current time on the clock, seconds.

        Returns:
            Seconds until the next alarm, at most ``MAX_WAIT_SECONDS``.
        """
        while self._heap and not self._heap[0][2].is_set:
            heapq.heappop(self._heap)
        if not self._heap:
            return MAX_WAIT_SECONDS
        return min(MAX_WAIT_SECONDS, max(0, self._heap[0][0] - now))

    def fire_due(self, now: float) -> None:
        """Fire every alarm that is due.

        Args:
            now: current time on the clock, seconds.
        """
        while self._heap and self._heap[0][0] <= now:
            heapq.heappop(self._heap)[2].fire()
