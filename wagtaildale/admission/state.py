"""What the gate before a backend server holds."""

from __future__ import annotations

from math import inf
from typing import Final

from msgspec import Struct, field

from wagtaildale.admission.messages import TicketId
from wagtaildale.admission.rates import RateLimit
from wagtaildale.admission.run_times import RunTimes
from wagtaildale.admission.shares import Demand
from wagtaildale.admission.slowness import Slowness

INITIAL_RUN_SECONDS: Final = 0.005
QUEUE_PER_SLOT: Final = 16
RESERVED_SLOTS_DIVISOR: Final = 4
URGENT_RUN_TIMES: Final = 5
# Of a target: what a request takes while no time is known. Users set their
# targets at 2.5 to 5 times the usual time of an answer.
ASSUMED_TARGET_SHARE: Final = 0.3
# Of a new target in the guess: ten requests make most of it.
ASSUMED_GAIN: Final = 0.1


class QueuedRequest(Struct, order=True, gc=False):
    """A request in the queue; the order of fields is the queue's order.

    Attributes:
        rank: of its class; 0 goes first.
        target_at: when its target would be missed, seconds on the clock.
        ticket: which one.
        deadline: when nobody waits for it any more.
        start_by: when it is refused if it has not begun, seconds.
        seconds: how long it is expected to run.
    """

    rank: int
    target_at: float
    ticket: TicketId
    deadline: float
    start_by: float
    run_seconds: float

    def is_in_time(self, now: float) -> bool:
        """Tell whether its target would be kept if it ran now.

        Args:
            now: seconds.

        Returns:
            Whether it is expected to be answered by then.
        """
        return now + self.run_seconds <= self.target_at


class AdmissionState(Struct, kw_only=True):
    """Slots and queue of one backend server.

    Attributes:
        slots: requests that it says it runs at once.
        limit: how many are let through now; at most ``slots``.
        running: requests that run, with the time each was admitted.
        queue: requests that wait, the most urgent first.
        leases: slots that are held for a run message, until when.
        service_seconds: smoothed time of a request at the backend server.
        baseline_seconds: the same over a long time; 0 before the first.
        assumed_seconds: what it may be, while there was no answer; 0 before
            the first request.
        class_seconds: smoothed time by class.
        class_run_times: what entries are told of that.
        slowness: whether the backend server is slower than usual.
        rate: that the backend server takes, if it names one.
        demand: what would come if all of it passed.
        adaptive: whether the limit follows what is observed.
        lowered_at: when the limit was lowered last, seconds.
        draining: whether nothing new is admitted.
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
    rate: RateLimit = field(default_factory=RateLimit)
    demand: Demand = field(default_factory=Demand)
    adaptive: bool = True
    lowered_at: float = 0
    draining: bool = False

    @property
    def slot_seconds(self) -> float:
        """How long a request of any class holds a slot; 0 before the first."""
        return self.service_seconds if self.baseline_seconds else 0

    @property
    def free_slots(self) -> int:
        """How many more requests may run now."""
        return int(self.limit) - len(self.running)

    @property
    def reserved_slots(self) -> int:
        """How many slots are kept for what cannot wait."""
        return int(self.limit) // RESERVED_SLOTS_DIVISOR

    def can_run(self, waiting: QueuedRequest, now: float) -> bool:
        """Tell whether a request may run now.

        The last slots are kept for requests that cannot wait: a long one
        whose target leaves it time lets them be until its time grows short.
        A short one frees its slot as soon as it would be missed.

        Args:
            waiting: the request.
            now: seconds.

        Returns:
            Whether there is a slot for it, and a token of the named rate.
        """
        if not self.rate.has_token(waiting.rank, now=now):
            return False
        is_urgent = (
            waiting.target_at - now < URGENT_RUN_TIMES * waiting.run_seconds
        )
        if is_urgent or waiting.run_seconds < self.service_seconds:
            return self.free_slots > 0
        return self.free_slots > self.reserved_slots

    @property
    def max_queue_length(self) -> int:
        """How many requests may wait."""
        return self.slots * QUEUE_PER_SLOT

    def find_run_seconds(self, work_class: str) -> float:
        """Find how long a request of a class takes here.

        Args:
            work_class: service and class.

        Returns:
            Seconds; those of any request before the first of its class.
        """
        return self.class_seconds.get(work_class, self.service_seconds)

    def find_run_times(self, work_class: str) -> RunTimes:
        """Find how long a request of a class takes here, now and usually.

        Args:
            work_class: service and class.

        Returns:
            What entries are told; nothing known for a new class.
        """
        return self.class_run_times.get(work_class) or RunTimes()

    def find_token_at(self, now: float) -> float:
        """Find when the first request in the queue has its token.

        Args:
            now: seconds.

        Returns:
            Seconds; infinite where none waits for a token.
        """
        if not self.rate.is_limited:
            return inf
        waits = (
            self.rate.find_wait(waiting.rank, ahead=0, now=now)
            for waiting in self.queue
        )
        return now + min((wait for wait in waits if wait > 0), default=inf)

    def note_target_seconds(self, within: float) -> None:
        """Guess from a request's target how long requests take here.

        Failure guarded here: a process that has just started knows no
        times. It took every request for a matter of milliseconds, queued
        for seconds what it could have refused, and answered all of it late.

        Args:
            within: seconds that are left of the class's target.
        """
        guess = max(INITIAL_RUN_SECONDS, within * ASSUMED_TARGET_SHARE)
        known = self.assumed_seconds or guess
        self.assumed_seconds = known + (guess - known) * ASSUMED_GAIN

    def estimate_wait(self, ahead: int, *, rank: int, now: float) -> float:
        """Estimate how long a request waits for a slot and a token.

        Args:
            ahead: requests that go before it.
            rank: of its class; 0 goes first.
            now: seconds.

        Returns:
            Seconds.
        """
        for_token = self.rate.find_wait(rank, ahead=ahead, now=now)
        return max(for_token, self.estimate_slot_wait(ahead))

    def estimate_slot_wait(self, ahead: int) -> float:
        """Estimate how long a request waits for a slot.

        Args:
            ahead: requests that go before it.

        Returns:
            Seconds.
        """
        turns = (ahead + 1 - self.free_slots) / max(1, int(self.limit))
        seconds = self.slot_seconds or self.assumed_seconds
        return max(0, turns) * (seconds or self.service_seconds)


def make_admission(slots: int) -> AdmissionState:
    """Make the gate of a backend server.

    Args:
        slots: requests that it runs at once.

    Returns:
        An open gate with nothing running.
    """
    return AdmissionState(slots=slots, limit=float(slots))
