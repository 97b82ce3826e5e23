"""One attempt of a call: send, race a hedge, check, deliver."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from msgspec import structs

from wagtaildale.calls.bodies import NoBody
from wagtaildale.calls.exchange import Call
from wagtaildale.calls.failures import CallFailed
from wagtaildale.calls.fields import (
    ANSWER_FIELD,
    ASK_LEASE,
    AnswerFields,
    CallFields,
    read_answer,
)
from wagtaildale.calls.hedges import HedgeClocks
from wagtaildale.calls.races import Flight, Racer
from wagtaildale.calls.targets import Target, Targets
from wagtaildale.errors.codes import Code
from wagtaildale.invariants import Invariant
from wagtaildale.timers.service import read_clock
from wagtaildale.types import Outcome

if TYPE_CHECKING:
    from wagtaildale.calls.keyed import Deliverable
    from wagtaildale.calls.attempts import Attempts
    from wagtaildale.calls.connections import Pool
    from wagtaildale.calls.responses import Response
    from wagtaildale.calls.routed import EntryParts, Routed
    from wagtaildale.invariants import Invariants

SHED_STATUS: Final = 503
MILLISECONDS: Final = 1000


class Attempter:
    """Makes attempts from this node."""

    def __init__(self, parts: EntryParts, *, pool: Pool) -> None:
        """Prepare.

        Args:
            parts: of the node.
            pool: idle connections to other owners.
        """
        self._owner = parts.owner
        self._invariants = parts.owner.invariants
        self._reserves = parts.reserves
        self._hedges = parts.hedges
        self._targets = Targets(parts)
        self._racer = Racer(self._targets, pool=pool)
        self._clocks = HedgeClocks()

    def attempt(self, routed: Routed, attempts: Attempts) -> None:
        """Make one attempt.

        Args:
            routed: the call.
            attempts: those before; this one is added.

        Raises:
            CallFailed: when it ends without an answer.
            StreamCut: when the response broke after its head was sent.
        """
        target = self._targets.pick(routed, attempts)
        with target.notes:
            try:
                self._send(routed, target, attempts)
            except CallFailed as failure:
                self._targets.note_failure(target, failure)
                raise

    def _send(
        self,
        routed: Routed,
        target: Target,
        attempts: Attempts,
    ) -> None:
        if target.fields.instance == self._owner.identity.instance:
            # The upstream is the backend server beside this node: one hop.
            self._owner.run(
                routed.call,
                fields=target.fields,
                deliver=_DeliverTo(routed, self._invariants),
            )
        elif attempts.idempotent:
            self._send_idempotent(routed, target, attempts)
        else:
            self._send_once(routed, target)

    def _send_once(self, routed: Routed, target: Target) -> None:
        """Reserve a slot, then send the run message, once.

        Failure guarded here: a booking waits in a queue, its entry gives
        up, and nobody knows whether it ran. While only a reservation is
        out nothing has run, and it is safe to go elsewhere. The run
        message follows on the connection that has just answered, and is
        never sent again.
        """
        if self._reserves:
            answer = self._reserve(routed, target)
            # A lease holds in the process that gave it, in no other: the
            # run message names its incarnation.
            fields = structs.replace(
                target.fields,
                lease=answer.lease,
                incarnation=answer.incarnation,
            )
            target = structs.replace(target, fields=fields)
        flight = self._racer.begin(routed.call, target)
        self._finish(routed, flight)

    def _reserve(self, routed: Routed, target: Target) -> AnswerFields:
        asking = structs.replace(target.fields, lease=ASK_LEASE)
        call = Call(
            caller=routed.call.caller,
            method=b'POST',
            target=b'/reserve',
            headers=(),
            body=NoBody(),
            deadline=routed.call.deadline,
        )
        try:
            with self._racer.begin(
                call,
                structs.replace(target, fields=asking),
            ).sent.finish() as response:
                answer = _check_answer(response, asking)
        except CallFailed as failure:
            # Only a reservation was out: nothing has run.
            failure.outcome = Outcome.not_run
            raise
        self._targets.note_answer(target, answer)
        if answer.code is not Code.ok:
            raise _describe_refusal(answer, Outcome.not_run)
        return answer

    def _send_idempotent(
        self,
        routed: Routed,
        target: Target,
        attempts: Attempts,
    ) -> None:
        clock = self._clocks.find(target.fields.work_class)
        began = read_clock()
        flight = self._racer.begin(routed.call, target)
        delay = clock.find_delay() if self._hedges else None
        if delay is not None and attempts.may_hedge(began + delay):
            flight = self._racer.race(
                routed,
                flight,
                attempts=attempts,
                until=began + delay,
            )
        self._finish(routed, flight)
        clock.note(read_clock() - began)

    def _finish(self, routed: Routed, flight: Flight) -> None:
        with flight.sent.finish(is_ready=flight.is_ready) as response:
            answer = _check_answer(response, flight.target.fields)
            self._targets.note_answer(flight.target, answer)
            if answer.code is Code.ok:
                _check_shed(response, flight.target.fields)
                _DeliverTo(routed, self._invariants)(response, answer)
        if answer.code is not Code.ok:
            raise _describe_refusal(answer, answer.outcome)


class _DeliverTo:
    """Passes an upstream's response on to the caller."""

    def __init__(self, routed: Routed, invariants: Invariants) -> None:
        self._routed = routed
        self._invariants = invariants

    def __call__(self, response: Deliverable, answer: AnswerFields) -> None:
        routed = self._routed
        matches = answer.request_id == routed.request_id
        if not self._invariants.hold(
            Invariant.answer_matches,
            holds=matches,
            detail=routed.request_id,
        ):
            raise CallFailed(Code.answer_mismatched, outcome=Outcome.unknown)
        routed.report.note_answer(answer)
        response.write_to(
            routed.call.caller,
            extra=routed.report.describe(),
            deadline=max(routed.call.deadline, read_clock() + 1),
        )
        routed.report.close()


def _check_answer(response: Response, fields: CallFields) -> AnswerFields:
    # Failure: answers come late or crossed, and a caller gets another's. An
    # answer counts only if it names this request and this attempt.
    text = response.message.find(ANSWER_FIELD)
    answer = read_answer(text) if text else None
    if answer is not None and answer.request_id == fields.request_id:
        if answer.attempt == fields.attempt:
            return answer
    raise CallFailed(Code.answer_mismatched, outcome=Outcome.unknown)


def _describe_refusal(answer: AnswerFields, outcome: Outcome) -> CallFailed:
    return CallFailed(
        answer.code,
        outcome=outcome,
        retry_after=answer.retry_ms / MILLISECONDS,
    )


def _check_shed(response: Response, fields: CallFields) -> None:
    if response.message.status == SHED_STATUS and fields.idempotent:
        raise CallFailed(
            Code.overloaded,
            outcome=Outcome.unknown,
            detail='shed by the backend server',
        )
