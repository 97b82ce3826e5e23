"""Messages to the gate before a backend server, and its verdicts."""

from __future__ import annotations

from math import inf
from typing import Final, NewType

from msgspec import Struct

from wagtaildale.admission.limits import Ending
from wagtaildale.admission.server_messages import ServerMessage
from wagtaildale.errors.codes import Code

TicketId = NewType('TicketId', int)

NO_TICKET: Final = TicketId(0)
DEFAULT_RANK: Final = 1


class RequestArrived(Struct, frozen=True, kw_only=True, gc=False):
    """A request has arrived and asks to run.

    Attributes:
        ticket: identifies the request at this gate.
        within_ms: time left until the target of its class, milliseconds.
        deadline: time after which no response is awaited, seconds on the
            clock.
        rank: priority of the request's class; 0 is served first.
        patient: whether it may wait past its target. If not, it is refused
            instead, so that the entry can try another upstream.
        work_class: the request's service and class.
        pass_rank: rank by which the entry sampled it; see
            ``admission.shares``.
        stands_for: number of callers' requests that it was sampled from,
            itself included.
        asks_free_slot: whether it is refused unless it can start at once.
        latest_start: time after which it may not start, since its answer would
            not reach the caller, seconds on the clock.
    """

    within_ms: int
    deadline: float
    ticket: TicketId = NO_TICKET
    rank: int = DEFAULT_RANK
    patient: bool = True
    work_class: str = ''
    pass_rank: int = DEFAULT_RANK
    stands_for: float = 1
    asks_free_slot: bool = False
    latest_start: float = inf


class RequestFinished(Struct, frozen=True, kw_only=True, gc=False):
    """A request has ended at the backend server.

    Attributes:
        ticket: identifies the request at this gate.
        seconds: time that the request spent at the backend server.
        ending: how the request ended there.
        work_class: the request's service and class.
    """

    ticket: TicketId
    seconds: float
    ending: Ending = Ending.good
    work_class: str = ''


class LeaseGranted(Struct, frozen=True, kw_only=True, gc=False):
    """A slot is held for an admitted request until its run message.

    Attributes:
        ticket: identifies the request at this gate.
        ends_at: when the slot is freed without a run message, seconds.
    """

    ticket: TicketId
    ends_at: float


class LeaseRedeemed(Struct, frozen=True, kw_only=True, gc=False):
    """The run message for a lease has arrived."""

    ticket: TicketId


class TimePassed(Struct, frozen=True, kw_only=True, gc=False):
    """Leases may have expired, or queued requests may be due."""


class RequestCancelled(Struct, frozen=True, kw_only=True, gc=False):
    """A queued request is cancelled."""

    ticket: TicketId


class DrainStarted(Struct, frozen=True, kw_only=True, gc=False):
    """The instance is leaving: no more requests are admitted."""


class Admitted(Struct, frozen=True, kw_only=True, gc=False):
    """A request may run now."""

    ticket: TicketId


class Refused(Struct, frozen=True, kw_only=True, gc=False):
    """A request is refused and has not run.

    Attributes:
        ticket: identifies the request at this gate.
        code: reason of the refusal.
        retry_after: time after which a retry may succeed, seconds.
    """

    ticket: TicketId
    code: Code
    retry_after: float = 0


Verdict = Admitted | Refused
GateMessage = (
    RequestArrived
    | RequestFinished
    | LeaseGranted
    | LeaseRedeemed
    | TimePassed
    | RequestCancelled
    | DrainStarted
    | ServerMessage
)
