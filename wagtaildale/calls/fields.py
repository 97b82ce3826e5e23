"""The two header fields that a call carries between nodes.

One field each way, its parts separated by blanks: a header costs about a
microsecond to parse at each hop, and there would be nine.
"""

from __future__ import annotations

from typing import Final

from msgspec import Struct

from wagtaildale.admission.messages import TicketId
from wagtaildale.errors.codes import Code
from wagtaildale.types import (
    Incarnation,
    InstanceId,
    Outcome,
    RequestId,
)

CALL_FIELD: Final = b'wagtaildale-call'
ANSWER_FIELD: Final = b'wagtaildale-answer'
PRIVATE_PREFIX: Final = b'wagtaildale-'
NO_LEASE: Final = TicketId(0)
ASK_LEASE: Final = TicketId(-1)
ANY_INCARNATION: Final = Incarnation(0)


class CallFields(Struct, frozen=True, kw_only=True, gc=False):
    """What an entry tells an owner of a call.

    Attributes:
        request_id: 128 random bits, hexadecimal.
        attempt: counts the attempts of one request, from 1.
        work_class: service and class.
        idempotent: whether the class is.
        within_ms: the class's target.
        remaining_ms: until the deadline.
        instance: for whom it is meant.
        incarnation: of that instance; 0 if the entry does not know it yet.
        lease: which slot is held for it; 0 if none, ``ASK_LEASE`` in a
            reservation.
        depth: how many calls led to this one.
        retries: attempts beyond the first that are left to calls below.
    """

    request_id: RequestId
    attempt: int
    work_class: str
    idempotent: bool
    within_ms: int
    remaining_ms: int
    instance: InstanceId
    incarnation: Incarnation
    lease: TicketId = NO_LEASE
    depth: int = 0
    retries: int = 0


class AnswerFields(Struct, frozen=True, kw_only=True, gc=False):
    """What an owner tells an entry with each answer.

    Attributes:
        request_id: of the request that is answered.
        attempt: of the attempt that is answered.
        code: numbered result code.
        outcome: whether the request ran.
        instance: who answers.
        incarnation: of the owner's process.
        in_flight: requests that run at its backend server.
        limit: how many may.
        queued: requests that wait there.
        owner_us: microseconds spent at the owner, waiting included.
        backend_us: microseconds spent at the backend server.
        lease: the slot that is held, in the answer to a reservation.
        retry_ms: after which asking again is worth it, in a refusal.
    """

    request_id: RequestId
    attempt: int
    code: Code
    outcome: Outcome
    instance: InstanceId
    incarnation: Incarnation
    in_flight: int
    limit: int
    queued: int
    owner_us: int = 0
    backend_us: int = 0
    lease: TicketId = NO_LEASE
    retry_ms: int = 0


def write_call(fields: CallFields) -> bytes:
    """Write the field of a call.

    Args:
        fields: what to tell.

    Returns:
        The field's text.
    """
    return (
        f'{fields.request_id} {fields.attempt} {fields.work_class}'
        f' {int(fields.idempotent)} {fields.within_ms}'
        f' {fields.remaining_ms} {fields.instance} {fields.incarnation}'
        f' {fields.lease} {fields.depth} {fields.retries}'
    ).encode()


def read_call(text: bytes) -> CallFields | None:
    """Read the field of a call.

    Args:
        text: as it came.

    Returns:
        The parts, or nothing if it is none of ours.
    """
    parts = text.decode('latin-1').split(' ')
    try:
        return CallFields(
            request_id=RequestId(parts[0]),
            attempt=int(parts[1]),
            work_class=parts[2],
            idempotent=parts[3] == '1',
            within_ms=int(parts[4]),
            remaining_ms=int(parts[5]),
            instance=InstanceId(parts[6]),
            incarnation=Incarnation(int(parts[7])),
            lease=TicketId(int(parts[8])),
            depth=int(parts[9]),
            retries=int(parts[10]),
        )
    except (IndexError, ValueError):
        return None


def write_answer(fields: AnswerFields) -> bytes:
    """Write the field of an answer.

    Args:
        fields: what to tell.

    Returns:
        The field's text.
    """
    who = f'{fields.request_id} {fields.attempt} {fields.code.value}'
    where = f'{fields.outcome.value} {fields.instance} {fields.incarnation}'
    load = f'{fields.in_flight} {fields.limit} {fields.queued}'
    spent = f'{fields.owner_us} {fields.backend_us}'
    rest = f'{fields.lease} {fields.retry_ms}'
    return f'{who} {where} {load} {spent} {rest}'.encode()


def read_answer(text: bytes) -> AnswerFields | None:
    """Read the field of an answer.

    Args:
        text: as it came.

    Returns:
        The parts, or nothing if it is none of ours.
    """
    parts = text.decode('latin-1').split(' ')
    try:
        return AnswerFields(
            request_id=RequestId(parts[0]),
            attempt=int(parts[1]),
            code=Code(int(parts[2])),
            outcome=Outcome(parts[3]),
            instance=InstanceId(parts[4]),
            incarnation=Incarnation(int(parts[5])),
            in_flight=int(parts[6]),
            limit=int(parts[7]),
            queued=int(parts[8]),
            owner_us=int(parts[9]),
            backend_us=int(parts[10]),
            lease=TicketId(int(parts[11])),
            retry_ms=int(parts[12]),
        )
    except (IndexError, ValueError):
        return None
