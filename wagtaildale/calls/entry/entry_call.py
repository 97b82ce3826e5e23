"""One caller's request at the entry, from its head to its response."""

from __future__ import annotations

from math import inf
from typing import TYPE_CHECKING, Final

from wagtaildale.calls.entry.attempt import Attempt, AttemptState
from wagtaildale.calls.entry.attempts import Attempts, Obstacle, find_final_code
from wagtaildale.calls.entry.bodies import RequestBody
from wagtaildale.calls.entry.call_descriptions import (
    find_run_start,
    format_class_name,
)
from wagtaildale.calls.entry.outgoing_request import OutgoingRequest
from wagtaildale.calls.entry.report import CallReport
from wagtaildale.calls.entry.routed_call import RoutedCall, route_call
from wagtaildale.calls.entry.suspected_call import find_suspect, mark_harmful
from wagtaildale.calls.failures import CallFailed, make_memory_failure
from wagtaildale.calls.http.error_responses import build_error_response
from wagtaildale.calls.http.responses import ResponseHead
from wagtaildale.errors.codes import Code
from wagtaildale.timers.service import read_clock
from wagtaildale.types import Outcome

if TYPE_CHECKING:
    from wagtaildale.calls.entry.entry import Entry
    from wagtaildale.calls.http.exchanges import Exchange
    from wagtaildale.calls.wire.fields import AnswerFields
    from wagtaildale.calls.wire.frames import Answered, BodyPiece
    from wagtaildale.timers.alarms import Alarm

SHED_STATUS: Final = 503
SERVER_ERROR_STATUS: Final = 500
EXPECT_FIELD: Final = b'expect'


