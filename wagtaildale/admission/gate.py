"""The gate that call workers pass on the way to the backend server.

The decisions are those of ``decisions``; here a lock makes them one at a
time, and a worker whose request waits sleeps until its verdict. The house
style would have a task with an inbox here; docs/design/path-of-calls.md has
the figures of both.
"""

from __future__ import annotations

import threading
from typing import TYPE_CHECKING, Final

from wagtaildale.admission.decisions import decide_admission
from wagtaildale.admission.messages import (
    Admitted,
    Arrived,
    DrainBegun,
    Finished,
    GaveUp,
    LeaseGiven,
    Refused,
    RunCame,
    TicketId,
    TimePassed,
)
from wagtaildale.errors.codes import Code
from wagtaildale.timers.service import read_clock

if TYPE_CHECKING:
    from wagtaildale.admission.limits import Ending
    from wagtaildale.admission.messages import GateMessage, Verdict
    from wagtaildale.admission.state import AdmissionState


NO_TICKET: Final = TicketId(0)


class _Place:
    """Where a worker waits for the verdict on its request."""

    __slots__ = ('event', 'verdict')

    def __init__(self) -> None:
        self.event = threading.Event()
        self.verdict: Verdict | None = None


class Gate:
    """Admits, queues and refuses requests for one backend server."""

    def __init__(self, state: AdmissionState) -> None:
        """Open the gate.

        Args:
            state: slots and queue.
        """
        self.state = state
        self._lock = threading.Lock()
        self._places: dict[TicketId, _Place] = {}
        self._last = 0

    def enter(
        self,
        *,
        within_ms: int,
        deadline: float,
        lease_seconds: float | None = None,
    ) -> Verdict:
        """Ask for a slot and wait for it if need be.

        Args:
            within_ms: target of the request's class.
            deadline: seconds on the clock.
            lease_seconds: how long the slot is held for a run message;
                nothing if the request runs at once.

        Returns:
            ``Admitted``, after which ``leave`` is due, or ``Refused``.
        """
        with self._lock:
            self._last += 1
            ticket = TicketId(self._last)
            arrived = Arrived(
                ticket=ticket,
                within_ms=within_ms,
                deadline=deadline,
            )
            verdict = self._tell(arrived, ticket)
            if verdict is None:
                place = _Place()
                self._places[ticket] = place
        if verdict is None:
            place.event.wait(max(0, deadline - read_clock()))
            verdict = self._close(ticket, place)
        if lease_seconds is not None and isinstance(verdict, Admitted):
            ends_at = read_clock() + lease_seconds
            self._spread(LeaseGiven(ticket=ticket, ends_at=ends_at))
        return verdict

    def redeem(self, ticket: TicketId) -> Verdict:
        """Begin the run for which a slot is held.

        Args:
            ticket: of the lease.

        Returns:
            ``Admitted``, after which ``leave`` is due, or ``Refused``.
        """
        with self._lock:
            verdict = self._tell(RunCame(ticket=ticket), ticket)
        assert verdict is not None
        return verdict

    def leave(
        self,
        admitted: Admitted,
        *,
        seconds: float,
        ending: Ending,
    ) -> None:
        """Give the slot back.

        Args:
            admitted: as ``enter`` gave it.
            seconds: the request spent at the backend server.
            ending: how it ended there.
        """
        finished = Finished(
            ticket=admitted.ticket,
            seconds=seconds,
            ending=ending,
        )
        self._spread(finished)

    def put(self, tick: object) -> None:
        """Give back the slots whose run message did not come in time.

        The gate subscribes to the timer service like a task's inbox;
        without ticks a slot whose entry died would stay held while others
        wait and nothing new arrives.

        Args:
            tick: of the timer service.
        """
        if self.state.leases:
            self._spread(TimePassed())

    def drain(self) -> None:
        """Admit nothing more; what waits is refused."""
        self._spread(DrainBegun())

    def _close(self, ticket: TicketId, place: _Place) -> Verdict:
        with self._lock:
            self._places.pop(ticket)
            if place.verdict is None:
                self._tell(GaveUp(ticket=ticket), ticket)
        if place.verdict is None:
            return Refused(ticket=ticket, code=Code.past_deadline)
        return place.verdict

    def _spread(self, message: GateMessage) -> None:
        with self._lock:
            self._tell(message, NO_TICKET)

    def _tell(
        self,
        message: GateMessage,
        own: TicketId,
    ) -> Verdict | None:
        mine: Verdict | None = None
        verdicts = decide_admission(message, self.state, now=read_clock())
        for verdict in verdicts:
            place = self._places.get(verdict.ticket)
            if place is not None:
                place.verdict = verdict
                place.event.set()
            elif verdict.ticket == own:
                mine = verdict
        return mine
