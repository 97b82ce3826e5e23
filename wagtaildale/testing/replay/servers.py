"""Simulated upstream: an owner's gate in front of a modelled server."""

from __future__ import annotations

from math import inf
from typing import TYPE_CHECKING, Final

from msgspec import Struct, structs

from wagtaildale.admission.capacity import compute_pass_share
from wagtaildale.admission.decisions import decide_admission
from wagtaildale.admission.limits import Ending
from wagtaildale.admission.messages import (
    Admitted,
    RequestArrived,
    RequestCancelled,
    RequestFinished,
    TicketId,
    TimePassed,
)
from wagtaildale.admission.pace import USUAL_PERCENT, ServerLoad
from wagtaildale.admission.server_messages import (
    LoadReported,
    RateReported,
    SlotsPublished,
)
from wagtaildale.admission.state import make_admission
from wagtaildale.routing.known_limits import ServerLimit
from wagtaildale.routing.upstream import OwnerReport
from wagtaildale.types import Incarnation

if TYPE_CHECKING:
    from collections.abc import Callable

    from wagtaildale.admission.messages import GateMessage, Refused, Verdict
    from wagtaildale.errors.codes import Code
    from wagtaildale.membership.records import InstanceRecord
    from wagtaildale.testing.replay.clock import VirtualClock
    from wagtaildale.testing.replay.load import LoadClass

# Time after its start in which a backend server is slower, and its factor.
COLD_SECONDS: Final = 3.0
COLD_SLOWNESS: Final = 2.0
# Added to each timer, so that it fires just after the time it waits for.
ALARM_MARGIN_SECONDS: Final = 1e-6


class Job(Struct, kw_only=True, eq=False):
    """A request that an owner received.

    Attributes:
        work_class: class of the request.
        on_refused: called with the refusal if the request is refused.
        on_done: called with the run time in seconds at the end of the run.
        on_started: called with the ticket when the run starts; returns
            whether the run calls another service. The end of that call then
            calls ``finish``.
        started_at: time at which the run started, seconds; negative before.
        pending_parts: parts of the run that have not ended: its own work and
            its nested call.
    """

    work_class: LoadClass
    on_refused: Callable[[Refused], None]
    on_done: Callable[[float], None]
    on_started: Callable[[TicketId], bool]
    started_at: float = -1
    pending_parts: int = 1


