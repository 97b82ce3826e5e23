"""State of the gate before a backend server: slots, queue and estimates."""

from __future__ import annotations

from math import inf
from typing import Final

from msgspec import Struct, field

from wagtaildale.admission.messages import TicketId
from wagtaildale.admission.pace import Pace
from wagtaildale.admission.rates import RateLimit
from wagtaildale.admission.run_times import RunTimes
from wagtaildale.admission.shares import Demand
from wagtaildale.admission.slowness import Slowness

INITIAL_RUN_SECONDS: Final = 0.005
QUEUE_PER_SLOT: Final = 16
# One slot in four is reserved for urgent and short requests.
RESERVED_SLOTS_DIVISOR: Final = 4
# A request is urgent once less than this many times its run time is left
# until its target.
URGENT_RUN_TIMES: Final = 5
# Share of its target that a request is assumed to take while no run time is
# known. Users set their targets to 2.5 to 5 times the usual response time.
ASSUMED_TARGET_SHARE: Final = 0.3
# Weight of a new target in the assumed run time: ten requests make up most
# of it.
ASSUMED_GAIN: Final = 0.1


class QueuedRequest(Struct, order=True, gc=False):
    """A request in the queue.

    The queue is sorted by these fields, in their order here.

    Attributes:
        rank: priority of the request's class; 0 is served first.
        target_at: time at which the target of its class is missed, seconds.
        ticket: identifies the request at this gate.
        deadline: time after which no response is awaited, seconds.
        start_by: time at which it is refused if it has not started, seconds.
        run_seconds: expected run time, seconds.
        latest_start: time after which it may not start, seconds.
    """

    rank: int
    target_at: float
    ticket: TicketId
    deadline: float
    start_by: float
    run_seconds: float
    latest_start: float = inf

    def is_in_time(self, now: float) -> bool:
        """Tell whether the request meets its target if it starts now.

        Args:
            now: current time, seconds.

        Returns:
            Whether its expected run time ends before its target.
        """
        return now + self.run_seconds <= self.target_at


