"""One call at its owner: from the message that brings it to its answer."""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING, Final, Protocol, final

from msgspec import structs

from wagtaildale.admission.limits import Ending
from wagtaildale.admission.messages import Arrived, Refused
from wagtaildale.admission.replays import KeptAnswer
from wagtaildale.calls.backend_messages import (
    MISDIRECTED_STATUS,
    BackendResponse,
    build_request,
    find_refusal,
)
from wagtaildale.calls.failures import CallFailed
from wagtaildale.calls.fields import CallFields
from wagtaildale.calls.frames import (
    Answered,
    Cut,
    Failed,
    Granted,
    Piece,
    Reserve,
    Run,
    Taken,
)
from wagtaildale.calls.heads import pass_on
from wagtaildale.calls.keyed import REPLAYED, KeyedRun
from wagtaildale.calls.owner import Owner
from wagtaildale.calls.transit import shorten
from wagtaildale.errors.codes import Code
from wagtaildale.invariants import Invariant
from wagtaildale.telemetry.events import EventKind
from wagtaildale.timers.service import read_clock
from wagtaildale.types import CallNumber, Outcome

if TYPE_CHECKING:
    from wagtaildale.admission.messages import TicketId, Verdict
    from wagtaildale.calls.backends import BackendConnection
    from wagtaildale.calls.frames import ToEntry
    from wagtaildale.calls.parsing import Message
    from wagtaildale.telemetry.events import Inputs
    from wagtaildale.timers.alarms import Alarm

