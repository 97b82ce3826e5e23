"""One call at its owner, from admission to the released slot.

Running the request at the backend server is in ``backend_run``, and writing
the answers is in ``replies``.
"""

from __future__ import annotations

from math import inf
from typing import TYPE_CHECKING, Final

from wagtaildale.admission.limits import Ending
from wagtaildale.admission.messages import Refused, RequestArrived
from wagtaildale.admission.server_messages import RequestSent
from wagtaildale.admission.starts import estimate_start
from wagtaildale.calls.failures import CallFailed, make_memory_failure
from wagtaildale.calls.owner.backend_response import BackendResponse
from wagtaildale.calls.owner.backend_run import BackendRun
from wagtaildale.calls.owner.body_collector import (
    ReceivedBody,
    find_transfer_limits,
)
from wagtaildale.calls.owner.call_states import (
    BACKEND_FAULTS,
    RUN_STATES,
    UNADMITTED_STATES,
    CallState,
    describe_refusal,
    find_ending,
)
from wagtaildale.calls.owner.call_times import CallTimes
from wagtaildale.calls.owner.latest_start import ENTRY_ENDS_DETAIL, LatestStart
from wagtaildale.calls.owner.replies import ReplyWriter
from wagtaildale.calls.owner.response_flow import ResponseFlow
from wagtaildale.calls.wire.transit import subtract_delay
from wagtaildale.errors.codes import Code
from wagtaildale.invariants import Invariant
from wagtaildale.telemetry.events import EventKind
from wagtaildale.timers.service import read_clock
from wagtaildale.types import CallNumber, Outcome

if TYPE_CHECKING:
    from wagtaildale.admission.messages import TicketId, Verdict
    from wagtaildale.calls.http.parsing import Message
    from wagtaildale.calls.owner.owner import Owner
    from wagtaildale.calls.owner.replies import EntryChannel
    from wagtaildale.calls.owner.response_flow import FlowReceiver
    from wagtaildale.calls.wire.fields import CallFields
    from wagtaildale.calls.wire.frames import (
        BodyPiece,
        Reserve,
        Run,
        StartLimit,
        WindowUpdate,
    )
    from wagtaildale.telemetry.events import Inputs
    from wagtaildale.timers.alarms import Alarm

# Long enough for a run message over a slow connection, and short enough that
# a slot is soon free again after its entry died.
LEASE_SECONDS: Final = 0.5
# At the deadline the entry gives up by itself. If the owner still has the call
# this much later, the entry is gone.
DEADLINE_GRACE_SECONDS: Final = 0.05
# After its deadline, a response is delivered as long as a piece of it leaves in
# each such period. Without a limit, responses that others keep away from a full
# line would fill the memory and stop reading from the server.
DELIVERY_CHECK_SECONDS: Final = 1.0
MILLISECONDS: Final = 1000
SERVER_ERROR_STATUS: Final = 500


