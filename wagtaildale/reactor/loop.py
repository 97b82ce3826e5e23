"""The loop of a task that owns many sockets and waits on a selector.

A handful of such tasks carries all connections of a node. A thread for each
connection costs a stack and a scheduler's turn each, and a machine runs out
of threads before it runs out of work (figures in docs/design/concurrency.md).
"""

from __future__ import annotations

import select
from collections import deque
from concurrent.futures import Future
from typing import TYPE_CHECKING, Final, TypeVar

from wagtaildale.timers.alarms import Alarms
from wagtaildale.timers.inbox import Inbox
from wagtaildale.timers.service import LATE_SECONDS, read_clock

if TYPE_CHECKING:
    from collections.abc import Callable

Outcome = TypeVar('Outcome')

READABLE: Final = select.EPOLLIN
WRITABLE: Final = select.EPOLLOUT


class Job:
    """Something that another thread asks the loop to do."""

    def __init__(self, work: Callable[[], object]) -> None:
        """Describe it.

        Args:
            work: done in the loop's thread.
        """
        self.future: Future[object] = Future()
        self._work = work

    def carry_out(self) -> None:
        """Do it and give the outcome to whoever asked."""
        try:
            self.future.set_result(self._work())
        except Exception as error:
            self.future.set_exception(error)


class Loop:
    """Waits for sockets, alarms and jobs, and calls what was set for them.

    Attributes:
        alarms: rung between two waits, before any socket is looked at.
        woken_late: how often the process was found to have been paused.
    """

    def __init__(
        self,
        *,
        on_defect: Callable[[BaseException], None],
        on_late: Callable[[float], None],
    ) -> None:
        """Open the selector; ``run`` does the work.

        Args:
            on_defect: is told when a callback fails in a way that no other
                side can cause; the loop goes on.
            on_late: is told for how many seconds the process was paused.
        """
        self.alarms = Alarms()
        self.woken_late = 0
        self._on_defect = on_defect
        self._on_late = on_late
        self._selector = select.epoll()
        self._callbacks: dict[int, Callable[[int], None]] = {}
        self._jobs: Inbox[Job] = Inbox()
        self._soon: deque[Callable[[], None]] = deque()
        self._running = True
        self.watch(self._jobs.fileno(), READABLE, self._do_jobs)

    def watch(
        self,
        number: int,
        events: int,
        callback: Callable[[int], None],
    ) -> None:
        """Call a callback when a descriptor is ready.

        Args:
            number: the descriptor.
            events: for which to wait.
            callback: is given the events that came.
        """
        self._callbacks[number] = callback
        self._selector.register(number, events)

    def change(self, number: int, events: int) -> None:
        """Wait for other events of a descriptor.

        Args:
            number: the descriptor.
            events: for which to wait.
        """
        self._selector.modify(number, events)

    def forget(self, number: int) -> None:
        """Wait for a descriptor no longer; before it is closed.

        Args:
            number: the descriptor.
        """
        self._callbacks.pop(number, None)
        self._selector.unregister(number)

    def submit(self, work: Callable[[], Outcome]) -> Future[Outcome]:
        """Have something done in the loop's thread.

        Args:
            work: what to do.

        Returns:
            Gets the outcome.
        """
        job = Job(work)
        self._jobs.put(job)
        return job.future  # type: ignore[return-value]

    def call_soon(self, work: Callable[[], None]) -> None:
        """Do something once the callback at work has returned.

        Args:
            work: what to do; from the loop's own thread.
        """
        self._soon.append(work)

    def run(self) -> None:
        """Work until stopped."""
        while self._running:
            self.step(LONGEST_STEP)

    def stop(self) -> None:
        """End ``run``; may be called from another thread."""
        self._running = False
        self._jobs.put(Job(_do_nothing))

    def step(self, longest: float) -> None:
        """Wait once and handle what has come.

        Failure guarded here: a process is paused, wakes, and sends on a
        request whose caller has long gone elsewhere. Alarms ring before any
        socket is read, so deadlines and leases that ended during the pause
        end their calls first.

        Args:
            longest: seconds to wait at most.
        """
        now = read_clock()
        delay = min(longest, self.alarms.find_delay(now))
        if self._soon:
            delay = 0
        ready = self._selector.poll(delay)
        late_by = read_clock() - now - delay
        if late_by > LATE_SECONDS:
            self.woken_late += 1
            self._on_late(late_by)
        self._guard(self._ring)
        self._do_soon()
        for number, events in ready:
            callback = self._callbacks.get(number)
            if callback is not None:
                self._guard(callback, events)
                self._do_soon()

    def close(self) -> None:
        """Close the selector, after ``run`` has ended."""
        self._selector.close()

    def _ring(self) -> None:
        self.alarms.fire_due(read_clock())

    def _do_soon(self) -> None:
        while self._soon:
            self._guard(self._soon.popleft())

    def _do_jobs(self, events: int) -> None:
        for job in self._jobs.take_all():
            job.carry_out()

    def _guard(self, callback: Callable[..., None], *events: int) -> None:
        # Failure: a defect in the handling of one connection ends the task
        # and with it every other connection of the node.
        try:
            callback(*events)
        except Exception as error:
            self._on_defect(error)


LONGEST_STEP: Final = 1.0


def _do_nothing() -> None:
    """Wake the loop."""
