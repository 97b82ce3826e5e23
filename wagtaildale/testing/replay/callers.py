"""Simulated callers that retry, and calls made by running requests."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from wagtaildale.testing.replay.entries import ReplayRequest

if TYPE_CHECKING:
    from wagtaildale.admission.messages import TicketId
    from wagtaildale.calls.failures import CallFailed
    from wagtaildale.testing.replay.clock import VirtualClock
    from wagtaildale.testing.replay.entries import ReplayEntry
    from wagtaildale.testing.replay.load import LoadClass, Outcomes
    from wagtaildale.testing.replay.servers import ReplayServer

# Longest wait before a retry, as a share of the time left until the deadline.
MAX_WAIT_SHARE: Final = 1 / 3
# Wait before a retry if the failure names no retry delay.
DEFAULT_WAIT_SECONDS: Final = 0.05


class Caller:
    """A caller's request with its retries."""

    def __init__(
        self,
        entry: ReplayEntry,
        work_class: LoadClass,
        *,
        outcomes: Outcomes,
    ) -> None:
        """Create the request without sending it.

        Args:
            entry: entry that receives every try.
            work_class: class of the request.
            outcomes: counts that its outcome is added to.
        """
        self._entry = entry
        self._work_class = work_class
        self._outcomes = outcomes
        self._clock = entry.mesh.clock
        self._started_at = self._clock.now
        self._tries_left = work_class.tries

    def send(self) -> None:
        """Send one try to the entry."""
        self._tries_left -= 1
        self._outcomes.tries += 1
        work_class = self._work_class
        self._entry.take_request(
            ReplayRequest(
                work_class=work_class,
                target_at=self._started_at + work_class.target_seconds,
                deadline=self._started_at + work_class.deadline_seconds,
                on_answer=self._take_answer,
                on_failure=self._take_failure,
            ),
        )

    def _take_answer(self, is_remote: bool) -> None:
        self._outcomes.note_answer(
            self._clock.now - self._started_at,
            is_remote=is_remote,
            target_seconds=self._work_class.target_seconds,
        )

    def _take_failure(self, failure: CallFailed) -> None:
        remaining = (
            self._started_at
            + self._work_class.deadline_seconds
            - self._clock.now
        )
        if self._tries_left and remaining > 0:
            wait = failure.retry_after or DEFAULT_WAIT_SECONDS
            self._clock.schedule(
                min(wait, remaining * MAX_WAIT_SHARE), self.send
            )
            return
        self._outcomes.note_failure(failure.outcome)


class NestedCall:
    """A call to another service, made by a running request."""

    def __init__(
        self,
        server: ReplayServer,
        ticket: TicketId,
        *,
        work_class: LoadClass,
        outcomes: Outcomes,
        clock: VirtualClock,
    ) -> None:
        """Create the call without sending it.

        Args:
            server: server of the running request.
            ticket: ticket of that request at the server.
            work_class: class of the call.
            outcomes: counts that the outcome of the call is added to.
            clock: clock of the simulation.
        """
        self._server = server
        self._ticket = ticket
        self._work_class = work_class
        self._outcomes = outcomes
        self._clock = clock
        self._started_at = clock.now

    def send(self, entry: ReplayEntry, *, deadline: float) -> None:
        """Send the call to an entry.

        Args:
            entry: entry beside the server.
            deadline: deadline of the running request, seconds on the clock.
        """
        work_class = self._work_class
        self._outcomes.tries += 1
        entry.take_request(
            ReplayRequest(
                work_class=work_class,
                target_at=self._started_at + work_class.target_seconds,
                deadline=min(
                    deadline, self._started_at + work_class.deadline_seconds
                ),
                on_answer=self._take_answer,
                on_failure=self._take_failure,
            ),
        )

    def _take_answer(self, is_remote: bool) -> None:
        seconds = self._clock.now - self._started_at
        self._outcomes.note_answer(
            seconds,
            is_remote=is_remote,
            target_seconds=self._work_class.target_seconds,
        )
        self._server.finish(self._ticket)

    def _take_failure(self, failure: CallFailed) -> None:
        self._outcomes.note_failure(failure.outcome)
        self._server.finish(self._ticket)
