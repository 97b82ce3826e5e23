"""One attempt of a call: choose an upstream, send, check, deliver."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from wagtaildale.calls.addresses import Address
from wagtaildale.calls.exchange import exchange
from wagtaildale.calls.failures import CallFailed
from wagtaildale.calls.fields import (
    ANSWER_FIELD,
    CALL_FIELD,
    AnswerFields,
    CallFields,
    read_answer,
    write_call,
)
from wagtaildale.errors.codes import Code
from wagtaildale.routing.choice import choose_upstream, list_candidates
from wagtaildale.timers.service import read_clock
from wagtaildale.types import Outcome

if TYPE_CHECKING:
    from wagtaildale.calls.attempts import Attempts
    from wagtaildale.calls.connections import Pool
    from wagtaildale.calls.responses import Response
    from wagtaildale.calls.routed import EntryParts, Routed
    from wagtaildale.membership.records import InstanceRecord

MILLISECONDS: Final = 1000


class Attempter:
    """Makes attempts from this node."""

    def __init__(self, parts: EntryParts, *, pool: Pool) -> None:
        """Prepare.

        Args:
            parts: of the node.
            pool: idle connections to other owners.
        """
        self._parts = parts
        self._pool = pool

    def attempt(self, routed: Routed, attempts: Attempts) -> None:
        """Make one attempt.

        Args:
            routed: the call.
            attempts: those before; this one is added.

        Raises:
            CallFailed: when it ends without an answer.
            StreamCut: when the response broke after its head was sent.
        """
        record = choose_upstream(
            list_candidates(
                routed.view,
                service=routed.match.service,
                tried=attempts.tried,
            ),
            book=self._parts.book,
            data_centre=self._parts.data_centre,
        )
        if record is None:
            raise CallFailed(
                Code.no_upstream,
                detail=f'service {routed.match.service}',
            )
        attempts.tried.append(record.instance)
        fields = self._describe(routed, record, len(attempts.tried))
        notes = self._parts.book.find(record.instance)
        with notes:
            self._send(routed, record, fields)

    def _describe(
        self,
        routed: Routed,
        record: InstanceRecord,
        attempt: int,
    ) -> CallFields:
        work_class = routed.match.work_class
        rest = routed.call.deadline - read_clock()
        return CallFields(
            request_id=routed.request_id,
            attempt=attempt,
            work_class=f'{routed.match.service}/{work_class.name}',
            idempotent=work_class.idempotent,
            within_ms=work_class.within_ms,
            remaining_ms=max(0, int(rest * MILLISECONDS)),
            instance=record.instance,
            incarnation=self._parts.book.find(record.instance).incarnation,
        )

    def _send(
        self,
        routed: Routed,
        record: InstanceRecord,
        fields: CallFields,
    ) -> None:
        owner = self._parts.owner
        if record.instance == owner.identity.instance:
            # The upstream is the backend server beside this node: one hop.
            owner.run(routed.call, fields=fields, deliver=_DeliverTo(routed))
            return
        address = Address(record.host, record.owner_port)
        response = exchange(
            routed.call,
            pool=self._pool,
            address=address,
            extra=((CALL_FIELD, write_call(fields)),),
        )
        with response:
            answer = _check_answer(response, fields)
            self._parts.book.find(record.instance).note_answer(answer)
            if answer.code is Code.ok:
                _DeliverTo(routed)(response, answer)
        if answer.code is not Code.ok:
            raise CallFailed(answer.code, outcome=answer.outcome)


class _DeliverTo:
    """Passes an upstream's response on to the caller."""

    def __init__(self, routed: Routed) -> None:
        self._routed = routed

    def __call__(self, response: Response, answer: AnswerFields) -> None:
        routed = self._routed
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
