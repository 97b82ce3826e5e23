"""Fields that entry and owner send each other with a call."""

from __future__ import annotations

from typing import Final

from msgspec import Struct

from wagtaildale.admission.incoming_line import LineState
from wagtaildale.admission.messages import DEFAULT_RANK, TicketId
from wagtaildale.admission.shares import MIN_PARTS, PARTS_PER_WHOLE, PassShare
from wagtaildale.errors.codes import Code
from wagtaildale.routing.leaving_servers import LeavingServer
from wagtaildale.types import (
    NO_VERSION,
    UNKNOWN_INCARNATION,
    Incarnation,
    InstanceId,
    Outcome,
    RequestId,
    Version,
)

MILLI_PER_UNIT: Final = 1000
# Negative values of a rate: the backend server names no limit, or it is not
# known whether it names one.
UNLIMITED_RATE: Final = -1
UNKNOWN_RATE: Final = -2
# Value of a limit on the start that is not there.
NO_START_LIMIT: Final = -1
INTERNAL_HEADER_PREFIX: Final = b'wagtaildale-'
NO_LEASE: Final = TicketId(0)


class CallFields(
    Struct,
    frozen=True,
    kw_only=True,
    array_like=True,
    gc=False,
):
    """Fields that an entry sends to an owner with a call.

    Attributes:
        request_id: identifies the request in logs; the caller's own if it sends
            one.
        attempt: number of the attempt for this request, from 1.
        work_class: service and class of the request.
        idempotent: whether the class is idempotent.
        within_ms: milliseconds left of the class's target time.
        remaining_ms: milliseconds left until the deadline.
        instance: instance that the call is meant for.
        incarnation: incarnation that granted the lease; 0 without a lease.
        lease: lease of the slot that is held for the call; 0 if none.
        depth: number of calls that led to this one.
        retries: attempts beyond the first that calls further down may make.
        rank: priority of the class; 0 is served first.
        patient: whether the call may wait for a slot beyond its target time.
        sent_ms: milliseconds from when the entry began to open the connection
            until it sent the message; 0 if unknown.
        ends: number of successive backend servers that ended during the
            request, as far as the entry knows.
        rate_milli: rate limit of the backend server in thousandths of a request
            per second, as far as the entry knows; negative if it knows none.
        pass_rank: rank by which requests are sampled for a limited backend
            server.
        passed_parts: ten-thousandths of the requests of this rank that the
            entry sends to this owner. To respect a rate limit, an entry sends
            only part of them; the owner estimates the whole demand from this.
        bulk: whether responses of the class are large; they cross the owner's
            line in pieces, behind everything else.
        asks_free_slot: whether the owner refuses the call unless it can start
            at once; such a refusal does not count as demand. Owners of earlier
            builds ignore it and may queue the call.
        list_version: version of the instance list by which the entry chose the
            server; 0 if unknown.
        start_within_ms: milliseconds within which the run must start for its
            answer to reach the caller, as the entry's process ends;
            ``NO_START_LIMIT`` if it does not. Owners of earlier builds ignore
            it.
    """

    request_id: RequestId
    attempt: int
    work_class: str
    idempotent: bool
    within_ms: int
    remaining_ms: int
    instance: InstanceId
    incarnation: Incarnation = UNKNOWN_INCARNATION
    lease: TicketId = NO_LEASE
    depth: int = 0
    retries: int = 0
    rank: int = DEFAULT_RANK
    patient: bool = True
    sent_ms: int = 0
    ends: int = 0
    rate_milli: int = UNLIMITED_RATE
    pass_rank: int = DEFAULT_RANK
    passed_parts: int = PARTS_PER_WHOLE
    bulk: bool = False
    asks_free_slot: bool = False
    list_version: Version = NO_VERSION
    start_within_ms: int = NO_START_LIMIT

    @property
    def represented_requests(self) -> float:
        """Number of requests that this one stands for after sampling.

        The value is derived from ``passed_parts``, which the entry sends; it is
        clamped to the valid range.
        """
        parts = min(PARTS_PER_WHOLE, max(MIN_PARTS, self.passed_parts))
        return PARTS_PER_WHOLE / parts


class AnswerFields(
    Struct,
    frozen=True,
    kw_only=True,
    array_like=True,
    gc=False,
):
    """Fields that an owner sends to an entry with each answer.

    Attributes:
        request_id: identifier of the answered request.
        attempt: number of the answered attempt.
        code: numbered result code.
        outcome: whether the request ran.
        instance: instance that the call was meant for.
        incarnation: incarnation of the owner's process.
        in_flight: number of running requests at the backend server.
        limit: number of requests that may run at once.
        queued: number of requests that wait at the owner.
        owner_us: microseconds spent at the owner, with the time in its queue.
        backend_us: microseconds spent at the backend server.
        lease: lease of the granted slot, in the answer to a reservation.
        retry_ms: milliseconds after which a retry makes sense, in a refusal.
        slot_us: average microseconds for which a request of any class holds a
            slot of the backend server, at its usual pace; 0 before the first.
        class_us: current run time in microseconds of requests of this class at
            the backend server; 0 before the first.
        class_usual_us: the same over a longer time and at the usual pace of
            the server; 0 before enough runs.
        was_rejected_by_server: whether the backend server itself, not the
            owner, refused the request.
        ends: number of successive backend servers that ended during the
            request, as far as the owner knows; sent if the request was not
            answered.
        rate_milli: rate limit of the backend server in thousandths of a request
            per second; ``UNLIMITED_RATE`` if it names none, ``UNKNOWN_RATE`` if
            the owner does not know yet.
        share: fraction of the requests of each rank that entries may send; None
            if they may send all.
        leaving: the backend server, if it has announced that it leaves.
        line: state of the owner's line, if its bandwidth is known.
        outgoing_line: large responses that wait to leave the owner's node; None
            if there is no such class or if the bandwidth is not known.
        pace_percent: how long work takes on the backend server's machine at
            this moment, in percent of the usual time, as the server reports it;
            0 if it does not.
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
    was_rejected_by_server: bool = False
    ends: int = 0
    rate_milli: int = UNKNOWN_RATE
    share: PassShare | None = None
    leaving: LeavingServer | None = None
    line: LineState | None = None
    outgoing_line: LineState | None = None
    pace_percent: int = 0


def encode_rate(per_second: float | None) -> int:
    """Encode a rate limit for a message between nodes.

    Args:
        per_second: requests per second; None if there is no limit.

    Returns:
        Thousandths of a request per second, or ``UNLIMITED_RATE``.
    """
    return (
        UNLIMITED_RATE
        if per_second is None
        else round(per_second * MILLI_PER_UNIT)
    )


def decode_rate(rate_milli: int) -> float | None:
    """Decode a rate limit from a message between nodes.

    Args:
        rate_milli: thousandths of a request per second, or a negative value.

    Returns:
        Requests per second; None if no limit is known.
    """
    return None if rate_milli < 0 else rate_milli / MILLI_PER_UNIT
