"""One caller's request at the entry, from its head to its answer."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from wagtaildale.calls.answers import describe_problem
from wagtaildale.calls.attempt import Attempt, AttemptState, RequestParts
from wagtaildale.calls.attempts import Attempts, Obstacle, conclude
from wagtaildale.calls.bodies import RequestBody
from wagtaildale.calls.failures import CallFailed
from wagtaildale.calls.report import CallReport
from wagtaildale.calls.responses import ResponseHead
from wagtaildale.calls.routed import Routed, route_call
from wagtaildale.calls.suspected_call import name_harm, review_suspect
from wagtaildale.errors.codes import Code
from wagtaildale.timers.service import read_clock
from wagtaildale.types import Outcome

if TYPE_CHECKING:
    from wagtaildale.calls.entry import Entry
    from wagtaildale.calls.exchanges import Exchange
    from wagtaildale.calls.fields import AnswerFields
    from wagtaildale.calls.frames import Answered, Piece
    from wagtaildale.timers.alarms import Alarm

SHED_STATUS: Final = 503
SERVER_ERROR: Final = 500
EXPECT_FIELD: Final = b'expect'


class EntryCall:
    """Carries one request through its attempts.

    An ``ExchangeReceiver`` towards the caller and an ``AttemptOwner``
    towards its attempts.
    """

    def __init__(self, entry: Entry, exchange: Exchange) -> None:
        """Take a request.

        Args:
            entry: that it came to.
            exchange: the request, and the place of its answer.
        """
        self.deadline = float(0)
        self._entry = entry
        self._exchange = exchange
        self._report = CallReport(entry.parts.tallies, entry.parts.recorder)
        self._routed: Routed | None = None
        self._request: RequestParts | None = None
        self._attempts: Attempts | None = None
        self._running: list[Attempt] = []
        self._alarms: list[Alarm] = []
        self._owed = 0
        self._has_run = False
        self._error: tuple[Attempt, Answered] | None = None
        self._status = 0
        self._is_over = False

    @property
    def request(self) -> RequestParts:
        """What every attempt sends."""
        assert self._request is not None
        return self._request

    @property
    def routed(self) -> Routed:
        """The call with its class."""
        assert self._routed is not None
        return self._routed

    @property
    def attempts(self) -> Attempts:
        """The attempts so far."""
        assert self._attempts is not None
        return self._attempts

    def start(self) -> None:
        """Find the class of the request; attempt it once the body is here."""
        try:
            self._route()
        except CallFailed as failure:
            self._fail(failure)
            return
        alarms = self._entry.parts.loop.alarms
        self._alarms.append(alarms.set_at(self.deadline, self._time_out))
        self._start_if_ready()

    def on_body(self) -> None:
        """Take more of the request's body; see ``ExchangeReceiver``."""
        if self._is_over or self._request is None:
            self._exchange.message.take_body()
            return
        try:
            self.request.body.read()
        except CallFailed as failure:
            if any(attempt.was_run for attempt in self._running):
                # Failure: a body grows over the limit in the middle, and
                # its caller hears "not run" of what the backend server has
                # begun. Once anything was sent, nobody can say so.
                failure.outcome = Outcome.unknown
            self._fail(failure)
            return
        if self._running:
            self._running[0].send_body()
        elif not self.attempts.tried:
            self._start_if_ready()

    def on_gone(self) -> None:
        """Stop everything: the caller waits no longer."""
        if self._is_over:
            return
        self._end()
        self._report.note_failure(
            CallFailed(Code.caller_gone, outcome=Outcome.unknown),
        )

    def on_room(self) -> None:
        """Learn that the caller took what was written."""
        if self._owed and self._running:
            self._running[0].note_taken(self._owed)
            self._owed = 0

    def note_answer(self, attempt: Attempt, answer: AnswerFields) -> None:
        """Note what an owner says of itself; see ``AttemptOwner``.

        Args:
            attempt: that was answered.
            answer: the owner's word.
        """
        self._entry.targets.note_answer(attempt.target, answer)
        if answer.leaving is not None:
            self._entry.parts.listener.note_server_leaving(
                attempt.target.address,
                answer.leaving,
            )
        self.attempts.ends = max(self.attempts.ends, answer.ends)

    def on_answer(self, attempt: Attempt, frame: Answered) -> None:
        """Take an upstream's response; see ``AttemptOwner``.

        Args:
            attempt: whose.
            frame: head and body, or its beginning.
        """
        if self._is_over:
            return
        self._drop(attempt)
        clock = self._entry.clocks.find(attempt.target.fields.work_class)
        clock.note(read_clock() - attempt.started_at)
        self._has_run = True
        if not self._try_after_error(attempt, frame):
            self._respond(attempt, frame)

    def on_piece(self, attempt: Attempt, frame: Piece) -> None:
        """Take more of a response's body; see ``AttemptOwner``.

        Args:
            attempt: whose.
            frame: the piece.
        """
        if self._is_over:
            return
        self._exchange.add(frame.body, more=frame.more)
        self._pass_on(attempt, len(frame.body), more=frame.more)

    def on_attempt_silent(self, attempt: Attempt, failure: CallFailed) -> None:
        """Ask another upstream beside a silent one; see ``AttemptOwner``.

        Where there is none, or no repeat is left, the call waits: a request
        that its server may be working on is not given up for a silence.

        Args:
            attempt: which.
            failure: that it has if it is given up now.
        """
        if self._is_over or self._running != [attempt]:
            return
        if not self._entry.targets.has_another(self.routed, self.attempts):
            return
        if self._may_retry(failure):
            self._report.note_retry(failure)
            self._try()

    def on_attempt_failed(self, attempt: Attempt, failure: CallFailed) -> None:
        """Go on after a failed attempt; see ``AttemptOwner``.

        Args:
            attempt: which.
            failure: why.
        """
        if self._is_over:
            return
        self._entry.targets.note_failure(attempt.target, failure)
        self._drop(attempt)
        if attempt.was_run and failure.outcome is not Outcome.not_run:
            self._has_run = True
        if self._exchange.is_begun:
            # The caller sees the connection close before the body's end,
            # which HTTP counts as an error: a cut answer is never taken
            # for a whole one.
            self._end()
            self._report.note_failure(failure)
            self._exchange.cut()
        elif all(other.is_silent for other in self._running):
            self._try_again(attempt, failure)

    # Steps

    def _route(self) -> None:
        exchange = self._exchange
        parts = self._entry.parts
        routed = route_call(parts, exchange.message)
        self._routed = routed
        self._report.name_call(routed)
        self.deadline = routed.deadline
        budget = self._entry.find_budget(routed.service)
        budget.earn(now=read_clock())
        work_class = routed.match.work_class
        self._attempts = Attempts(
            idempotent=work_class.idempotent,
            deadline=routed.deadline,
            budget=budget,
            retries_left=routed.retries,
        )
        self._request = RequestParts(
            method=exchange.message.method,
            target=exchange.message.target,
            headers=routed.headers,
            body=RequestBody(exchange, limit=parts.read_limits().body_bytes),
            reserves=parts.reserves and not work_class.idempotent,
        )

    def _start_if_ready(self) -> None:
        if self.request.body.is_ready:
            self._try()
        elif self._exchange.message.find(EXPECT_FIELD) is not None:
            self._exchange.ask_for_body()

    def _try(self, *, spare: bool = False) -> None:
        try:
            attempt = self._make_attempt(spare=spare)
        except CallFailed as failure:
            self._fail_if_last(failure)
            return
        self._running.append(attempt)
        self._report.note_attempt(attempt.target)
        self._plan_hedge(attempt)
        attempt.begin()

    def _make_attempt(self, *, spare: bool) -> Attempt:
        targets = self._entry.targets
        target = targets.pick(
            self.routed,
            self.attempts,
            spare=spare,
            suspect=review_suspect(
                self._entry.parts,
                self.routed,
                self.request,
                self.attempts,
            ),
        )
        return Attempt(self, target=target, peer=targets.find_peer(target))

    def _try_again(self, attempt: Attempt, failure: CallFailed) -> None:
        now = read_clock()
        replayable = self.request.body.is_replayable
        attempts = self.attempts
        attempts.note_refusal(attempt.target.fields.instance, failure.code)
        if attempts.may_ask_elsewhere(failure, now=now) and replayable:
            self._report.note_refusal(failure)
            self._try()
        elif self._may_retry(failure):
            self._report.note_retry(failure)
            self._try()
        else:
            failure.code = conclude(failure, idempotent=attempts.idempotent)
            name_harm(failure, attempts)
            self._fail_if_last(failure)

    def _may_retry(self, failure: CallFailed) -> bool:
        return self.attempts.may_retry(
            failure,
            now=read_clock(),
            replayable=self.request.body.is_replayable,
        )

    def _try_after_error(self, attempt: Attempt, frame: Answered) -> bool:
        """Try elsewhere after an answer that is an error of the server."""
        if frame.status < SERVER_ERROR or frame.more:
            return False
        if any(not other.is_silent for other in self._running):
            return False
        shed = frame.status == SHED_STATUS
        failure = CallFailed(
            Code.overloaded if shed else Code.service_error,
            outcome=Outcome.unknown,
            detail=f'status {frame.status}',
        )
        self._entry.targets.note_failure(attempt.target, failure)
        if not self._may_retry(failure):
            return False
        self._report.note_retry(failure)
        # Should nobody give a better one, the caller gets this answer.
        self._error = (attempt, frame)
        self._try()
        return True

    def _plan_hedge(self, attempt: Attempt) -> None:
        if not self._entry.parts.hedges or len(self._running) > 1:
            return
        clock = self._entry.clocks.find(attempt.target.fields.work_class)
        within = self.routed.match.work_class.within_ms
        delay = clock.find_delay(within_ms=within)
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
        if not self._entry.targets.has_another(self.routed, self.attempts):
            return
        if not self.attempts.take_hedge(now=read_clock()):
            return
        self._report.note_hedge()
        self._try(spare=True)

    def _pass_on(self, attempt: Attempt, size: int, *, more: bool) -> None:
        if not more:
            self._end()
            self._report.close(status=self._status)
            return
        self._owed += size
        if not self._exchange.is_full:
            attempt.note_taken(self._owed)
            self._owed = 0

    def _respond(self, attempt: Attempt, frame: Answered) -> None:
        targets = self._entry.targets
        for other in self._running:
            targets.note_overtaken(other.target, since=other.started_at)
            other.cancel()
        self._running = [attempt] if frame.more else []
        self._report.note_answer(frame.answer)
        self._status = frame.status
        head = ResponseHead(
            status=frame.status,
            headers=(*frame.headers, *self._describe()),
            length=frame.length,
        )
        self._exchange.begin(head, body=frame.body, more=frame.more)
        self._pass_on(attempt, len(frame.body), more=frame.more)

    # Ends

    def _time_out(self) -> None:
        ran = any(attempt.was_run for attempt in self._running)
        failure = CallFailed(
            Code.timed_out,
            outcome=Outcome.unknown if ran else Outcome.not_run,
        )
        if self._exchange.is_begun:
            return
        for attempt in self._running:
            self._entry.targets.note_failure(attempt.target, failure)
        failure.code = conclude(failure, idempotent=self.attempts.idempotent)
        self._fail(failure)

    def _fail_if_last(self, failure: CallFailed) -> None:
        # An attempt that is under way, though silent, may yet answer.
        if not self._running:
            self._fail(failure)

    def _fail(self, failure: CallFailed) -> None:
        if self._is_over:
            return
        if self._error is not None:
            self._respond(*self._error)
            return
        if self._has_run and failure.outcome is Outcome.not_run:
            # Failure: a request runs at one upstream, its answer is lost,
            # the next upstream refuses it, and the caller hears "not run".
            failure.outcome = Outcome.unknown
        self._end()
        self._report.note_failure(failure, obstacle=self._find_obstacle())
        head, body = describe_problem(
            failure,
            extra=self._describe(),
            dialect=self._entry.parts.dialect,
        )
        self._exchange.begin(head, body=body)

    def _describe(self) -> tuple[tuple[bytes, bytes], ...]:
        if not self._entry.parts.dialect.describes_calls:
            return ()
        return tuple(self._report.describe())

    def _find_obstacle(self) -> Obstacle:
        attempts = self._attempts
        return Obstacle.none if attempts is None else attempts.obstacle

    def _drop(self, attempt: Attempt) -> None:
        self._running = [each for each in self._running if each is not attempt]

    def _end(self) -> None:
        self._is_over = True
        for alarm in self._alarms:
            alarm.cancel()
        running = self._running
        self._running = []
        for attempt in running:
            attempt.cancel()
