"""What the gate before a backend server is told, and what it answers."""

from __future__ import annotations

from typing import Final, NewType

from msgspec import Struct

from wagtaildale.admission.limits import Ending
from wagtaildale.admission.server_messages import ServerMessage
from wagtaildale.errors.codes import Code

TicketId = NewType('TicketId', int)

NO_TICKET: Final = TicketId(0)
MIDDLE_RANK: Final = 1


class RequestArrived(Struct, frozen=True, kw_only=True, gc=False):
    """A request asks to run.

    Attributes:
        ticket: names the request at this gate.
        within_ms: milliseconds left of its class's target.
        deadline: seconds on the clock.
        rank: of its class; 0 goes first.
        patient: whether it may wait past its target; if not, it is refused
            when it would, and can be asked for elsewhere.
        work_class: service and class.
        pass_rank: by which it was drawn; see ``admission.shares``.
        stands_for: how many such requests it was drawn among.
    """

    within_ms: int
    deadline: float
    ticket: TicketId = NO_TICKET
    rank: int = MIDDLE_RANK
    patient: bool = True
    work_class: str = ''
    pass_rank: int = MIDDLE_RANK
    stands_for: float = 1


class RequestFinished(Struct, frozen=True, kw_only=True, gc=False):
    """A request that ran is done.

    Attributes:
        ticket: which one.
        seconds: it spent at the backend server.
        ending: how it ended there.
        work_class: service and class.
    """

    ticket: TicketId
    seconds: float
    ending: Ending = Ending.good
    work_class: str = ''


class LeaseGranted(Struct, frozen=True, kw_only=True, gc=False):
    """A request that was admitted has yet to send its run message.

    Attributes:
        ticket: which one.
        ends_at: when the slot goes back unless the run has come, seconds.
    """

    ticket: TicketId
    ends_at: float


class LeaseRedeemed(Struct, frozen=True, kw_only=True, gc=False):
    """The run message for a lease has come."""

    ticket: TicketId


class TimePassed(Struct, frozen=True, kw_only=True, gc=False):
    """Leases may have ended."""


class RequestCancelled(Struct, frozen=True, kw_only=True, gc=False):
    """A request that waits is no longer wanted."""

    ticket: TicketId


class DrainStarted(Struct, frozen=True, kw_only=True, gc=False):
    """The instance leaves: nothing new is admitted."""


class Admitted(Struct, frozen=True, kw_only=True, gc=False):
    """A request may run now."""

    ticket: TicketId


class Refused(Struct, frozen=True, kw_only=True, gc=False):
    """A request does not run, and never did.

    Attributes:
        ticket: which one.
        code: why.
        retry_after: seconds after which asking again is worth it.
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
