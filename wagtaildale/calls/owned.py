"""One call at its owner: admitted, run and ended.

What runs it at the backend server is in ``backend_run``, what is answered in
``replies``.
"""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING, Final, final

from wagtaildale.admission.limits import Ending
from wagtaildale.admission.messages import RequestArrived, Refused
from wagtaildale.calls.backend_run import BackendRun
from wagtaildale.calls.call_times import CallTimes
from wagtaildale.calls.failures import CallFailed
from wagtaildale.calls.replies import Replies
from wagtaildale.calls.transit import shorten
from wagtaildale.errors.codes import Code
from wagtaildale.invariants import Invariant
from wagtaildale.telemetry.events import EventKind
from wagtaildale.timers.service import read_clock
from wagtaildale.types import CallNumber, Outcome

if TYPE_CHECKING:
    from wagtaildale.admission.messages import TicketId, Verdict
    from wagtaildale.calls.fields import CallFields
    from wagtaildale.calls.frames import Piece, Reserve, Run, Taken
    from wagtaildale.calls.owner import Owner
    from wagtaildale.calls.replies import Entrance
    from wagtaildale.timers.alarms import Alarm

# Long enough for a run message over a slow connection, short enough that a
# slot whose entry died is soon free again.
LEASE_SECONDS: Final = 0.5
# After the deadline the entry gives up by itself; an owner that still holds
# the call this much later has lost its entry.
OVERTIME_SECONDS: Final = 0.05
SHED_STATUS: Final = 503
# What speaks against the backend server, and not against one request.
BACKEND_FAULTS: Final = frozenset(
    (
        Code.backend_cut,
        Code.backend_ended,
        Code.backend_shed,
        Code.backend_unreachable,
        Code.timed_out,
    ),
)


@final
class CallState(Enum):
    """Where a call stands at its owner."""

    waiting = 'waiting'
    reserved = 'reserved'
    running = 'running'
    over = 'over'


