"""The gate that calls pass on the way to the backend server.

The decisions are those of ``decisions``; here each request is given a
ticket, and whoever asked is told its verdict, at once or when a slot is
free. The gate belongs to the task that carries the calls.
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

# So that an alarm rings when the token that it is set for is there.
ALARM_MARGIN_SECONDS: Final = 0.0005


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
        self._alarm: Alarm | None = None

    def request_slot(
        self,
        arrived: RequestArrived,
        on_verdict: Callable[[Verdict], None],
    ) -> TicketId:
        """Ask for a slot.

        Args:
            arrived: the request; it gets a ticket here.
            on_verdict: is told ``Admitted``, after which ``release_slot`` is due,
                or ``Refused``; perhaps before this returns.

        Returns:
            Names the request here.
        """
        self._last += 1
        ticket = TicketId(self._last)
        self._waiting[ticket] = on_verdict
        self._dispatch(structs.replace(arrived, ticket=ticket))
        if ticket in self._waiting:
            self._schedule_alarm()
        return ticket

    def cancel(self, ticket: TicketId) -> None:
        """Wait no longer.

        Args:
            ticket: of a request that waits.
        """
        if self._waiting.pop(ticket, None) is not None:
            self._dispatch(RequestCancelled(ticket=ticket))

    def lease(self, ticket: TicketId, *, seconds: float) -> None:
        """Hold an admitted request's slot for a run message.

        Failure guarded here: an entry dies after it has reserved, and the
        slot stays held while others wait; an alarm gives it back.

        Args:
            ticket: of the request.
            seconds: until the slot goes back.
        """
        ends_at = read_clock() + seconds
        self._dispatch(LeaseGranted(ticket=ticket, ends_at=ends_at))
        self._alarms.set_at(ends_at, self._advance_time)

    def redeem(self, ticket: TicketId) -> Verdict:
        """Begin the run for which a slot is held.

        Args:
            ticket: of the lease.

        Returns:
            ``Admitted``, after which ``release_slot`` is due, or ``Refused``.
        """
        verdict = self._dispatch(LeaseRedeemed(ticket=ticket), own=ticket)
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
        """Give the slot back.

        Args:
            ticket: of an admitted request.
            seconds: it spent at the backend server.
            ending: how it ended there.
            work_class: service and class.
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
        """Take what is known of the backend server.

        Args:
            message: of its slots, its rate or its start.
        """
        self._dispatch(message)

    def drain(self) -> None:
        """Admit nothing more; what waits is refused."""
        self._dispatch(DrainStarted())

    def _schedule_alarm(self) -> None:
        # One alarm for the whole queue, at the first time that a request in
        # it is held for too long, or may have its token.
        token_at = self.state.find_token_at(read_clock())
        start_by = min(waiting.start_by for waiting in self.state.queue)
        first = min(start_by, token_at + ALARM_MARGIN_SECONDS)
        alarm = self._alarm
        if alarm is not None and alarm.is_set and alarm.at <= first:
            return
        if alarm is not None:
            alarm.cancel()
        self._alarm = self._alarms.set_at(first, self._advance_time)

    def _advance_time(self) -> None:
        self._dispatch(TimePassed())
        if self.state.queue:
            self._schedule_alarm()

    def _dispatch(
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
        if self.state.queue and self.state.rate.is_limited:
            self._schedule_alarm()
        return mine
