"""Admits calls on their way to the backend server.

The gate assigns a ticket to each request, passes events to ``decisions``, and
calls back with the verdict, at once or when a slot is free. It is used only
by the thread of the task that carries the calls.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from msgspec import structs

from wagtaildale.admission.decisions import decide_admission
from wagtaildale.admission.messages import (
    NO_TICKET,
    DrainStarted,
    LeaseGranted,
    LeaseRedeemed,
    RequestArrived,
    RequestCancelled,
    RequestFinished,
    TicketId,
    TimePassed,
)
from wagtaildale.timers.service import read_clock

if TYPE_CHECKING:
    from collections.abc import Callable

    from wagtaildale.admission.limits import Ending
    from wagtaildale.admission.messages import GateMessage, Verdict
    from wagtaildale.admission.server_messages import ServerMessage
    from wagtaildale.admission.state import AdmissionState
    from wagtaildale.timers.alarms import Alarm, Alarms

# Margin after the time of a token, so that the alarm finds the token there.
ALARM_MARGIN_SECONDS: Final = 0.0005


class Gate:
    """Admits, queues and refuses requests for one backend server.

    Attributes:
        state: slots and queue of the backend server.
        alarms: alarms of the task that the gate belongs to.
    """

    def __init__(self, state: AdmissionState, *, alarms: Alarms) -> None:
        """Create a gate that admits requests.

        Args:
            state: slots and queue of the backend server.
            alarms: alarms of the task that the gate belongs to.
        """
        self.state = state
        self.alarms = alarms
        self._callbacks: dict[TicketId, Callable[[Verdict], None]] = {}
        self._last_ticket = 0
        self._alarm: Alarm | None = None

    def request_slot(
        self,
        arrived: RequestArrived,
        on_verdict: Callable[[Verdict], None],
    ) -> TicketId:
        """Request a slot.

        Args:
            arrived: the request; its ticket is assigned here.
            on_verdict: called with ``Admitted`` or ``Refused``, possibly
                before this method returns. After ``Admitted`` the slot has
                to be returned with ``release_slot``.

        Returns:
            The ticket that identifies the request at this gate.
        """
        self._last_ticket += 1
        ticket = TicketId(self._last_ticket)
        self._callbacks[ticket] = on_verdict
        self._dispatch(structs.replace(arrived, ticket=ticket))
        if ticket in self._callbacks:
            self._schedule_alarm()
        return ticket

    def cancel(self, ticket: TicketId) -> None:
        """Remove a request from the queue.

        Args:
            ticket: ticket of a queued request.
        """
        if self._callbacks.pop(ticket, None) is not None:
            self._dispatch(RequestCancelled(ticket=ticket))

    def lease(self, ticket: TicketId, *, seconds: float) -> None:
        """Hold the slot of an admitted request until its run message.

        If the entry dies after its reservation, the slot would stay held
        while other requests wait. An alarm frees it.

        Args:
            ticket: ticket of the request.
            seconds: time after which the slot is freed.
        """
        ends_at = read_clock() + seconds
        self._dispatch(LeaseGranted(ticket=ticket, ends_at=ends_at))
        self.alarms.set_at(ends_at, self._advance_time)

    def redeem(self, ticket: TicketId) -> Verdict:
        """Start the run for which a slot is held.

        Args:
            ticket: ticket of the lease.

        Returns:
            ``Admitted``, after which the slot has to be returned with
            ``release_slot``, or ``Refused`` if the lease has expired.
        """
        verdict = self._dispatch(LeaseRedeemed(ticket=ticket), awaited=ticket)
        assert verdict is not None
        return verdict

    def release_slot(
        self,
        ticket: TicketId,
        *,
        seconds: float,
        ending: Ending,
        work_class: str = '',
    ) -> None:
        """Free the slot of a request.

        Args:
            ticket: ticket of an admitted request.
            seconds: time spent at the backend server.
            ending: how the request ended at the backend server.
            work_class: the request's service and class.
        """
        self._dispatch(
            RequestFinished(
                ticket=ticket,
                seconds=seconds,
                ending=ending,
                work_class=work_class,
            ),
        )

    def handle_server_message(self, message: ServerMessage) -> None:
        """Apply new information about the backend server.

        Args:
            message: report of its slots, its rate limit or its state.
        """
        self._dispatch(message)

    def drain(self) -> None:
        """Refuse all queued and new requests."""
        self._dispatch(DrainStarted())

    def _schedule_alarm(self) -> None:
        # One alarm serves the whole queue. It fires when the first request in
        # the queue is overdue or may start without a slot being freed.
        next_start_at = self.state.find_next_start_at(read_clock())
        start_by = min(waiting.start_by for waiting in self.state.queue)
        next_at = min(start_by, next_start_at + ALARM_MARGIN_SECONDS)
        alarm = self._alarm
        if alarm is not None and alarm.is_set and alarm.at <= next_at:
            return
        if alarm is not None:
            alarm.cancel()
        self._alarm = self.alarms.set_at(next_at, self._advance_time)

    def _advance_time(self) -> None:
        self._dispatch(TimePassed())
        if self.state.queue:
            self._schedule_alarm()

    def _dispatch(
        self,
        message: GateMessage,
        awaited: TicketId = NO_TICKET,
    ) -> Verdict | None:
        awaited_verdict: Verdict | None = None
        now = read_clock()
        verdicts = decide_admission(message, self.state, now=now)
        for verdict in verdicts:
            on_verdict = self._callbacks.pop(verdict.ticket, None)
            if on_verdict is not None:
                on_verdict(verdict)
            elif verdict.ticket == awaited:
                awaited_verdict = verdict
        is_delayed = (
            self.state.rate.find_rate(now) is not None
            or now < self.state.occupied_until
        )
        if self.state.queue and is_delayed:
            self._schedule_alarm()
        return awaited_verdict
