"""Event loop of a task that owns many sockets and waits on a selector.

A few such tasks handle all connections of a node. With a thread for each
connection, each would need a stack and its own scheduling, and a machine would
run out of threads before it reaches its capacity (see the figures in
docs/design/concurrency.md).
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

# Functions that wait for their turn which are called in one step.
TURNS_PER_STEP: Final = 4
READABLE: Final = select.EPOLLIN
WRITABLE: Final = select.EPOLLOUT


class Job:
    """A function that another thread submits to the loop.

    Attributes:
        future: receives the result or the exception of the function.
    """

    def __init__(self, work: Callable[[], object]) -> None:
        """Create a job.

        Args:
            work: function to call in the loop's thread.
        """
        self.future: Future[object] = Future()
        self._work = work

    def run(self) -> None:
        """Call the function and set its result or exception on the future."""
        try:
            self.future.set_result(self._work())
        except Exception as error:
            self.future.set_exception(error)


class Loop:
    """Waits for sockets, alarms and jobs, and calls their callbacks.

    Attributes:
        alarms: alarms of the task, which fire after each wait and before any
            socket is handled.
        late_wakes: number of detected pauses of the process.
    """

    def __init__(
        self,
        *,
        on_defect: Callable[[BaseException], None],
        on_late: Callable[[float], None],
    ) -> None:
        """Open the selector; ``run`` starts handling events.

        Args:
            on_defect: function that is called with an exception that a
                callback raises, which is a defect of the program and not
                caused by a peer; the loop continues.
            on_late: function that is called with the length of a detected
                pause of the process, in seconds.
        """
        self.alarms = Alarms()
        self.late_wakes = 0
        self._on_defect = on_defect
        self._on_late = on_late
        self._selector = select.epoll()
        self._callbacks: dict[int, Callable[[int], None]] = {}
        self._jobs: Inbox[Job] = Inbox()
        self._deferred: deque[Callable[[], None]] = deque()
        self._turns: deque[Callable[[], None]] = deque()
        self._running = True
        self.watch(self._jobs.fileno(), READABLE, self._run_jobs)

    def watch(
        self,
        descriptor: int,
        events: int,
        callback: Callable[[int], None],
    ) -> None:
        """Register a callback for the events of a file descriptor.

        Args:
            descriptor: file descriptor to watch.
            events: mask of epoll events to wait for.
            callback: function that is called with the mask of events that
                occurred.
        """
        self._callbacks[descriptor] = callback
        self._selector.register(descriptor, events)

    def modify(self, descriptor: int, events: int) -> None:
        """Change the events of a watched file descriptor.

        Args:
            descriptor: file descriptor that is watched.
            events: mask of epoll events to wait for.
        """
        self._selector.modify(descriptor, events)

    def unwatch(self, descriptor: int) -> None:
        """Stop watching a file descriptor; call it before closing that.

        Args:
            descriptor: file descriptor that is watched.
        """
        self._callbacks.pop(descriptor, None)
        self._selector.unregister(descriptor)

    def submit(self, work: Callable[[], Outcome]) -> Future[Outcome]:
        """Submit a function to be called in the loop's thread.

        Args:
            work: function to call; may be submitted from any thread.

        Returns:
            Future that receives the result of the function.
        """
        job = Job(work)
        self._jobs.put(job)
        return job.future  # type: ignore[return-value]

    def call_soon(self, work: Callable[[], None]) -> None:
        """Call a function after the current callback has returned.

        Args:
            work: function to call. This method is only for the loop's own
                thread.
        """
        self._deferred.append(work)

    def call_in_turn(self, work: Callable[[], None]) -> None:
        """Call a function once the sockets that are ready were handled.

        A few such functions are called in each step, so that the costly input
        of many connections does not delay the events of all others.

        Args:
            work: function to call. This method is only for the loop's own
                thread.
        """
        self._turns.append(work)

    def run(self) -> None:
        """Handle events until ``stop`` is called."""
        while self._running:
            self.step(MAX_STEP_SECONDS)

    def stop(self) -> None:
        """Make ``run`` return; may be called from another thread."""
        self._running = False
        self._jobs.put(Job(_do_nothing))

    def step(self, max_wait: float) -> None:
        """Wait once and handle the events that occurred.

        Alarms fire before any socket is read, so deadlines and leases that
        expired during a pause of the process end their calls first. Without
        this order, a process that resumes would forward requests whose
        callers have long retried elsewhere.

        Args:
            max_wait: maximum time to wait, seconds.
        """
        now = read_clock()
        delay = min(max_wait, self.alarms.find_delay(now))
        if self._deferred or self._turns:
            delay = 0
        ready = self._selector.poll(delay)
        pause = read_clock() - now - delay
        if pause > LATE_SECONDS:
            self.late_wakes += 1
            self._on_late(pause)
        self._call_guarded(self._fire_alarms)
        self._run_deferred()
        for descriptor, events in ready:
            callback = self._callbacks.get(descriptor)
            if callback is not None:
                self._call_guarded(callback, events)
                self._run_deferred()
        self._run_turns()

    def close(self) -> None:
        """Close the selector; call it after ``run`` has returned."""
        self._selector.close()

    def _fire_alarms(self) -> None:
        self.alarms.fire_due(read_clock())

    def _run_deferred(self) -> None:
        while self._deferred:
            self._call_guarded(self._deferred.popleft())

    def _run_turns(self) -> None:
        left = min(TURNS_PER_STEP, len(self._turns))
        while left:
            left -= 1
            self._call_guarded(self._turns.popleft())
            self._run_deferred()

    def _run_jobs(self, events: int) -> None:
        for job in self._jobs.take_all():
            job.run()

    def _call_guarded(
        self, callback: Callable[..., None], *events: int
    ) -> None:
        # Prevents a defect in the handling of one connection from ending the
        # task and with it all its other connections.
        try:
            callback(*events)
        except Exception as error:
            self._on_defect(error)


MAX_STEP_SECONDS: Final = 1.0


def _do_nothing() -> None:
    """Do nothing; the job only wakes the loop."""
