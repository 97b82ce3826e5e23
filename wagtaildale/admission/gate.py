"""The gate that calls pass on the way to the backend server.

The decisions are those of ``decisions``; here each request is given a
ticket, and whoever asked is told its verdict, at once or when a slot is
free. The gate belongs to the task that carries the calls.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from wagtaildale.admission.decisions import decide_admission
from wagtaildale.admission.messages import (
    MIDDLE_RANK,
    Arrived,
    DrainBegun,
    Finished,
    GaveUp,
    LeaseGiven,
    RunCame,
    TicketId,
    TimePassed,
)
from wagtaildale.timers.service import read_clock

if TYPE_CHECKING:
    from collections.abc import Callable

    from wagtaildale.admission.limits import Ending
    from wagtaildale.admission.messages import GateMessage, Verdict
    from wagtaildale.admission.state import AdmissionState
    from wagtaildale.timers.alarms import Alarms

NO_TICKET: Final = TicketId(0)


class Gate:
    """Admits, queues and refuses requests for one backend server.

    Attributes:
        state: slots and queue.
    """

    def __init__(self, state: AdmissionState, *, alarms: Alarms) -> None:
        """Open the gate.

        Args:
            state: slots and queue.
            alarms: of the task that the gate belongs to.
        """
        self.state = state
        self._alarms = alarms
        self._waiting: dict[TicketId, Callable[[Verdict], None]] = {}
        self._last = 0

    def enter(
        self,
        on_verdict: Callable[[Verdict], None],
        *,
        within_ms: int,
        deadline: float,
        rank: int = MIDDLE_RANK,
        patient: bool = True,
    ) -> TicketId:
        """Ask for a slot.

        Args:
            on_verdict: is told ``Admitted``, after which ``leave`` is due,
                or ``Refused``; perhaps before this returns.
            within_ms: milliseconds left of the class's target.
            deadline: seconds on the clock.
            rank: of the class; 0 goes first.
            patient: whether it may wait past its target.

        Returns:
            Names the request here.
        """
        self._last += 1
        ticket = TicketId(self._last)
        self._waiting[ticket] = on_verdict
        arrived = Arrived(
            ticket=ticket,
            within_ms=within_ms,
            deadline=deadline,
            rank=rank,
            patient=patient,
        )
        self._tell(arrived)
        return ticket

    def give_up(self, ticket: TicketId) -> None:
        """Wait no longer.

        Args:
            ticket: of a request that waits.
        """
        if self._waiting.pop(ticket, None) is not None:
            self._tell(GaveUp(ticket=ticket))

    def lease(self, ticket: TicketId, *, seconds: float) -> None:
        """Hold an admitted request's slot for a run message.

        Failure guarded here: an entry dies after it has reserved, and the
        slot stays held while others wait; an alarm gives it back.

        Args:
            ticket: of the request.
            seconds: until the slot goes back.
        """
        ends_at = read_clock() + seconds
        self._tell(LeaseGiven(ticket=ticket, ends_at=ends_at))
        self._alarms.set_at(ends_at, self.end_leases)

    def end_leases(self) -> None:
        """Give back the slots whose run message did not come in time."""
        if self.state.leases:
            self._tell(TimePassed())

    def redeem(self, ticket: TicketId) -> Verdict:
        """Begin the run for which a slot is held.

        Args:
            ticket: of the lease.

        Returns:
            ``Admitted``, after which ``leave`` is due, or ``Refused``.
        """
        verdict = self._tell(RunCame(ticket=ticket), own=ticket)
        assert verdict is not None
        return verdict

    def leave(
        self,
        ticket: TicketId,
        *,
        seconds: float,
        ending: Ending,
    ) -> None:
        """Give the slot back.

        Args:
            ticket: of an admitted request.
            seconds: it spent at the backend server.
            ending: how it ended there.
        """
        self._tell(Finished(ticket=ticket, seconds=seconds, ending=ending))

    def drain(self) -> None:
        """Admit nothing more; what waits is refused."""
        self._tell(DrainBegun())

    def _tell(
        self,
        message: GateMessage,
        own: TicketId = NO_TICKET,
    ) -> Verdict | None:
        mine: Verdict | None = None
        verdicts = decide_admission(message, self.state, now=read_clock())
        for verdict in verdicts:
            on_verdict = self._waiting.pop(verdict.ticket, None)
            if on_verdict is not None:
                on_verdict(verdict)
            elif verdict.ticket == own:
                mine = verdict
        return mine
