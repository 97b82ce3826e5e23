"""Answers the calls that come from other nodes' entries."""

from __future__ import annotations

from math import ceil
from typing import TYPE_CHECKING, Final

from msgspec import structs

from wagtaildale.calls.answers import send_problem
from wagtaildale.calls.bodies import RequestBody
from wagtaildale.calls.exchange import Call
from wagtaildale.calls.failures import CallFailed
from wagtaildale.calls.fields import (
    ANSWER_FIELD,
    ASK_LEASE,
    CALL_FIELD,
    AnswerFields,
    CallFields,
    read_call,
    write_answer,
)
from wagtaildale.calls.heads import pass_on, write_response_head
from wagtaildale.errors.codes import Code
from wagtaildale.timers.service import read_clock

if TYPE_CHECKING:
    from wagtaildale.calls.keyed import Deliverable
    from wagtaildale.calls.connections import Connection
    from wagtaildale.calls.owner import Owner
    from wagtaildale.calls.parsing import Message

MILLISECONDS: Final = 1000
OK: Final = 200


class OwnerPort:
    """Takes calls from other nodes to this node's owner."""

    def __init__(self, owner: Owner, *, body_bytes: int) -> None:
        """Prepare.

        Args:
            owner: of the backend server beside this node.
            body_bytes: largest request body.
        """
        self._owner = owner
        self._body_bytes = body_bytes

    def answer(self, caller: Connection, message: Message) -> None:
        """Answer one call.

        Args:
            caller: the connection of another node's entry.
            message: the request.

        Raises:
            CallFailed: when the entry is gone.
            StreamCut: when the response broke after its head was sent.
        """
        text = message.find(CALL_FIELD)
        fields = read_call(text) if text else None
        if fields is None:
            refusal = CallFailed(Code.request_malformed, detail='no call field')
            caller.closing = True
            send_problem(caller, failure=refusal)
            return
        try:
            self._run(caller, message, fields)
        except CallFailed as failure:
            if failure.code is Code.caller_gone:
                raise
            answer = self._owner.describe(
                fields,
                code=failure.code,
                outcome=failure.outcome,
            )
            retry_ms = ceil(failure.retry_after * MILLISECONDS)
            answer = structs.replace(answer, retry_ms=retry_ms)
            extra = ((ANSWER_FIELD, write_answer(answer)),)
            send_problem(caller, failure=failure, extra=extra)

    def _run(
        self,
        caller: Connection,
        message: Message,
        fields: CallFields,
    ) -> None:
        deadline = read_clock() + fields.remaining_ms / MILLISECONDS
        if fields.lease == ASK_LEASE:
            answer = self._owner.reserve(fields, deadline=deadline)
            _send_lease(caller, answer)
            return
        call = Call(
            caller=caller,
            method=message.method,
            target=message.target,
            headers=pass_on(message),
            body=RequestBody(
                caller,
                message=message,
                limit=self._body_bytes,
            ),
            deadline=deadline,
        )
        self._owner.run(call, fields=fields, deliver=_DeliverTo(caller))


class _DeliverTo:
    """Passes the backend server's response on to the entry."""

    def __init__(self, caller: Connection) -> None:
        self._caller = caller

    def __call__(self, response: Deliverable, answer: AnswerFields) -> None:
        response.write_to(
            self._caller,
            extra=((ANSWER_FIELD, write_answer(answer)),),
            deadline=_soon(),
        )


def _send_lease(caller: Connection, answer: AnswerFields) -> None:
    headers = (
        (b'content-length', b'0'),
        (ANSWER_FIELD, write_answer(answer)),
    )
    head = write_response_head(OK, headers=headers)
    caller.send(head, deadline=_soon())


def _soon() -> float:
    return read_clock() + 1