MILLISECONDS: Final = 1000
# Long enough for a run message over a slow connection, short enough that a
# slot whose entry died is soon free again.
LEASE_SECONDS: Final = 0.5
# A response up to this size is whole before any of it goes on: one that is
# cut is then an error of its own, and never a short answer.
WHOLE_BYTES: Final = 65_536
# After the deadline the entry gives up by itself; an owner that still holds
# the call this much later has lost its entry.
OVERTIME_SECONDS: Final = 0.05
SHED_STATUS: Final = 503
# What speaks against the backend server, and not against one request.
BACKEND_FAULTS: Final = frozenset(
    (
        Code.backend_cut,
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


class Entrance(Protocol):
    """The way back to the entry that a call came from."""

    def reply(self, frame: ToEntry) -> None:
        """Send a message to the entry.

        Args:
            frame: the message.
        """

    def forget(self, number: CallNumber) -> None:
        """Learn that a call is over.

        Args:
            number: the call.
        """


class OwnedCall:
    """One call; a ``BackendReceiver``.

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
        self._fields: CallFields | None = None
        self._ticket: TicketId | None = None
        self._run: Run | None = None
        self._keyed: KeyedRun | None = None
        self._connection: BackendConnection | None = None
        self._alarm: Alarm | None = None
        self._response: BackendResponse | None = None
        self._since = read_clock()
        self._running_since = self._since
        self._deadline = self._since
        self._owed = 0
        self._delay = float(0)

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
        self._delay = delay
        self._enter(shorten(frame.fields, delay=delay))

    def take_run(self, frame: Run, *, delay: float) -> None:
        """Run the request, once there is a slot or on the one held.

        Args:
            frame: the request.
            delay: for which the line held the message up, seconds.
        """
        self._delay = delay
        self._run = frame
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
        if self._connection is not None:
            self._connection.add(frame.body, more=frame.more)
            self._owed += len(frame.body)
            if not self._connection.is_full:
                self.on_room()

    def take_taken(self, frame: Taken) -> None:
        """Send more of the response.

        Args:
            frame: how much the entry has passed on.
        """
        if self._response is not None:
            self._response.window.note_taken(frame.count)
            self._pass_on()

    def cancel(self) -> None:
        """Stop whatever is done for the call: nobody waits for it."""
        state = self.state
        if state is CallState.over:
            return
        self._owner.note_end(
            EventKind.run_ended,
            self.fields,
            inputs=self._describe_wait(),
            code=Code.caller_gone,
            detail=state.value,
        )
        self._close()
        if state is CallState.waiting:
            self._give_up()
        else:
            self._settle(Ending.abandoned)

    def on_head(self, message: Message) -> None:
        """Take the head of the backend server's response.

        Args:
            message: the response.
        """
        self._response = BackendResponse(message)

    def on_body(self) -> None:
        """Take what has come of the response."""
        response = self._response
        if response is None:
            return
        response.held += response.message.take_body()
        whole = response.message.is_complete
        if whole:
            # The connection is free for another request, or closed.
            self._connection = None
        if whole or response.is_begun or len(response.held) > WHOLE_BYTES:
            self._pass_on()

    def on_failed(self, failure: CallFailed) -> None:
        """End the call: the backend server gives no whole response.

        Args:
            failure: why.
        """
        self._connection = None
        self._owner.invariants.hold(
            Invariant.not_run_is_true,
            holds=failure.outcome is not Outcome.not_run
            or failure.code is Code.backend_unreachable,
            detail=f'{self.fields.request_id} {failure.code.name}',
        )
        self._fail(failure)

    def on_room(self) -> None:
        """Learn that the backend server has taken what was sent."""
        if self._owed:
            self._reply(Taken(self._number, self._owed))
            self._owed = 0

    # Admission

    def _enter(self, fields: CallFields) -> None:
        self._fields = fields
        owner = self._owner
        self._deadline = self._since + fields.remaining_ms / MILLISECONDS
        try:
            owner.check_target(fields)
        except CallFailed as failure:
            self._fail(failure)
            return
        was_draining = owner.gate.state.draining
        self._alarm = owner.loop.alarms.set_at(
            self._deadline + OVERTIME_SECONDS,
            self._time_out,
        )
        ticket = owner.gate.enter(
            Arrived(
                within_ms=fields.within_ms,
                deadline=self._deadline,
                rank=fields.rank,
                patient=fields.patient,
                work_class=fields.work_class,
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
        if self._run is not None:
            self._start()
            return
        self.state = CallState.reserved
        self._owner.gate.lease(verdict.ticket, seconds=LEASE_SECONDS)
        answer = structs.replace(
            self._owner.describe(self.fields),
            lease=verdict.ticket,
        )
        self._reply(Granted(self._number, answer))

    def _redeem(self, fields: CallFields) -> None:
        # The fields of the run message count: they name the incarnation
        # that gave the lease.
        self._fields = fields
        self._deadline = read_clock() + fields.remaining_ms / MILLISECONDS
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
        self._start()

    # Running

    def _start(self) -> None:
        self.state = CallState.running
        run = self._run
        assert run is not None
        self._keyed = KeyedRun(run, self._owner.replays)
        try:
            kept = self._keyed.begin()
        except CallFailed as failure:
            self._fail(failure)
            return
        if kept is None:
            self._run_now(run)
        else:
            self._replay(kept)

    def _run_now(self, run: Run) -> None:
        if read_clock() >= self._deadline:
            # Failure: a paused process wakes and sends what nobody waits
            # for. The deadline is looked at last thing before the send.
            self._fail(CallFailed(Code.past_deadline))
        elif self._may_run():
            self._send(run)
        else:
            failure = CallFailed(Code.key_repeated, outcome=Outcome.unknown)
            self._fail(failure, repeated=True)

    def _may_run(self) -> bool:
        # Failure: a run message comes twice and a booking is made twice. The
        # second one stops here; its outcome is the first's.
        fields = self.fields
        owner = self._owner
        return owner.invariants.hold(
            Invariant.runs_once,
            holds=fields.idempotent or owner.ledger.note_run(fields.request_id),
            detail=fields.request_id,
        )

    def _send(self, run: Run) -> None:
        self._running_since = read_clock()
        self._connection = self._owner.pool.ask(
            build_request(self._owner, run, self._deadline),
            self,
        )

    def _pass_on(self) -> None:
        response = self._response
        if response is None or self.state is not CallState.running:
            return
        message = response.message
        if response.is_begun:
            self._add_piece(response)
        elif find_refusal(self._owner, message) is None:
            response.is_begun = True
            self._begin_answer(response)
        else:
            self._pass_refusal(message)
            return
        if message.is_complete and not response.held:
            self._finish(message)
        elif self._connection is not None:
            self._connection.read_more(wanted=response.window.is_open)

    def _add_piece(self, response: BackendResponse) -> None:
        complete = response.message.is_complete
        if response.window.is_open and (response.held or complete):
            piece = response.take_held()
            self._reply(Piece(self._number, piece, more=not complete))

    def _begin_answer(self, response: BackendResponse) -> None:
        message = response.message
        now = read_clock()
        answer = self._owner.describe(
            self.fields,
            owner_seconds=now - self._since,
            backend_seconds=now - self._running_since,
        )
        body = response.take_held()
        headers = tuple(pass_on(message))
        if message.is_complete and self._keyed is not None:
            self._keyed.end(
                KeptAnswer(status=message.status, headers=headers, body=body),
            )
        elif self._keyed is not None:
            self._keyed.end(None)
        self._reply(
            Answered(
                self._number,
                answer,
                message.status,
                headers,
                body,
                more=not message.is_complete,
                length=message.length,
            ),
        )

    def _replay(self, kept: KeptAnswer) -> None:
        self._reply(
            Answered(
                self._number,
                self._owner.describe(self.fields),
                kept.status,
                (*kept.headers, REPLAYED),
                kept.body,
                more=False,
                length=len(kept.body),
            ),
        )
        self._close()
        self._settle(Ending.abandoned)

    def _finish(self, message: Message) -> None:
        shed = message.status == SHED_STATUS
        self._connection = None
        self._owner.note_end(
            EventKind.run_ended,
            self.fields,
            inputs={
                'status': message.status,
                **self._describe_wait(),
                'took_ms': _to_ms(read_clock() - self._running_since),
            },
        )
        self._close()
        self._settle(Ending.failed if shed else Ending.good)

    def _pass_refusal(self, message: Message) -> None:
        code = Code.backend_shed
        if message.status == MISDIRECTED_STATUS:
            code = Code.wrong_instance
        if not message.is_complete and self._connection is not None:
            self._connection.close()
        self._connection = None
        self._fail(CallFailed(code, detail=f'status {message.status}'))

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
        response = self._response
        if response is not None and response.is_begun:
            self._reply(Cut(self._number))
        else:
            self._reply(self._describe_failure(failure))
        ran = state is CallState.running
        self._owner.note_end(
            EventKind.run_ended if ran else EventKind.run_refused,
            self.fields,
            inputs={
                'outcome': failure.outcome.value,
                **self._describe_wait(),
                'took_ms': _to_ms(read_clock() - self._running_since)
                if ran
                else 0,
            },
            code=failure.code,
            detail=failure.detail,
        )
        self._close()
        if state is CallState.waiting:
            self._give_up()
            return
        faulty = failure.code in BACKEND_FAULTS
        self._settle(Ending.failed if faulty else Ending.abandoned)
        if ran and not repeated:
            self._settle_claims(failure)

    def _give_up(self) -> None:
        if self._ticket is not None:
            self._owner.gate.give_up(self._ticket)

    def _settle_claims(self, failure: CallFailed) -> None:
        if failure.outcome is Outcome.not_run:
            self._owner.ledger.forget(self.fields.request_id)
            if self._keyed is not None:
                self._keyed.forget()
        elif self._keyed is not None:
            self._keyed.end(None)

    def _describe_failure(self, failure: CallFailed) -> Failed:
        answer = self._owner.describe(
            self.fields,
            code=failure.code,
            outcome=failure.outcome,
            owner_seconds=read_clock() - self._since,
            retry_ms=round(failure.retry_after * MILLISECONDS),
        )
        return Failed(self._number, answer, failure.detail)

    def _describe_wait(self) -> Inputs:
        ran = self.state is CallState.running
        until = self._running_since if ran else read_clock()
        return {
            'held_up_ms': _to_ms(self._delay),
            'waited_ms': _to_ms(until - self._since),
        }

    def _settle(self, ending: Ending) -> None:
        if self._ticket is None:
            return
        self._owner.gate.leave(
            self._ticket,
            seconds=read_clock() - self._running_since,
            ending=ending,
            work_class=self.fields.work_class,
        )

    def _close(self) -> None:
        self.state = CallState.over
        if self._alarm is not None:
            self._alarm.cancel()
        connection = self._connection
        self._connection = None
        if connection is not None:
            # The backend server drops a request whose connection closes.
            connection.close()
        self._entrance.forget(self._number)

    def _reply(self, frame: ToEntry) -> None:
        self._entrance.reply(frame)


def _to_ms(seconds: float) -> int:
    return round(seconds * MILLISECONDS)