class OwnedCall:
    """One call; a ``RunReceiver``.

    Attributes:
        state: where it stands.
    """

    def __init__(
        self,
        owner: Owner,
        number: CallNumber,
        *,
        entrance: Entrance,
    ) -> None:
        """Begin with nothing known of it.

        Args:
            owner: of the backend server.
            number: of the call, on the entry's connection.
            entrance: the way back.
        """
        self.state = CallState.waiting
        self._owner = owner
        self._number = number
        self._entrance = entrance
        self._times = CallTimes()
        self._replies = Replies(
            owner,
            number,
            entrance=entrance,
            times=self._times,
        )
        self._fields: CallFields | None = None
        self._ticket: TicketId | None = None
        self._request: Run | None = None
        self._run: BackendRun | None = None
        self._alarm: Alarm | None = None

    @property
    def fields(self) -> CallFields:
        """What the entry told of the call."""
        assert self._fields is not None
        return self._fields

    def take_reserve(self, frame: Reserve, *, delay: float) -> None:
        """Ask for a slot that is held for a run message.

        Args:
            frame: what the entry tells of the call.
            delay: for which the line held the message up, seconds.
        """
        self._times.delay = delay
        self._enter(shorten(frame.fields, delay=delay))

    def take_run(self, frame: Run, *, delay: float) -> None:
        """Run the request, once there is a slot or on the one held.

        Args:
            frame: the request.
            delay: for which the line held the message up, seconds.
        """
        self._times.delay = delay
        self._request = frame
        fields = shorten(frame.fields, delay=delay)
        if fields.lease:
            self._redeem(fields)
        else:
            self._enter(fields)

    def take_piece(self, frame: Piece) -> None:
        """Pass more of the request's body on.

        Args:
            frame: the piece.
        """
        if self._run is not None:
            self._run.add(frame)

    def take_taken(self, frame: Taken) -> None:
        """Send more of the response.

        Args:
            frame: how much the entry has passed on.
        """
        if self._run is not None:
            self._run.note_taken(frame.count)

    def cancel(self) -> None:
        """Stop whatever is done for the call: nobody waits for it."""
        state = self.state
        if state is CallState.over:
            return
        self._owner.note_end(
            EventKind.run_ended,
            self.fields,
            inputs=self._times.describe_wait(
                has_run=state is CallState.running,
            ),
            code=Code.caller_gone,
            detail=state.value,
        )
        self._close()
        if state is CallState.waiting:
            self._give_up()
        else:
            self._settle(Ending.abandoned)

    def on_run_finished(self, status: int) -> None:
        """End the call: it is answered; see ``RunReceiver``.

        Args:
            status: HTTP status.
        """
        self._owner.note_end(
            EventKind.run_ended,
            self.fields,
            inputs={
                'status': status,
                **self._times.describe_wait(has_run=True),
                **self._times.describe_run(has_run=True),
            },
        )
        self._close()
        shed = status == SHED_STATUS
        self._settle(Ending.failed if shed else Ending.good)

    def on_run_repeated(self) -> None:
        """End the call: it is answered as before; see ``RunReceiver``."""
        self._close()
        self._settle(Ending.abandoned)

    def on_run_failed(
        self,
        failure: CallFailed,
        *,
        repeated: bool = False,
    ) -> None:
        """End the call without an answer; see ``RunReceiver``.

        Args:
            failure: why, and whether it has run.
            repeated: whether it came a second time.
        """
        self._fail(failure, repeated=repeated)

    # Admission

    def _enter(self, fields: CallFields) -> None:
        self._fields = fields
        owner = self._owner
        times = self._times
        times.count_down(fields, since=times.since)
        try:
            owner.check_target(fields)
        except CallFailed as failure:
            self._fail(failure)
            return
        was_draining = owner.gate.state.draining
        self._alarm = owner.loop.alarms.set_at(
            times.deadline + OVERTIME_SECONDS,
            self._time_out,
        )
        ticket = owner.gate.request_slot(
            RequestArrived(
                within_ms=fields.within_ms,
                deadline=times.deadline,
                rank=fields.rank,
                patient=fields.patient,
                work_class=fields.work_class,
                pass_rank=fields.pass_rank,
                stands_for=fields.stands_for,
            ),
            self._judge,
        )
        if self.state is CallState.waiting:
            self._ticket = ticket
        owner.invariants.hold(
            Invariant.leaving_gets_none,
            holds=not was_draining or self.state is CallState.over,
            detail=fields.request_id,
        )

    def _judge(self, verdict: Verdict) -> None:
        if isinstance(verdict, Refused):
            self._fail(
                CallFailed(verdict.code, retry_after=verdict.retry_after),
            )
            return
        self._ticket = verdict.ticket
        self.state = CallState.reserved
        if self._request is not None:
            self._start_if_meant(self._request)
            return
        self._owner.gate.lease(verdict.ticket, seconds=LEASE_SECONDS)
        self._replies.grant(self.fields, lease=verdict.ticket)

    def _redeem(self, fields: CallFields) -> None:
        # The fields of the run message count: they name the incarnation
        # that gave the lease.
        self._fields = fields
        self._times.count_down(fields, since=read_clock())
        try:
            self._owner.check_target(fields)
        except CallFailed as failure:
            self._ticket = None
            self._fail(failure)
            return
        verdict = self._owner.gate.redeem(fields.lease)
        if isinstance(verdict, Refused):
            self._ticket = None
            self._fail(CallFailed(verdict.code))
            return
        self._ticket = verdict.ticket
        assert self._request is not None
        self._start(self._request)

    def _start_if_meant(self, request: Run) -> None:
        try:
            # Failure: a call waits for a slot while its server is listed as
            # leaving, and reaches it long after everybody knows.
            self._owner.check_target(self.fields)
        except CallFailed as failure:
            self._fail(failure)
            return
        self._start(request)

    def _start(self, request: Run) -> None:
        self.state = CallState.running
        if self._run is not None:
            # The entry sent two run messages for one call.
            self._run.close()
        self._run = BackendRun(
            self,
            request,
            owner=self._owner,
            replies=self._replies,
            times=self._times,
        )
        self._run.begin()

    # Ends

    def _time_out(self) -> None:
        ran = self.state is CallState.running
        self._fail(
            CallFailed(
                Code.timed_out,
                outcome=Outcome.unknown if ran else Outcome.not_run,
            ),
        )

    def _fail(self, failure: CallFailed, *, repeated: bool = False) -> None:
        state = self.state
        if state is CallState.over:
            return
        if self._run is not None and self._run.is_answering:
            self._replies.cut()
        else:
            self._replies.fail(self.fields, failure)
        self._note_failure(failure)
        self._close()
        if state is CallState.waiting:
            self._give_up()
            return
        faulty = failure.code in BACKEND_FAULTS
        self._settle(Ending.failed if faulty else Ending.abandoned)
        if state is CallState.running and not repeated:
            assert self._run is not None
            self._run.settle_claims(failure)

    def _note_failure(self, failure: CallFailed) -> None:
        ran = self.state is CallState.running
        self._owner.note_end(
            EventKind.run_ended if ran else EventKind.run_refused,
            self.fields,
            inputs={
                'outcome': failure.outcome.value,
                **failure.describe_ends(),
                **self._times.describe_wait(has_run=ran),
                **self._times.describe_run(has_run=ran),
            },
            code=failure.code,
            detail=failure.detail,
        )

    def _give_up(self) -> None:
        if self._ticket is not None:
            self._owner.gate.cancel(self._ticket)
        self._owner.teller.tell_changes()

    def _settle(self, ending: Ending) -> None:
        if self._ticket is None:
            return
        self._owner.gate.release_slot(
            self._ticket,
            seconds=self._times.measure_run(),
            ending=ending,
            work_class=self.fields.work_class,
        )
        self._owner.teller.tell_changes()

    def _close(self) -> None:
        self.state = CallState.over
        if self._alarm is not None:
            self._alarm.cancel()
        if self._run is not None:
            self._run.close()
        self._entrance.forget(self._number)
