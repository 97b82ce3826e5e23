"""One run at a time of each request that may end its server.

Failure guarded here: a request comes thirty times a second, and all of its
runs that wait for one server reach it in the moment in which it is back.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from wagtaildale.calls.frames import Run
    from wagtaildale.suspects.fingerprints import Subject

RetryCallback = Callable[[], None]
# Runs that wait for one before them; more are refused.
MAX_WAITING_RUNS: Final = 16


class SerialRuns:
    """Whose turn it is, of each request that is asked for by many."""

    def __init__(self) -> None:
        """Begin with none."""
        self._running: dict[Subject, Run] = {}
        self._waiting: dict[Subject, deque[RetryCallback]] = {}

    def acquire(
        self,
        subject: Subject,
        run: Run,
        *,
        on_turn: RetryCallback,
    ) -> bool:
        """Take a turn, or wait for it.

        Args:
            subject: what is asked for.
            run: that asks for it.
            on_turn: asks again when the one before is over.

        Returns:
            Whether it is its turn.
        """
        if subject not in self._running:
            self._running[subject] = run
            return True
        self._waiting.setdefault(subject, deque()).append(on_turn)
        return False

    def is_full(self, subject: Subject) -> bool:
        """Tell whether no more may wait for a request.

        Args:
            subject: what is asked for.

        Returns:
            Whether there are enough.
        """
        return len(self._waiting.get(subject, ())) >= MAX_WAITING_RUNS

    def release(self, run: Run) -> None:
        """End a turn; those that wait ask again, until one has it.

        Args:
            run: that is over, whether it had a turn or not.
        """
        held = [each for each, having in self._running.items() if having is run]
        for subject in held:
            self._running.pop(subject)
            self._retry_waiting(subject)

    def _retry_waiting(self, subject: Subject) -> None:
        waiting = self._waiting.get(subject)
        while waiting and subject not in self._running:
            waiting.popleft()()
        if not waiting:
            self._waiting.pop(subject, None)