class EntryCall:
    """Forwards one request in one or more attempts and answers its caller.

    Acts as ``ExchangeReceiver`` for the caller and as ``AttemptReceiver``
    for the attempts.
    """

    def __init__(self, entry: Entry, exchange: Exchange) -> None:
        """Create the call; ``start`` routes it.

        Args:
            entry: entry that received the request.
            exchange: request and the response to be written.
        """
        self.deadline = float(0)
        self._entry = entry
        self._exchange = exchange
        self._report = CallReport(entry.parts.tallies, entry.parts.recorder)
        self._run_started_at = float(0)
        self._routed: RoutedCall | None = None
        self._request: OutgoingRequest | None = None
        self._attempts: Attempts | None = None
        self._running: list[Attempt] = []
        self._alarms: list[Alarm] = []
        self._uncredited_bytes = 0
        self._response_bytes = 0
        self._may_have_run = False
        self._error_response: tuple[Attempt, Answered] | None = None
        self._status = 0
        self._is_over = False
        self._arrived_at = read_clock()

    @property
    def request(self) -> OutgoingRequest:
        """The request that every attempt sends."""
        assert self._request is not None
        return self._request

    @property
    def routed(self) -> RoutedCall:
        """The call with its route and class."""
        assert self._routed is not None
        return self._routed

    @property
    def attempts(self) -> Attempts:
        """The attempts so far and the limits on further ones."""
        assert self._attempts is not None
        return self._attempts

    def start(self) -> None:
        """Route the request; start an attempt once its body is available."""
        try:
            self._route()
        except CallFailed as failure:
            self._fail(failure)
            return
        alarms = self._entry.parts.loop.alarms
        self._alarms.append(alarms.set_at(self.deadline, self._time_out))
        self.limit_start()
        self._start_if_ready()

    def limit_start(self) -> None:
        """Start nothing that cannot be answered before this process ends."""
        schedule = self._entry.stop_schedule
        if self._is_over or not schedule.is_stopping:
            return
        latest_start = schedule.find_latest_start(
            seconds=self._entry.answer_times.find_bound(
                format_class_name(self.routed)
            ),
            deadline=self.deadline,
            arrived_at=self._arrived_at,
        )
        if latest_start == inf:
            return
        self.attempts.latest_start = latest_start
        for attempt in tuple(self._running):
            attempt.limit_start(latest_start)
        alarms = self._entry.parts.loop.alarms
        self._alarms.append(alarms.set_at(latest_start, self._end_unsent))

    def on_body(self) -> None:
        """Read more of the request body; see ``ExchangeReceiver``."""
        if self._is_over or self._request is None:
            self._exchange.message.take_body()
            return
        try:
            self.request.body.read()
        except CallFailed as failure:
            if any(attempt.is_run_sent for attempt in self._running):
                # The body may exceed the limit after its beginning was sent.
                # The backend server may already run the request then, so
                # the outcome is not "not run".
                failure.outcome = Outcome.unknown
            self._fail(failure)
            return
        if self._running:
            for attempt in self._running:
                attempt.send_body()
        elif not self.attempts.tried:
            self._start_if_ready()

    def on_body_failed(self, failure: CallFailed) -> None:
        """Fail at once: the body never completes; see ``ExchangeReceiver``.

        Args:
            failure: what is wrong with the body.
        """
        if self._is_over or self._exchange.has_response_begun:
            return
        if self._is_passed_on():
            failure.outcome = Outcome.unknown
        self._fail(failure)

    def on_caller_gone(self) -> None:
        """Cancel all attempts: the caller closed its connection."""
        if self._is_over:
            return
        self._end()
        self._report.note_failure(
            CallFailed(Code.caller_gone, outcome=Outcome.unknown),
        )

    def on_writable(self) -> None:
        """Let the upstream send more: the caller has read what was written."""
        if self._uncredited_bytes and self._running:
            self._running[0].send_credit(self._uncredited_bytes)
            self._uncredited_bytes = 0

    def give_up(self) -> None:
        """Refuse the request if it has not run; see ``ExchangeReceiver``.

        Of a request that may run, only the copy of its body is freed.
        """
        if self._is_over or self._exchange.has_response_begun:
            return
        if not self._is_passed_on():
            self._fail(make_memory_failure())
        elif all(attempt.has_sent_body for attempt in self._running):
            self.request.body.discard()

    def note_owner_state(self, attempt: Attempt, answer: AnswerFields) -> None:
        """Record the state an owner reports; see ``AttemptReceiver``.

        Args:
            attempt: attempt that was answered.
            answer: fields of the answer.
        """
        self._entry.targets.note_answer(
            attempt.target, answer, since=attempt.started_at
        )
        if answer.leaving is not None:
            self._entry.parts.listener.note_server_leaving(
                attempt.target.address,
                answer.leaving,
            )
        self.attempts.crash_count = max(self.attempts.crash_count, answer.ends)

    def on_answer(self, attempt: Attempt, frame: Answered) -> None:
        """Handle an upstream's response; see ``AttemptReceiver``.

        Args:
            attempt: attempt that was answered.
            frame: response head with the whole body or its first piece.
        """
        if self._is_over:
            return
        self._drop(attempt)
        hedge_delay = self._entry.hedge_delays.find_or_create(
            attempt.target.fields.work_class,
        )
        hedge_delay.add_sample(read_clock() - attempt.started_at)
        self._may_have_run = True
        self._run_started_at = find_run_start(
            frame.fields, attempt_started_at=attempt.started_at
        )
        if not self._retry_after_error(attempt, frame):
            self._respond(attempt, frame)

    def on_piece(self, attempt: Attempt, frame: BodyPiece) -> None:
        """Forward a piece of a response body; see ``AttemptReceiver``.

        Args:
            attempt: attempt that was answered.
            frame: the piece.
        """
        if self._is_over:
            return
        self._exchange.write_body(frame.body, more=frame.more)
        self._credit_or_finish(attempt, len(frame.body), more=frame.more)

    def on_attempt_silent(self, attempt: Attempt, failure: CallFailed) -> None:
        """Start another attempt beside a silent one; see ``AttemptReceiver``.

        If no other upstream or no retry is left, the call keeps waiting:
        silence alone does not cancel a request that its server may be
        running.

        Args:
            attempt: the silent attempt.
            failure: failure that the attempt would have if it were cancelled
                now.
        """
        if self._is_over or self._running != [attempt]:
            return
        if not self._entry.targets.has_untried_upstream(
            self.routed, self.attempts
        ):
            return
        if self._try_retry(failure):
            self._report.note_retry(failure)
            self._start_attempt()

    def on_attempt_failed(self, attempt: Attempt, failure: CallFailed) -> None:
        """Continue after a failed attempt; see ``AttemptReceiver``.

        Args:
            attempt: the failed attempt.
            failure: failure of the attempt.
        """
        if self._is_over:
            return
        self._entry.targets.note_failure(attempt.target, failure)
        self._drop(attempt)
        if attempt.is_run_sent and failure.outcome is not Outcome.not_run:
            self._may_have_run = True
        if self._exchange.has_response_begun:
            # The connection closes before the end of the body. HTTP treats
            # that as an error, so the caller never takes a truncated
            # response for a complete one.
            self._end()
            self._report.note_failure(failure)
            self._exchange.abort()
        elif all(other.was_silent for other in self._running):
            self._redirect_retry_or_fail(attempt, failure)

    # Routing and attempts

    def _route(self) -> None:
        exchange = self._exchange
        parts = self._entry.parts
        routed = route_call(parts, exchange.message)
        self._routed = routed
        self._report.note_routed(routed)
        self.deadline = routed.deadline
        budget = self._entry.find_or_create_budget(routed.service)
        budget.earn(now=read_clock())
        work_class = routed.match.work_class
        self._attempts = Attempts(
            idempotent=work_class.idempotent,
            deadline=routed.deadline,
            budget=budget,
            retries_left=routed.retries,
            body_bytes=max(0, exchange.message.length),
            is_bulk=work_class.is_bulk,
        )
        self._request = OutgoingRequest(
            method=exchange.message.method,
            target=exchange.message.target,
            headers=routed.headers,
            body=RequestBody(
                exchange,
                limit=parts.read_limits().max_body_bytes,
                max_collected_bytes=parts.owner.memory.max_collected_bytes,
            ),
            needs_reservation=parts.reserves and not work_class.idempotent,
        )

    def _start_if_ready(self) -> None:
        if self.request.body.is_ready:
            self._start_attempt()
        elif self._exchange.message.find(EXPECT_FIELD) is not None:
            self._exchange.send_continue()

    def _start_attempt(self, *, is_hedge: bool = False) -> None:
        try:
            attempt = self._make_attempt(is_hedge=is_hedge)
        except CallFailed as failure:
            self._fail_unless_attempts_run(failure)
            return
        self._running.append(attempt)
        self._report.note_attempt(attempt.target)
        self._plan_hedge(attempt)
        attempt.start()

    def _check_start(self) -> None:
        now = read_clock()
        if now > self.attempts.latest_start:
            raise CallFailed(
                Code.stopping,
                detail='its class takes longer than this node runs',
            )

    def _make_attempt(self, *, is_hedge: bool) -> Attempt:
        self._check_start()
        targets = self._entry.targets
        target = targets.choose(
            self.routed,
            self.attempts,
            is_hedge=is_hedge,
            may_ask_free_slot=self.request.has_small_body,
            suspect=find_suspect(
                self._entry.parts,
                self.routed,
                self.request,
                self.attempts,
            ),
        )
        return Attempt(self, target=target, peer=targets.find_peer(target))

    def _redirect_retry_or_fail(
        self, attempt: Attempt, failure: CallFailed
    ) -> None:
        now = read_clock()
        replayable = self.request.body.is_replayable
        attempts = self.attempts
        fields = attempt.target.fields
        if fields.asks_free_slot and attempts.try_after_missing_slot(
            failure, instance=fields.instance, now=now
        ):
            self._report.note_missing_slot()
            self._start_attempt()
            return
        attempts.note_rejection(fields.instance, failure.code)
        may_redirect = replayable and self._may_help_elsewhere(failure)
        if may_redirect and attempts.try_redirect(failure, now=now):
            self._report.note_redirect(failure)
            self._start_attempt()
        elif self._try_retry(failure):
            self._report.note_retry(failure)
            self._start_attempt()
        else:
            failure.code = find_final_code(
                failure, idempotent=attempts.idempotent
            )
            mark_harmful(failure, attempts)
            self._fail_unless_attempts_run(failure)

    def _may_help_elsewhere(self, failure: CallFailed) -> bool:
        # Without another upstream the caller would be told that there is none.
        if failure.code is not Code.stopping:
            return True
        return self._entry.targets.has_untried_upstream(
            self.routed, self.attempts
        )

    def _try_retry(self, failure: CallFailed) -> bool:
        return self.attempts.try_retry(
            failure,
            now=read_clock(),
            replayable=self.request.body.is_replayable,
        )

    def _retry_after_error(self, attempt: Attempt, frame: Answered) -> bool:
        """Retry at another upstream if the response is a server error."""
        if frame.status < SERVER_ERROR_STATUS or frame.more:
            return False
        if any(not other.was_silent for other in self._running):
            return False
        shed = frame.status == SHED_STATUS
        failure = CallFailed(
            Code.overloaded if shed else Code.service_error,
            outcome=Outcome.unknown,
            detail=f'status {frame.status}',
        )
        self._entry.targets.note_failure(attempt.target, failure)
        if not self._try_retry(failure):
            return False
        self._report.note_retry(failure)
        # The caller gets this response if no other attempt succeeds.
        self._error_response = (attempt, frame)
        self._start_attempt()
        return True

    def _plan_hedge(self, attempt: Attempt) -> None:
        if not self._entry.parts.hedges or len(self._running) > 1:
            return
        hedge_delay = self._entry.hedge_delays.find_or_create(
            attempt.target.fields.work_class,
        )
        within_ms = self.routed.match.work_class.within_ms
        delay = hedge_delay.find_delay(within_ms=within_ms)
        if delay is None or not self.attempts.may_hedge(read_clock() + delay):
            return
        alarms = self._entry.parts.loop.alarms
        self._alarms.append(alarms.set(delay, lambda: self._hedge(attempt)))

    def _hedge(self, attempt: Attempt) -> None:
        if self._is_over or self._running != [attempt]:
            return
        if attempt.state is not AttemptState.running:
            return
        if not self.request.body.is_replayable:
            return
        if not self._entry.targets.has_untried_upstream(
            self.routed, self.attempts
        ):
            return
        if not self.attempts.try_hedge(now=read_clock()):
            return
        self._report.note_hedge()
        self._start_attempt(is_hedge=True)

    def _credit_or_finish(
        self, attempt: Attempt, size: int, *, more: bool
    ) -> None:
        self._response_bytes += size
        if not more:
            self._end()
            self._note_answer_time(attempt)
            self._note_response_size(attempt)
            self._report.note_response(status=self._status)
            return
        self._uncredited_bytes += size
        if not self._exchange.is_full:
            attempt.send_credit(self._uncredited_bytes)
            self._uncredited_bytes = 0

    def _note_answer_time(self, attempt: Attempt) -> None:
        # Server errors come sooner than answers.
        if self._status < SERVER_ERROR_STATUS:
            self._entry.answer_times.note(
                attempt.target.fields.work_class,
                read_clock() - self._run_started_at,
            )

    def _note_response_size(self, attempt: Attempt) -> None:
        # Server errors are small and come in series; counted, they would make
        # the downloads after them look small.
        fields = attempt.target.fields
        if fields.bulk and self._status < SERVER_ERROR_STATUS:
            self._report.note_response_size(self._response_bytes)
            self._entry.note_response_size(
                fields.work_class, self._response_bytes
            )

    def _respond(self, attempt: Attempt, frame: Answered) -> None:
        targets = self._entry.targets
        for other in self._running:
            targets.note_unfinished_attempt(
                other.target, since=other.started_at
            )
            other.cancel()
        self._running = [attempt] if frame.more else []
        self._report.note_answer(frame.fields)
        self._status = frame.status
        if frame.status >= SERVER_ERROR_STATUS:
            self._note_failed_try()
        head = ResponseHead(
            status=frame.status,
            headers=(*frame.headers, *self._build_report_headers()),
            length=frame.length,
        )
        self._exchange.begin_response(head, body=frame.body, more=frame.more)
        self._credit_or_finish(attempt, len(frame.body), more=frame.more)

    # End of the call

    def _time_out(self) -> None:
        is_run_sent = any(attempt.is_run_sent for attempt in self._running)
        failure = CallFailed(
            Code.timed_out,
            outcome=Outcome.unknown if is_run_sent else Outcome.not_run,
        )
        if self._exchange.has_response_begun:
            return
        for attempt in self._running:
            self._entry.targets.note_failure(attempt.target, failure)
        failure.code = find_final_code(
            failure, idempotent=self.attempts.idempotent
        )
        self._fail(failure)

    def _end_unsent(self) -> None:
        """Reject the request if it has not run: its time is over."""
        if not self._is_passed_on():
            self._fail(CallFailed(Code.stopping))

    def _is_passed_on(self) -> bool:
        return self._may_have_run or any(
            attempt.is_run_sent for attempt in self._running
        )

    def _fail_unless_attempts_run(self, failure: CallFailed) -> None:
        # An attempt that is still running, even a silent one, may succeed.
        if not self._running:
            self._fail(failure)

    def _fail(self, failure: CallFailed) -> None:
        if self._is_over:
            return
        if self._error_response is not None:
            self._respond(*self._error_response)
            return
        if self._may_have_run and failure.outcome is Outcome.not_run:
            # The request may have run at one upstream and lost its response
            # before the next upstream rejected it. "Not run" is true only of
            # the last one, so the caller must not get it.
            failure.outcome = Outcome.unknown
        schedule = self._entry.stop_schedule
        if failure.code is Code.stopping and schedule.is_stopping:
            failure.retry_after = schedule.compute_retry_after(read_clock())
        self._end()
        self._note_failed_try()
        self._report.note_failure(failure, obstacle=self._find_obstacle())
        head, body = build_error_response(
            failure,
            extra_headers=self._build_report_headers(),
            dialect=self._entry.parts.dialect,
        )
        self._exchange.begin_response(head, body=body)

    def _note_failed_try(self) -> None:
        # Its caller may come back.
        if self._routed is not None:
            self._entry.parts.caller_retries.note_failure(
                self._routed.caller_try
            )

    def _build_report_headers(self) -> tuple[tuple[bytes, bytes], ...]:
        if not self._entry.parts.dialect.describes_calls:
            return ()
        return tuple(self._report.build_headers())

    def _find_obstacle(self) -> Obstacle:
        attempts = self._attempts
        return Obstacle.none if attempts is None else attempts.obstacle

    def _drop(self, attempt: Attempt) -> None:
        self._running = [each for each in self._running if each is not attempt]

    def _end(self) -> None:
        self._is_over = True
        self._entry.forget(self)
        if self._request is not None:
            self._request.body.discard()
        for alarm in self._alarms:
            alarm.cancel()
        self._error_response = None
        running = self._running
        self._running = []
        for attempt in running:
            attempt.cancel()
