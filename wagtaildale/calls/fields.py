"""What an entry tells an owner of a call, and what the owner answers."""

from __future__ import annotations

from typing import Final

from msgspec import Struct

from wagtaildale.admission.messages import MIDDLE_RANK, TicketId
from wagtaildale.admission.shares import MIN_PARTS, PARTS_PER_WHOLE, PassShare
from wagtaildale.errors.codes import Code
from wagtaildale.routing.leavers import Leaver
from wagtaildale.types import (
    ANY_INCARNATION,
    Incarnation,
    InstanceId,
    Outcome,
    RequestId,
)

MILLI: Final = 1000
# Thousandths of a request a second: no limit is named, or it is not known.
NO_RATE: Final = -1
UNHEARD_RATE: Final = -2
PRIVATE_PREFIX: Final = b'wagtaildale-'
NO_LEASE: Final = TicketId(0)


class CallFields(
    Struct,
    frozen=True,
    kw_only=True,
    array_like=True,
    gc=False,
):
    """What an entry tells an owner of a call.

    Attributes:
        request_id: by which logs find the request; the caller's own where
            it sends one.
        attempt: counts the attempts of one request, from 1.
        work_class: service and class.
        idempotent: whether the class is.
        within_ms: milliseconds left of the class's target.
        remaining_ms: until the deadline.
        instance: for whom it is meant.
        incarnation: of that instance; 0 if the entry does not know it yet.
        lease: which slot is held for it; 0 if none.
        depth: how many calls led to this one.
        retries: attempts beyond the first that are left to calls below.
        rank: of the class; 0 goes first.
        patient: whether it may wait for a slot past its target.
        sent_ms: milliseconds from when the entry began to open the
            connection to when it handed the message to it; 0 if not told.
        ends: servers that ended under the request, one after the other, as
            far as the entry knows.
        rate_milli: thousandths of a request a second that its backend server
            takes, as far as the entry knows; negative if it knows no limit.
        pass_rank: by which a request is drawn for a limited server.
        passed_parts: of ten thousand such requests, how many the entry lets
            through to this owner.
    """

    request_id: RequestId
    attempt: int
    work_class: str
    idempotent: bool
    within_ms: int
    remaining_ms: int
    instance: InstanceId
    incarnation: Incarnation = ANY_INCARNATION
    lease: TicketId = NO_LEASE
    depth: int = 0
    retries: int = 0
    rank: int = MIDDLE_RANK
    patient: bool = True
    sent_ms: int = 0
    ends: int = 0
    rate_milli: int = NO_RATE
    pass_rank: int = MIDDLE_RANK
    passed_parts: int = PARTS_PER_WHOLE

    @property
    def stands_for(self) -> float:
        """How many such requests it was drawn among, by the entry's word."""
        parts = min(PARTS_PER_WHOLE, max(MIN_PARTS, self.passed_parts))
        return PARTS_PER_WHOLE / parts


class AnswerFields(
    Struct,
    frozen=True,
    kw_only=True,
    array_like=True,
    gc=False,
):
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
        slot_us: microseconds that a request of any class holds a slot of
            the backend server; 0 before the first.
        class_us: microseconds that requests of the answered class take at
            the backend server now; 0 before the first.
        class_usual_us: the same over a longer time.
        has_arrived: whether the backend server itself turned the request
            away.
        ends: servers that ended under the request, one after the other, as
            far as the owner knows; told where the request was not answered.
        rate_milli: thousandths of a request a second that its backend server
            takes; ``NO_RATE`` if it names no limit, ``UNHEARD_RATE`` if the
            owner has not heard it yet.
        share: of the requests of each rank, those that entries may send;
            nothing if all may be.
        leaving: its backend server, if that has said that it leaves.
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
    slot_us: int = 0
    class_us: int = 0
    class_usual_us: int = 0
    has_arrived: bool = False
    ends: int = 0
    rate_milli: int = UNHEARD_RATE
    share: PassShare | None = None
    leaving: Leaver | None = None


def encode_rate(per_second: float | None) -> int:
    """Write a backend server's limit as it goes between nodes.

    Args:
        per_second: requests that it takes; nothing if it names no limit.

    Returns:
        Thousandths of a request a second, or ``NO_RATE``.
    """
    return NO_RATE if per_second is None else round(per_second * MILLI)


def decode_rate(rate_milli: int) -> float | None:
    """Read a backend server's limit as it comes from another node.

    Args:
        rate_milli: thousandths of a request a second, or a negative mark.

    Returns:
        Requests a second; nothing if no limit is told.
    """
    return None if rate_milli < 0 else rate_milli / MILLI
