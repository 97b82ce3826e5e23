"""An owner's gate with a modelled backend server behind it."""

from __future__ import annotations

from math import inf
from typing import TYPE_CHECKING, Final

from msgspec import Struct, structs

from wagtaildale.admission.decisions import decide_admission
from wagtaildale.admission.limits import Ending
from wagtaildale.admission.messages import (
    Admitted,
    RequestArrived,
    RequestFinished,
    RequestCancelled,
    TicketId,
    TimePassed,
)
from wagtaildale.admission.server_messages import RateReported, SlotsPublished
from wagtaildale.admission.capacity import compute_pass_share
from wagtaildale.admission.state import make_admission
from wagtaildale.routing.known_limits import NamedLimit
from wagtaildale.routing.upstream import OwnerReport
from wagtaildale.types import Incarnation

if TYPE_CHECKING:
    from collections.abc import Callable

    from wagtaildale.admission.messages import GateMessage, Refused, Verdict
    from wagtaildale.errors.codes import Code
    from wagtaildale.membership.records import InstanceRecord
    from wagtaildale.testing.replay.clock import VirtualClock
    from wagtaildale.testing.replay.load import LoadClass

# A backend server takes twice its time for some seconds after its start.
COLD_SECONDS: Final = 3.0
COLD_SLOWNESS: Final = 2.0
# So that an alarm is due a moment after what it waits for.
MOMENT: Final = 1e-6


class Job(Struct, kw_only=True, eq=False):
    """A request at an owner.

    Attributes:
        work_class: of the request.
        on_refused: is told a refusal.
        on_done: is told how long the run took.
        on_run: is told that the run begins, and its ticket; returns whether
            it calls another service, whose answer is a call of ``finish``.
        started_at: when it began to run, seconds; negative before.
        waits_for: parts of the run that are not over: work and call.
    """

    work_class: LoadClass
    on_refused: Callable[[Refused], None]
    on_done: Callable[[float], None]
    on_run: Callable[[TicketId], bool]
    started_at: float = -1
    waits_for: int = 1


class ReplayServer:
    """One upstream.

    Attributes:
        record: as listed.
        speed: of the backend server; 2 takes half as long.
        slowness: what a fault multiplies its times by.
        asked: requests that came to its owner.
        runs: that were begun.
        slot_seconds: for which slots were held by runs that are over.
        limit: requests a second that it names; nothing for none.
        state: of its gate.
    """

    def __init__(
        self,
        record: InstanceRecord,
        *,
        clock: VirtualClock,
        speed: float,
        cold: bool,
        on_condition: Callable[[ReplayServer], None],
        on_limit: Callable[[ReplayServer], None],
    ) -> None:
        """Start.

        Args:
            record: as listed; its slots are those of the server.
            clock: of the replay.
            speed: of the backend server.
            cold: whether it has just started.
            on_condition: is told when it turns slow or well.
            on_limit: is told when entries are to send it more, or less.
        """
        self.record = record
        self.speed = speed
        self.slowness = float(1)
        self.asked = 0
        self.runs = 0
        self.slot_seconds = float(0)
        self.limit: float | None = None
        self.state = make_admission(record.slots)
        self._clock = clock
        self._on_condition = on_condition
        self._on_limit = on_limit
        self._cold_until = clock.now + COLD_SECONDS if cold else float(0)
        self._jobs: dict[TicketId, Job] = {}
        self._last = 0
        self._tell(SlotsPublished(slots=record.slots))

    def enter(self, arrived: RequestArrived, job: Job) -> TicketId:
        """Ask for a slot.

        Args:
            arrived: the request.
            job: is told what becomes of it.

        Returns:
            By which it can be cancelled.
        """
        self._last += 1
        self.asked += 1
        ticket = TicketId(self._last)
        self._jobs[ticket] = job
        self._tell(structs.replace(arrived, ticket=ticket))
        for waiting in self.state.queue:
            if waiting.ticket == ticket:
                wait = waiting.start_by - self._clock.now
                self._clock.set(wait + MOMENT, self._pass_time)
        self._look_for_token()
        return ticket

    def cancel(self, ticket: TicketId) -> None:
        """Stop a request: nobody waits for it.

        Args:
            ticket: of the request.
        """
        job = self._jobs.pop(ticket, None)
        if job is None:
            return
        if job.started_at < 0:
            self._tell(RequestCancelled(ticket=ticket))
        else:
            self._leave(ticket, job, Ending.abandoned)

    def finish(self, ticket: TicketId) -> None:
        """End one of the two parts of a run: its work or its call.

        Args:
            ticket: of the run.
        """
        job = self._jobs.get(ticket)
        if job is None:
            return
        job.waits_for -= 1
        if job.waits_for:
            return
        self._jobs.pop(ticket)
        self._tell(RateReported(per_second=self.limit, begun_at=job.started_at))
        self._leave(ticket, job, Ending.good)
        job.on_done(self._clock.now - job.started_at)

    def report(self, code: Code, *, work_class: str) -> OwnerReport:
        """Say of itself what goes along with an answer.

        Args:
            code: of the answer.
            work_class: of the request.

        Returns:
            The report.
        """
        state = self.state
        usual = state.find_run_times(work_class)
        return OwnerReport(
            incarnation=Incarnation(1),
            in_flight=len(state.running),
            limit=int(state.limit),
            queued=len(state.queue),
            slot_seconds=state.slot_seconds,
            class_seconds=usual.recent,
            class_usual=usual.reliable_mean,
            code=code,
            named=self.describe_limit(),
        )

    def describe_limit(self) -> NamedLimit | None:
        """Say how many requests the backend server takes.

        Returns:
            The limit; nothing before the first answer.
        """
        state = self.state
        if not state.rate.is_observed:
            return None
        return NamedLimit(
            per_second=state.rate.per_second,
            share=compute_pass_share(state, now=self._clock.now),
        )

    def _leave(self, ticket: TicketId, job: Job, ending: Ending) -> None:
        now = self._clock.now
        self.slot_seconds += now - job.started_at
        self._tell(
            RequestFinished(
                ticket=ticket,
                seconds=now - job.started_at,
                ending=ending,
                work_class=job.work_class.name,
            ),
        )
        if self.state.slowness.update_announcement(now=now):
            self._on_condition(self)
        share = compute_pass_share(self.state, now=now)
        if self.state.demand.update_announcement(share, now=now):
            self._on_limit(self)

    def _pass_time(self) -> None:
        self._tell(TimePassed())
        self._look_for_token()

    def _look_for_token(self) -> None:
        wait = self.state.find_token_at(self._clock.now) - self._clock.now
        if wait < inf:
            self._clock.set(wait + MOMENT, self._pass_time)

    def _tell(self, message: GateMessage) -> None:
        now = self._clock.now
        for verdict in decide_admission(message, self.state, now=now):
            self._take_verdict(verdict)

    def _take_verdict(self, verdict: Verdict) -> None:
        ticket = verdict.ticket
        if isinstance(verdict, Admitted):
            self._run(ticket, self._jobs[ticket])
            return
        job = self._jobs.pop(ticket)
        job.on_refused(verdict)

    def _run(self, ticket: TicketId, job: Job) -> None:
        self.runs += 1
        job.started_at = self._clock.now
        seconds = job.work_class.draw_run_seconds()
        seconds *= self.slowness / self.speed
        if self._clock.now < self._cold_until:
            seconds *= COLD_SLOWNESS
        if job.on_run(ticket):
            job.waits_for += 1
        self._clock.set(seconds, lambda: self.finish(ticket))
