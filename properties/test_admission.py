"""State machine test of the gate before a backend server."""

from __future__ import annotations

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    Bundle,
    RuleBasedStateMachine,
    consumes,
    invariant,
    rule,
)

from wagtaildale.admission.decisions import decide_admission
from wagtaildale.admission.messages import (
    Admitted,
    DrainStarted,
    Refused,
    RequestArrived,
    RequestCancelled,
    RequestFinished,
    TicketId,
    TimePassed,
    Verdict,
)
from wagtaildale.admission.pace import ServerLoad
from wagtaildale.admission.server_messages import LoadReported
from wagtaildale.admission.state import make_admission

SLOTS = 5


class AdmissionMachine(RuleBasedStateMachine):
    """Requests arrive, finish and are cancelled; the instance drains.

    The server reports its load.
    """

    tickets = Bundle('tickets')

    def __init__(self) -> None:
        super().__init__()
        self.state = make_admission(SLOTS)
        self.now = float(0)
        self.last = 0
        self.verdicts: dict[TicketId, Verdict] = {}
        self.finished: set[TicketId] = set()
        self.cancelled: set[TicketId] = set()
        self.deadlines: dict[TicketId, float] = {}

    @rule(
        target=tickets,
        within_ms=st.sampled_from((100, 1000, 4000)),
        seconds=st.floats(0, 2),
    )
    def arrive(self, within_ms: int, seconds: float) -> TicketId:
        self.last += 1
        ticket = TicketId(self.last)
        self.deadlines[ticket] = self.now + seconds
        self._dispatch(
            RequestArrived(
                ticket=ticket,
                within_ms=within_ms,
                deadline=self.now + seconds,
            ),
        )
        return ticket

    @rule(ticket=consumes(tickets), seconds=st.floats(0, 1))
    def finish(self, ticket: TicketId, seconds: float) -> None:
        if isinstance(self.verdicts.get(ticket), Admitted):
            self.finished.add(ticket)
            self._dispatch(RequestFinished(ticket=ticket, seconds=seconds))

    @rule(ticket=tickets)
    def cancel(self, ticket: TicketId) -> None:
        if ticket not in self.verdicts:
            self.cancelled.add(ticket)
            self._dispatch(RequestCancelled(ticket=ticket))

    @rule(seconds=st.floats(0, 1))
    def wait(self, seconds: float) -> None:
        until = self.now + seconds
        # The gate sets an alarm for the time at which slots count again.
        next_at = self.state.find_next_start_at(self.now)
        if next_at <= until:
            self.now = next_at
            self._dispatch(TimePassed())
        self.now = until

    @rule(
        waiting=st.sampled_from((0, 0, 1)),
        pace_percent=st.sampled_from((0, 1, 100, 250, 10_000)),
    )
    def report_load(self, waiting: int, pace_percent: int) -> None:
        load = ServerLoad(
            running=1,
            waiting=waiting,
            slots=SLOTS,
            pace_percent=pace_percent,
        )
        self._dispatch(LoadReported(load=load))

    @rule()
    def drain(self) -> None:
        self._dispatch(DrainStarted())

    @invariant()
    def running_requests_do_not_exceed_slots(self) -> None:
        assert len(self.state.running) <= SLOTS

    @invariant()
    def no_request_waits_while_slots_are_free(self) -> None:
        # Reserved slots may be free: they are for urgent requests.
        assert (
            not self.state.queue
            or self.state.free_slots <= self.state.reserved_slots
            # The server has reported requests that wait there.
            or self.now < self.state.occupied_until
        )

    @invariant()
    def draining_gate_queues_nothing(self) -> None:
        assert not (self.state.draining and self.state.queue)

    def _dispatch(self, message: object) -> None:
        was_draining = self.state.draining
        verdicts = decide_admission(message, self.state, now=self.now)
        for verdict in verdicts:
            # Each request gets one verdict: a refused one never runs later.
            assert verdict.ticket not in self.verdicts
            assert verdict.ticket not in self.cancelled
            self.verdicts[verdict.ticket] = verdict
            if isinstance(verdict, Admitted):
                assert not was_draining
                assert self.deadlines[verdict.ticket] >= self.now
            else:
                assert isinstance(verdict, Refused)


TestAdmission = AdmissionMachine.TestCase
TestAdmission.settings = settings(
    derandomize=True,
    deadline=None,
    max_examples=80,
    stateful_step_count=40,
)
