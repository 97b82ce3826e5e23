"""Allows one run at a time for each suspected request.

Otherwise, if many callers send a request that crashes its backend server, all
runs that wait for the server would reach it as soon as it has restarted. A
popular request may come thirty times a second.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from wagtaildale.calls.wire.frames import Run
    from wagtaildale.suspects.fingerprints import Subject

RetryCallback = Callable[[], None]
# Runs of a request that wait for another one; further runs are rejected.
MAX_WAITING_RUNS: Final = 16


class SerialRuns:
    """Allows one run at a time for each suspected request."""

    def __init__(self) -> None:
        """Create an instance without runs."""
        self._running: dict[Subject, Run] = {}
        self._waiting: dict[Subject, deque[RetryCallback]] = {}

    def acquire(
        self,
        subject: Subject,
        run: Run,
        *,
        on_retry: RetryCallback,
    ) -> bool:
        """Start a run, or wait until the current one is over.

        Args:
            subject: identifies the request.
            run: run to be started.
            on_retry: callback to try again, called when the current run is
                over.

        Returns:
            Whether the run may start now.
        """
        if subject not in self._running:
            self._running[subject] = run
            return True
        self._waiting.setdefault(subject, deque()).append(on_retry)
        return False

    def is_full(self, subject: Subject) -> bool:
        """Check whether no more runs of a request may wait.

        Args:
            subject: identifies the request.

        Returns:
            Whether the limit of waiting runs is reached.
        """
        return len(self._waiting.get(subject, ())) >= MAX_WAITING_RUNS

    def release(self, run: Run) -> None:
        """Remove a finished run; let waiting ones try again until one starts.

        Args:
            run: run that is over, whether or not it was started here.
        """
        held_subjects = [
            each for each, current in self._running.items() if current is run
        ]
        for subject in held_subjects:
            self._running.pop(subject)
            self._retry_waiting(subject)

    def _retry_waiting(self, subject: Subject) -> None:
        waiting = self._waiting.get(subject)
        while waiting and subject not in self._running:
            waiting.popleft()()
        if not waiting:
            self._waiting.pop(subject, None)