class ReplayServer:
    """One simulated upstream.

    Attributes:
        record: record of the instance, as listed.
        speed: speed of the backend server; at 2, runs take half as long.
        slowness: factor by which a simulated fault multiplies run times.
        read_pace: returns the pace that the backend server reports, percent;
            none if it reports no pace.
        requests_received: number of requests that its owner received.
        runs: number of runs that were started.
        slot_seconds: total time that ended runs held slots.
        limit: requests per second that the backend server reports it takes;
            none if it reports no limit.
        state: state of the admission gate.
    """

    def __init__(
        self,
        record: InstanceRecord,
        *,
        clock: VirtualClock,
        speed: float,
        cold: bool,
        on_slowness: Callable[[ReplayServer], None],
        on_limit: Callable[[ReplayServer], None],
        on_pace: Callable[[ReplayServer], None],
    ) -> None:
        """Start the upstream and publish its slots to the gate.

        Args:
            record: record of the instance; the server has its slots.
            clock: clock of the simulation.
            speed: speed of the backend server.
            cold: whether the backend server has just started.
            on_slowness: called when its announced slowness changes.
            on_limit: called when entries should send it more or fewer
                requests.
            on_pace: called when entries are to be notified of its pace.
        """
        self.record = record
        self.speed = speed
        self.slowness = float(1)
        self.read_pace: Callable[[], int] | None = None
        self.requests_received = 0
        self.runs = 0
        self.slot_seconds = float(0)
        self.limit: float | None = None
        self.state = make_admission(record.slots)
        self._clock = clock
        self._on_slowness = on_slowness
        self._on_limit = on_limit
        self._on_pace = on_pace
        self._cold_until = clock.now + COLD_SECONDS if cold else float(0)
        self._jobs: dict[TicketId, Job] = {}
        self._last_ticket = 0
        self._decide(SlotsPublished(slots=record.slots))

    def request_slot(self, arrived: RequestArrived, job: Job) -> TicketId:
        """Request a slot for a request that has arrived.

        Args:
            arrived: the request.
            job: the callbacks of the request.

        Returns:
            Ticket by which the request can be cancelled.
        """
        self._last_ticket += 1
        self.requests_received += 1
        ticket = TicketId(self._last_ticket)
        self._jobs[ticket] = job
        self._decide(structs.replace(arrived, ticket=ticket))
        for waiting in self.state.queue:
            if waiting.ticket == ticket:
                wait = waiting.start_by - self._clock.now
                self._clock.schedule(
                    wait + ALARM_MARGIN_SECONDS, self._pass_time
                )
        self._schedule_start_check()
        return ticket

    def cancel(self, ticket: TicketId) -> None:
        """Cancel a request that no one waits for any more.

        Args:
            ticket: ticket of the request.
        """
        job = self._jobs.pop(ticket, None)
        if job is None:
            return
        if job.started_at < 0:
            self._decide(RequestCancelled(ticket=ticket))
        else:
            self._free_slot(ticket, job, Ending.abandoned)

    def finish(self, ticket: TicketId) -> None:
        """End one part of a run, its work or its nested call.

        The run ends with its last part.

        Args:
            ticket: ticket of the run.
        """
        job = self._jobs.get(ticket)
        if job is None:
            return
        job.pending_parts -= 1
        if job.pending_parts:
            return
        self._jobs.pop(ticket)
        self._decide(
            RateReported(per_second=self.limit, begun_at=job.started_at)
        )
        self._report_load()
        self._free_slot(ticket, job, Ending.good)
        job.on_done(self._clock.now - job.started_at)

    def report(self, code: Code, *, work_class: str) -> OwnerReport:
        """Build the owner's report that accompanies an answer.

        Args:
            code: code of the answer.
            work_class: class of the request.

        Returns:
            The report.
        """
        state = self.state
        run_times = state.find_run_times(work_class)
        return OwnerReport(
            incarnation=Incarnation(1),
            in_flight=len(state.running),
            limit=int(state.limit),
            queued=len(state.queue),
            slot_seconds=state.slot_seconds,
            class_seconds=run_times.recent,
            class_usual_seconds=run_times.reliable_mean,
            code=code,
            server_limit=self.describe_limit(),
            pace_percent=state.pace.encode(self._clock.now),
        )

    def find_true_pace(self) -> int:
        """Find the pace that an exact report has.

        Returns:
            Factor by which run times are longer now, in percent.
        """
        return round(self.slowness * USUAL_PERCENT)

    def describe_limit(self) -> ServerLimit | None:
        """Describe how many requests the backend server takes.

        Returns:
            The limit; none before the first answer.
        """
        state = self.state
        if not state.rate.is_observed:
            return None
        return ServerLimit(
            per_second=state.rate.per_second,
            share=compute_pass_share(state, now=self._clock.now),
        )

    def _report_load(self) -> None:
        if self.read_pace is not None:
            load = ServerLoad(
                running=len(self.state.running),
                waiting=0,
                slots=self.record.slots,
                pace_percent=self.read_pace(),
            )
            self._decide(LoadReported(load=load))
            self._announce_pace()

    def _announce_pace(self) -> None:
        if self.state.pace.update_announcement(self._clock.now):
            self._on_pace(self)

    def _free_slot(self, ticket: TicketId, job: Job, ending: Ending) -> None:
        now = self._clock.now
        self.slot_seconds += now - job.started_at
        self._decide(
            RequestFinished(
                ticket=ticket,
                seconds=now - job.started_at,
                ending=ending,
                work_class=job.work_class.name,
            ),
        )
        self._announce_pace()
        if self.state.slowness.update_announcement(now=now):
            self._on_slowness(self)
        share = compute_pass_share(self.state, now=now)
        if self.state.demand.update_announcement(share, now=now):
            self._on_limit(self)

    def _pass_time(self) -> None:
        self._decide(TimePassed())
        self._schedule_start_check()

    def _schedule_start_check(self) -> None:
        wait = self.state.find_next_start_at(self._clock.now) - self._clock.now
        if wait < inf:
            self._clock.schedule(wait + ALARM_MARGIN_SECONDS, self._pass_time)

    def _decide(self, message: GateMessage) -> None:
        now = self._clock.now
        for verdict in decide_admission(message, self.state, now=now):
            self._apply_verdict(verdict)

    def _apply_verdict(self, verdict: Verdict) -> None:
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
        if job.on_started(ticket):
            job.pending_parts += 1
        self._clock.schedule(seconds, lambda: self.finish(ticket))