class AdmissionState(Struct, kw_only=True):
    """Slots and queue of one backend server.

    Attributes:
        slots: concurrent requests that the backend server accepts.
        limit: current concurrency limit; at most ``slots``.
        running: admitted requests, with the time of their admission.
        queue: waiting requests, the most urgent first.
        leases: admitted requests whose run message is awaited, with the
            time at which the slot is freed without it.
        service_seconds: smoothed run time at the backend server.
        baseline_seconds: run time smoothed over many more requests; 0 before
            the first run.
        assumed_seconds: run time derived from targets, used until a run was
            measured; 0 before the first request.
        class_seconds: smoothed run time of each class.
        class_run_times: run times of each class that entries are sent.
        slowness: detects that the backend server is slower than usual.
        pace: pace of the backend server, if it reports one. The smoothed run
            times of a server that reports it are those at the usual pace.
        occupied_until: time until which no slot counts as free, because the
            backend server has reported requests that wait there. It stays set
            after that time until a report without waiting requests, so that a
            server that always reports some is not stopped again.
        rate: rate limit that the backend server names, if any.
        demand: request rate before entries hold any request back.
        adaptive: whether the limit is adjusted to observed run times.
        lowered_at: when the limit was last lowered, seconds.
        missed_at: when a request last found no free slot, seconds.
        draining: whether new requests are refused.
    """

    slots: int
    limit: float
    running: dict[TicketId, float] = field(default_factory=dict)
    queue: list[QueuedRequest] = field(default_factory=list)
    leases: dict[TicketId, float] = field(default_factory=dict)
    service_seconds: float = INITIAL_RUN_SECONDS
    baseline_seconds: float = 0
    assumed_seconds: float = 0
    class_seconds: dict[str, float] = field(default_factory=dict)
    class_run_times: dict[str, RunTimes] = field(default_factory=dict)
    slowness: Slowness = field(default_factory=Slowness)
    pace: Pace = field(default_factory=Pace)
    occupied_until: float = 0
    rate: RateLimit = field(default_factory=RateLimit)
    demand: Demand = field(default_factory=Demand)
    adaptive: bool = True
    lowered_at: float = 0
    missed_at: float = -inf
    draining: bool = False

    @property
    def slot_seconds(self) -> float:
        """Seconds for which a request holds a slot; 0 before the first run."""
        return self.service_seconds if self.baseline_seconds else 0

    @property
    def free_slots(self) -> int:
        """Number of slots that are free."""
        return int(self.limit) - len(self.running)

    @property
    def reserved_slots(self) -> int:
        """Number of slots that are reserved for urgent and short requests."""
        return int(self.limit) // RESERVED_SLOTS_DIVISOR

    def can_run(self, waiting: QueuedRequest, now: float) -> bool:
        """Tell whether a request may run now.

        Some slots are reserved for urgent requests. A long request whose
        target leaves it time does not take a reserved slot until that time
        runs short. A short one may, since it frees the slot quickly.

        Args:
            waiting: the request.
            now: current time, seconds.

        Returns:
            Whether a slot and a rate limit token are available to it.
        """
        if now < self.occupied_until:
            return False
        if not self.rate.has_token(waiting.rank, now=now):
            return False
        is_urgent = (
            waiting.target_at - now < URGENT_RUN_TIMES * waiting.run_seconds
        )
        usual_seconds = self.service_seconds * self.pace.estimate(now)
        if is_urgent or waiting.run_seconds < usual_seconds:
            return self.free_slots > 0
        return self.free_slots > self.reserved_slots

    @property
    def max_queue_length(self) -> int:
        """Maximum number of queued requests."""
        return self.slots * QUEUE_PER_SLOT

    def estimate_run_seconds(self, work_class: str, *, now: float) -> float:
        """Estimate how long a request of a class runs.

        Args:
            work_class: the request's service and class.
            now: current time, seconds.

        Returns:
            Seconds; the mean of all classes before the first run of this one.
        """
        usual = self.class_seconds.get(work_class, self.service_seconds)
        return usual * self.pace.estimate(now)

    def find_run_times(self, work_class: str) -> RunTimes:
        """Find the recent and usual run time of a class.

        Args:
            work_class: the request's service and class.

        Returns:
            The run times that entries are sent; empty for a new class.
        """
        return self.class_run_times.get(work_class) or RunTimes()

    def find_next_start_at(self, now: float) -> float:
        """Find when a queued request may start without a slot being freed.

        Args:
            now: current time, seconds.

        Returns:
            Time in seconds of the next rate limit token, or of the end of the
            time in which no slot counts as free; infinite if no request waits
            for either.
        """
        if now < self.occupied_until:
            return self.occupied_until
        if self.rate.find_rate(now) is None:
            return inf
        waits = (
            self.rate.find_wait(waiting.rank, ahead=0, now=now)
            for waiting in self.queue
        )
        return now + min((wait for wait in waits if wait > 0), default=inf)

    def note_target_seconds(self, seconds: float) -> None:
        """Derive an assumed run time from a request's target.

        A process that has just started has measured no run times. Without
        this it would assume a few milliseconds for every request, queue for
        seconds what it should refuse, and answer all of it late.

        Args:
            seconds: time left until the request's target.
        """
        sample = max(INITIAL_RUN_SECONDS, seconds * ASSUMED_TARGET_SHARE)
        known = self.assumed_seconds or sample
        self.assumed_seconds = known + (sample - known) * ASSUMED_GAIN

    def estimate_wait(self, ahead: int, *, rank: int, now: float) -> float:
        """Estimate how long a request waits for a slot and a rate token.

        Args:
            ahead: number of requests that are served before it.
            rank: priority of the request's class; 0 is served first.
            now: current time, seconds.

        Returns:
            Seconds.
        """
        for_token = self.rate.find_wait(rank, ahead=ahead, now=now)
        return max(for_token, self.estimate_slot_wait(ahead, now=now))

    def estimate_slot_wait(self, ahead: int, *, now: float) -> float:
        """Estimate how long a request waits for a slot.

        Args:
            ahead: number of requests that are served before it.
            now: current time, seconds.

        Returns:
            Seconds.
        """
        free_slots = 0 if now < self.occupied_until else self.free_slots
        turns = (ahead + 1 - free_slots) / max(1, int(self.limit))
        seconds = self.slot_seconds or self.assumed_seconds
        seconds = (seconds or self.service_seconds) * self.pace.estimate(now)
        return max(0, turns * seconds, self.occupied_until - now)


def make_admission(slots: int) -> AdmissionState:
    """Make the state of the gate before a backend server.

    Args:
        slots: concurrent requests that the backend server accepts.

    Returns:
        State of an idle gate.
    """
    return AdmissionState(slots=slots, limit=float(slots))
