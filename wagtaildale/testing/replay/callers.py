"""Who asks: a caller that comes back when told to, a run that calls."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from wagtaildale.testing.replay.entries import Asked

if TYPE_CHECKING:
    from wagtaildale.admission.messages import TicketId
    from wagtaildale.calls.failures import CallFailed
    from wagtaildale.testing.replay.clock import VirtualClock
    from wagtaildale.testing.replay.entries import ReplayEntry
    from wagtaildale.testing.replay.load import LoadClass, Outcomes
    from wagtaildale.testing.replay.servers import ReplayServer

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
                due=self._since + work_class.target_seconds,
                deadline=self._since + work_class.deadline_seconds,
                on_answer=self._take_answer,
                on_failure=self._take_failure,
            ),
        )

    def _take_answer(self, is_far: bool) -> None:
        self._outcomes.note_answer(
            self._clock.now - self._since,
            is_far=is_far,
            target_seconds=self._work_class.target_seconds,
        )

    def _take_failure(self, failure: CallFailed) -> None:
        left = self._since + self._work_class.deadline_seconds - self._clock.now
        if self._tries_left and left > 0:
            wait = failure.retry_after or USUAL_WAIT_SECONDS
            self._clock.set(min(wait, left * LONGEST_WAIT_SHARE), self.ask)
            return
        self._outcomes.note_failure(failure.outcome)


class InnerCall:
    """The call that a run makes of another service."""

    def __init__(
        self,
        server: ReplayServer,
        ticket: TicketId,
        *,
        work_class: LoadClass,
        outcomes: Outcomes,
        clock: VirtualClock,
    ) -> None:
        """Prepare.

        Args:
            server: where the run is.
            ticket: of the run.
            work_class: of the call.
            outcomes: count what becomes of it.
            clock: of the replay.
        """
        self._server = server
        self._ticket = ticket
        self._work_class = work_class
        self._outcomes = outcomes
        self._clock = clock
        self._since = clock.now

    def ask(self, entry: ReplayEntry, *, deadline: float) -> None:
        """Make the call.

        Args:
            entry: beside the server.
            deadline: of the run, seconds.
        """
        work_class = self._work_class
        self._outcomes.tries += 1
        entry.ask(
            Asked(
                work_class=work_class,
                due=self._since + work_class.target_seconds,
                deadline=min(
                    deadline, self._since + work_class.deadline_seconds
                ),
                on_answer=self._take_answer,
                on_failure=self._take_failure,
            ),
        )

    def _take_answer(self, is_far: bool) -> None:
        took = self._clock.now - self._since
        self._outcomes.note_answer(
            took,
            is_far=is_far,
            target_seconds=self._work_class.target_seconds,
        )
        self._server.finish(self._ticket)

    def _take_failure(self, failure: CallFailed) -> None:
        self._outcomes.note_failure(failure.outcome)
        self._server.finish(self._ticket)
