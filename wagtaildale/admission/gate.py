"""The gate that call workers pass on the way to the backend server.

The decisions are those of ``decisions``; here a lock makes them one at a
time, and a worker whose request waits sleeps until its verdict. The house
style would have a task with an inbox here; docs/design/path-of-calls.md has
the figures of both.
"""

from __future__ import annotations

import threading
from typing import TYPE_CHECKING

from wagtaildale.admission.decisions import decide_admission
from wagtaildale.admission.messages import (
    Admitted,
    Arrived,
    DrainBegun,
    Finished,
    GaveUp,
    Refused,
    TicketId,
)
from wagtaildale.errors.codes import Code
from wagtaildale.timers.service import read_clock

if TYPE_CHECKING:
    from wagtaildale.admission.messages import Verdict
    from wagtaildale.admission.state import AdmissionState


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

    def enter(self, *, within_ms: int, deadline: float) -> Verdict:
        """Ask for a slot and wait for it if need be.

        Args:
            within_ms: target of the request's class.
            deadline: seconds on the clock.

        Returns:
            ``Admitted``, after which ``leave`` is due, or ``Refused``.
        """
        place = _Place()
        with self._lock:
            self._last += 1
            ticket = TicketId(self._last)
            self._places[ticket] = place
            arrived = Arrived(
                ticket=ticket,
                within_ms=within_ms,
                deadline=deadline,
            )
            self._spread(arrived)
        if place.verdict is None:
            place.event.wait(max(0, deadline - read_clock()))
        return self._close(ticket, place)

    def leave(
        self,
        admitted: Admitted,
        *,
        seconds: float,
        failed: bool,
    ) -> None:
        """Give the slot back.

        Args:
            admitted: as ``enter`` gave it.
            seconds: the request spent at the backend server.
            failed: whether the backend server failed or refused it.
        """
        finished = Finished(
            ticket=admitted.ticket,
            seconds=seconds,
            failed=failed,
        )
        with self._lock:
            self._spread(finished)

    def drain(self) -> None:
        """Admit nothing more; what waits is refused."""
        with self._lock:
            self._spread(DrainBegun())

    def _close(self, ticket: TicketId, place: _Place) -> Verdict:
        with self._lock:
            self._places.pop(ticket)
            if place.verdict is None:
                self._spread(GaveUp(ticket=ticket))
        if place.verdict is None:
            return Refused(ticket=ticket, code=Code.past_deadline)
        return place.verdict

    def _spread(
        self,
        message: Arrived | Finished | GaveUp | DrainBegun,
    ) -> None:
        verdicts = decide_admission(message, self.state, now=read_clock())
        for verdict in verdicts:
            place = self._places.get(verdict.ticket)
            if place is not None:
                place.verdict = verdict
                place.event.set()