class OwnerCall:
    """One call at its owner.

    A ``RunReceiver``, a ``BodySender``, a ``WaitingCall`` and a ``Holder``.

    Attributes:
        state: current state of the call.
    """

    def __init__(
        self,
        owner: Owner,
        number: CallNumber,
        *,
        channel: EntryChannel,
    ) -> None:
        """Create the call before its first message is handled.

        Args:
            owner: owner of the backend server.
            number: number of the call on the entry's connection.
            channel: connection back to the entry.
        """
        self.state = CallState.waiting
        self._owner = owner
        self._number = number
        self._channel = channel
        self._times = CallTimes()
        self._latest_start = LatestStart()
        self._replies = ReplyWriter(
            owner,
            number,
            channel=channel,
            times=self._times,
        )
        self._slow_start_inputs: Inputs = {}
        self._fields: CallFields | None = None
        self._ticket: TicketId | None = None
        self._body: ReceivedBody | None = None
        self._run: BackendRun | None = None
        self._holding = owner.memory.open(self, now=self._times.arrived_at)
        self._alarm: Alarm | None = None
        self._start_alarm: Alarm | None = None

    @property
    def fields(self) -> CallFields:
        """Fields of the call, less the delay in transit from its times."""
        assert self._fields is not None
        return self._fields

    def handle_reserve(self, frame: Reserve, *, delay: float) -> None:
        """Request a slot that is leased until the run message arrives.

        Args:
            frame: message with the fields of the call.
            delay: time that the message was delayed in transit, in seconds.
        """
        self._times.transit_seconds = delay
        self._request_slot(subtract_delay(frame.fields, delay=delay))

    def handle_run(self, frame: Run, *, delay: float) -> None:
        """Run the request on the leased slot, or once a slot is free.

        Args:
            frame: message with the request.
            delay: time that the message was delayed in transit, in seconds.
        """
        self._times.transit_seconds = delay
        self._body = ReceivedBody(frame, collector=self._owner.collector)
        fields = subtract_delay(frame.fields, delay=delay)
        if self._fields is None:
            self._fields = fields
        self._hold(self._body)
        if fields.lease:
            self._redeem_lease(fields)
        elif self._is_refused_for_memory():
            return
        elif self._body.is_collectable:
            self._receive_body(self._body, fields)
        else:
            self._request_slot(fields)

    def handle_piece(self, frame: BodyPiece) -> None:
        """Send another piece of the request's body to the server.

        Args:
            frame: message with the piece.
        """
        if self._run is not None:
            self._run.send_piece(frame)
            return
        if self._body is None:
            return
        try:
            self._body.add(frame)
        except CallFailed as failure:
            self._fail(failure)
            return
        self._hold(self._body)
        if self.state is CallState.receiving and self._body.is_complete:
            self.state = CallState.waiting
            self._enqueue(self.fields)

    def handle_window_update(self, frame: WindowUpdate) -> None:
        """Send more of the response, now that the entry has forwarded some.

        Args:
            frame: message with the number of bytes forwarded.
        """
        if self._run is not None:
            self._run.note_forwarded(frame.count)

    def handle_start_limit(self, frame: StartLimit) -> None:
        """Refuse the call if it cannot start in time; see ``StartLimit``.

        Args:
            frame: message with the limit.
        """
        self._latest_start.limit(frame.start_within_ms)
        if self.state in UNADMITTED_STATES:
            self._limit_wait()

    def cancel(self) -> None:
        """Stop the call because nobody waits for its answer."""
        state = self.state
        if state is CallState.over:
            return
        self._owner.record_end(
            EventKind.run_ended,
            self.fields,
            inputs={
                **self._describe_listing(),
                **self._times.describe_wait(has_run=state in RUN_STATES),
                **self._times.describe_line(),
            },
            code=Code.caller_gone,
            detail=state.value,
        )
        self._close()
        if state in UNADMITTED_STATES:
            self._cancel_slot_request()
        else:
            self._release_slot(Ending.abandoned)

    def refuse(self, failure: CallFailed) -> None:
        """End the call before it is sent; see ``WaitingCall``.

        Args:
            failure: cause of the refusal.
        """
        self._fail(failure)

    def give_up(self) -> None:
        """Refuse a call that waits; see ``Holder``."""
        if self._body is not None and self.state in UNADMITTED_STATES:
            self._fail(make_memory_failure(Code.overloaded))

    def on_run_sent(self) -> None:
        """Count the request while the server is cold; see ``RunReceiver``."""
        if self._ticket is not None:
            self._owner.gate.handle_server_message(
                RequestSent(ticket=self._ticket)
            )
        slow_start = self._owner.targets.slow_start
        self._slow_start_inputs = slow_start.record.note_sent()

    def open_flow(
        self, message: Message, *, receiver: FlowReceiver
    ) -> ResponseFlow:
        """Charge the call for its response; see ``RunReceiver``.

        Args:
            message: head of the response.
            receiver: the run.

        Returns:
            The flow of the response.
        """
        return ResponseFlow(
            BackendResponse(message, holding=self._holding),
            receiver=receiver,
            owner=self._owner,
            replies=self._replies,
        )

    def on_run_read(self, status: int) -> None:
        """Free the slot while the response is delivered; see ``RunReceiver``.

        Args:
            status: HTTP status.
        """
        self._times.end_run()
        self.state = CallState.delivering
        self._release_slot(find_ending(status))
        self._ticket = None

    def on_run_unread(self) -> None:
        """Cut an answer that is not read; see ``RunReceiver``."""
        self._fail(
            CallFailed(
                Code.caller_gone,
                outcome=Outcome.unknown,
                detail='the caller does not read the answer',
            ),
        )

    def on_run_finished(self, status: int) -> None:
        """End a call that was answered; see ``RunReceiver``.

        Args:
            status: HTTP status.
        """
        self._owner.record_end(
            EventKind.run_ended,
            self.fields,
            inputs={
                'status': status,
                **self._describe_listing(),
                **self._times.describe_wait(has_run=True),
                **self._times.describe_run(has_run=True),
                **self._times.describe_line(),
            },
        )
        if status < SERVER_ERROR_STATUS:
            answer_times = self._owner.targets.finish_check.answer_times
            answer_times.note(
                self.fields.work_class, self._times.measure_until_now()
            )
        self._close()
        self._release_slot(find_ending(status))

    def on_run_replayed(self) -> None:
        """End a call answered from a stored answer; see ``RunReceiver``."""
        self._close()
        self._release_slot(Ending.abandoned)

    def on_run_failed(
        self,
        failure: CallFailed,
        *,
        is_duplicate: bool = False,
    ) -> None:
        """End the call without an answer; see ``RunReceiver``.

        Args:
            failure: cause of the failure, and whether the request ran.
            is_duplicate: whether the request is a duplicate.
        """
        self._fail(failure, is_duplicate=is_duplicate)

    def send_credit(self, size: int) -> None:
        """Let the entry send more of the body; see ``BodySender``.

        Args:
            size: number of bytes.
        """
        self._replies.send_window_update(size)

    def give_up_body(self) -> None:
        """Refuse the request; see ``BodySender``."""
        self._fail(
            CallFailed(
                Code.past_deadline,
                detail='the line is too busy for the rest of the body',
                retry_after=self._owner.collector.line.wait_seconds,
            ),
        )

    # Memory

    def _hold(self, body: ReceivedBody) -> None:
        now = read_clock()
        self._holding.progress_at = now
        self._holding.resize(body.held_bytes)
        self._owner.memory.relieve(now=now)

    def _is_refused_for_memory(self) -> bool:
        holding = self._holding
        if not self._owner.memory.make_room(
            holding.size, now=holding.progress_at
        ):
            self._fail(make_memory_failure(Code.overloaded))
        return self.state is CallState.over

    # Body

    def _receive_body(self, body: ReceivedBody, fields: CallFields) -> None:
        self.state = CallState.receiving
        if not self._accept_fields(fields):
            return
        self._owner.targets.waiting_calls.add(self)
        try:
            body.collect(
                limits=find_transfer_limits(
                    fields,
                    run_seconds=self._owner.gate.state.estimate_run_seconds(
                        fields.work_class, now=read_clock()
                    ),
                ),
                sender=self,
            )
        except CallFailed as failure:
            self._fail(failure)
            return
        self._owner.load_notifier.notify_changes()

    # Admission

    def _accept_fields(self, fields: CallFields) -> bool:
        self._fields = fields
        owner = self._owner
        times = self._times
        times.update_deadline(fields, received_at=times.arrived_at)
        self._latest_start.limit(fields.start_within_ms)
        try:
            self._check_fields(fields)
        except CallFailed as failure:
            self._fail(failure)
            return False
        self._alarm = owner.loop.alarms.set_at(
            times.deadline + DEADLINE_GRACE_SECONDS,
            self._time_out,
        )
        self._limit_wait()
        return self.state is not CallState.over

    def _limit_wait(self) -> None:
        latest_start = self._latest_start.at
        if latest_start == inf:
            return
        starts_at = estimate_start(
            self._owner.gate.state, self._ticket, now=read_clock()
        )
        if starts_at > latest_start:
            self._refuse_unstarted()
            return
        if self._start_alarm is not None:
            self._start_alarm.cancel()
        self._start_alarm = self._owner.loop.alarms.set_at(
            latest_start, self._refuse_unstarted
        )

    def _refuse_unstarted(self) -> None:
        if self.state in UNADMITTED_STATES:
            self._fail(
                CallFailed(Code.stopping, detail=ENTRY_ENDS_DETAIL),
            )

    def _check_start(self, fields: CallFields) -> None:
        self._owner.check_target(fields)
        self._latest_start.check()

    def _check_fields(self, fields: CallFields) -> None:
        owner = self._owner
        self._check_start(fields)
        if not fields.bulk or self._replies.paced is not None:
            return
        if self._channel.uses_line:
            self._replies.paced = owner.response_sender.expect(
                fields,
                run_seconds=owner.gate.state.estimate_run_seconds(
                    fields.work_class, now=read_clock()
                ),
            )

    def _request_slot(self, fields: CallFields) -> None:
        if self._accept_fields(fields):
            self._enqueue(fields)

    def _enqueue(self, fields: CallFields) -> None:
        owner = self._owner
        times = self._times
        was_draining = owner.gate.state.draining
        elapsed_ms = round(times.measure_elapsed() * MILLISECONDS)
        ticket = owner.gate.request_slot(
            RequestArrived(
                within_ms=max(0, fields.within_ms - elapsed_ms),
                deadline=times.deadline,
                rank=fields.rank,
                patient=fields.patient,
                work_class=fields.work_class,
                pass_rank=fields.pass_rank,
                stands_for=fields.represented_requests,
                asks_free_slot=fields.asks_free_slot,
                latest_start=self._latest_start.at,
            ),
            self._handle_verdict,
        )
        if self.state is CallState.waiting:
            self._ticket = ticket
            owner.targets.waiting_calls.add(self)
        owner.invariants.check(
            Invariant.leaving_gets_none,
            holds=not was_draining or self.state is CallState.over,
            detail=fields.request_id,
        )

    def _handle_verdict(self, verdict: Verdict) -> None:
        if isinstance(verdict, Refused):
            self._fail(
                CallFailed(
                    verdict.code,
                    detail=describe_refusal(verdict, self.fields),
                    retry_after=verdict.retry_after,
                ),
            )
            return
        self._owner.targets.waiting_calls.discard(self)
        self._ticket = verdict.ticket
        self.state = CallState.reserved
        if self._body is not None:
            self._start_if_target_valid(self._body)
            return
        self._owner.gate.lease(verdict.ticket, seconds=LEASE_SECONDS)
        self._replies.send_grant(self.fields, lease=verdict.ticket)

    def _redeem_lease(self, fields: CallFields) -> None:
        # The fields of the run message apply: they name the incarnation
        # that granted the lease.
        self._fields = fields
        self._times.update_deadline(fields, received_at=read_clock())
        try:
            self._check_start(fields)
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
        assert self._body is not None
        self._start(self._body)

    def _start_if_target_valid(self, body: ReceivedBody) -> None:
        try:
            # The server may be listed as leaving while the call waits for a
            # slot; without a second check the call would still reach it.
            self._check_start(self.fields)
        except CallFailed as failure:
            self._fail(failure)
            return
        self._start(body)

    def _start(self, body: ReceivedBody) -> None:
        self.state = CallState.running
        if self._run is not None:
            # The entry sent two run messages for one call.
            self._run.close()
            self._replies.stop_pacing()
        self._run = BackendRun(
            self,
            body.take_run(),
            owner=self._owner,
            replies=self._replies,
            times=self._times,
        )
        self._run.begin()

    # Ends

    def _time_out(self) -> None:
        if self._delivers_on():
            self._alarm = self._owner.loop.alarms.set(
                DELIVERY_CHECK_SECONDS, self._time_out
            )
            return
        has_run = self.state in RUN_STATES
        self._fail(
            CallFailed(
                Code.timed_out,
                outcome=Outcome.unknown if has_run else Outcome.not_run,
            ),
        )

    def _delivers_on(self) -> bool:
        if self._run is None or self.state is not CallState.delivering:
            return False
        return self._run.check_progress()

    def _fail(self, failure: CallFailed, *, is_duplicate: bool = False) -> None:
        state = self.state
        if state is CallState.over:
            return
        run = self._run
        if run is not None and run.is_answering:
            self._replies.abort()
        else:
            self._replies.send_failure(self.fields, failure)
        self._record_failure(failure)
        self._close()
        if state in UNADMITTED_STATES:
            self._cancel_slot_request()
            return
        is_backend_fault = failure.code in BACKEND_FAULTS
        self._release_slot(
            Ending.failed if is_backend_fault else Ending.abandoned,
        )
        if state is CallState.running and not is_duplicate:
            assert run is not None
            run.update_duplicate_records(failure)

    def _record_failure(self, failure: CallFailed) -> None:
        has_run = self.state in RUN_STATES
        self._owner.record_end(
            EventKind.run_ended if has_run else EventKind.run_refused,
            self.fields,
            inputs={
                'outcome': failure.outcome.value,
                **failure.describe_crashes(),
                **self._describe_listing(),
                **self._times.describe_wait(has_run=has_run),
                **self._times.describe_run(has_run=has_run),
                **self._times.describe_line(),
            },
            code=failure.code,
            detail=failure.detail,
        )

    def _describe_listing(self) -> Inputs:
        listing = None if self._run is None else self._run.listing
        if listing is None:
            listing = self._owner.targets.find_listing(self.fields.instance)
        return {**listing.describe(), **self._slow_start_inputs}

    def _cancel_slot_request(self) -> None:
        if self._ticket is not None:
            self._owner.gate.cancel(self._ticket)
        self._owner.load_notifier.notify_changes()

    def _release_slot(self, ending: Ending) -> None:
        if self._ticket is not None:
            self._owner.gate.release_slot(
                self._ticket,
                seconds=self._times.measure_run(),
                ending=ending,
                work_class=self.fields.work_class,
            )
        # Without a ticket, the response was being delivered, and the backlog
        # of the line is smaller now.
        self._owner.load_notifier.notify_changes()

    def _close(self) -> None:
        self.state = CallState.over
        self._holding.close()
        self._owner.targets.waiting_calls.discard(self)
        if self._alarm is not None:
            self._alarm.cancel()
        if self._start_alarm is not None:
            self._start_alarm.cancel()
        if self._run is not None:
            # Call and run refer to each other.
            self._run.close()
            self._run = None
        if self._body is not None:
            self._body.close()
        self._replies.stop_pacing()
        self._channel.forget(self._number)
