"""A caller that comes back when it is told to."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from wagtaildale.testing.replay.entries import Asked

if TYPE_CHECKING:
    from wagtaildale.calls.failures import CallFailed
    from wagtaildale.testing.replay.entries import ReplayEntry
    from wagtaildale.testing.replay.load import LoadClass, Outcomes

# Of the time that is left: the longest that a caller waits to come back.
LONGEST_WAIT_SHARE: Final = 1 / 3
# What it waits where nobody tells it when to come back.
USUAL_WAIT_SECONDS: Final = 0.05


class Caller:
    """One caller's request, with all its tries."""

    def __init__(
        self,
        entry: ReplayEntry,
        work_class: LoadClass,
        *,
        outcomes: Outcomes,
    ) -> None:
        """Prepare.

        Args:
            entry: that it asks.
            work_class: of the request.
            outcomes: count what becomes of it.
        """
        self._entry = entry
        self._work_class = work_class
        self._outcomes = outcomes
        self._clock = entry.mesh.clock
        self._since = self._clock.now
        self._tries_left = work_class.tries

    def ask(self) -> None:
        """Make a try."""
        self._tries_left -= 1
        self._outcomes.tries += 1
        work_class = self._work_class
        self._entry.ask(
            Asked(
                work_class=work_class,
                due=self._since + work_class.within,
                deadline=self._since + work_class.deadline,
                on_answer=self._take_answer,
                on_failure=self._take_failure,
            ),
        )

    def _take_answer(self, is_far: bool) -> None:
        outcomes = self._outcomes
        took = self._clock.now - self._since
        outcomes.ended += 1
        outcomes.far += is_far
        outcomes.seconds.append(took)
        if took <= self._work_class.within:
            outcomes.in_time += 1
        else:
            outcomes.late += 1

    def _take_failure(self, failure: CallFailed) -> None:
        left = self._since + self._work_class.deadline - self._clock.now
        if self._tries_left and left > 0:
            wait = failure.retry_after or USUAL_WAIT_SECONDS
            self._clock.set(min(wait, left * LONGEST_WAIT_SHARE), self.ask)
            return
        self._outcomes.ended += 1
        self._outcomes.refused += 1
