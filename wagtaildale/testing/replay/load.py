"""Classes of simulated requests, and counts of their outcomes."""

from __future__ import annotations

import random
from math import log, pi, sin

from msgspec import Struct

from wagtaildale.types import Outcome, ServiceName


class LoadClass(Struct, frozen=True, kw_only=True):
    """A class of requests, with its rate, run times and targets.

    Attributes:
        name: name of the class.
        service: service that runs the requests.
        per_second: rate of new requests of all callers together; retries of
            callers come on top.
        run_seconds: mean run time at a backend server of speed 1, log-normal.
        spread: standard deviation of the logarithm of the run time.
        target_seconds: time within which a request should be answered.
        deadline_seconds: time that a caller waits for an answer.
        rank: priority of the class; 0 is served first.
        idempotent: whether a request may run more than once.
        tries: number of tries that a caller makes, the first one included.
        calls: name of the class that runs call; empty if they call none.
        calls_share: share of the runs that make such a call.
        demand_amplitude: amplitude of the oscillating demand of a data centre,
            as a share of its mean; 0 if the demand is constant.
        demand_period_seconds: period of the demand; data centres have their
            peaks one after the other.
    """

    name: str
    service: ServiceName
    per_second: float
    run_seconds: float
    target_seconds: float
    deadline_seconds: float
    spread: float = 0.3
    rank: int = 1
    idempotent: bool = True
    tries: int = 3
    calls: str = ''
    calls_share: float = 0
    demand_amplitude: float = 0
    demand_period_seconds: float = 17

    def draw_arrival(self, now: float, *, phase: float) -> bool:
        """Draw whether a request drawn at the peak rate arrives.

        Args:
            now: current time, seconds.
            phase: share of the period by which the demand of the data centre
                is behind.

        Returns:
            Whether it arrives at the current demand.
        """
        angle = 2 * pi * (now / self.demand_period_seconds - phase)
        demand = 1 + self.demand_amplitude * sin(angle)
        return random.random() * (1 + self.demand_amplitude) < demand

    def draw_run_seconds(self) -> float:
        """Draw the run time of a request at a backend server of speed 1.

        Returns:
            Log-normally distributed time, seconds.
        """
        log_mean = log(self.run_seconds) - self.spread**2 / 2
        return random.lognormvariate(log_mean, self.spread)


class Outcomes(Struct, kw_only=True):
    """Counts of the outcomes of one class.

    Attributes:
        ended: callers' requests that ended, with or without an answer.
        in_time: requests answered within the target, counted from the first
            try.
        late: requests answered after the target.
        refused: requests without an answer, whose last try did not run.
        failed: requests without an answer, whose last try may have run.
        tries: tries that callers made.
        remote: requests answered by an upstream in another data centre.
    """

    ended: int = 0
    in_time: int = 0
    late: int = 0
    refused: int = 0
    failed: int = 0
    tries: int = 0
    remote: int = 0

    def note_answer(
        self,
        seconds: float,
        *,
        is_remote: bool,
        target_seconds: float,
    ) -> None:
        """Count an answer.

        Args:
            seconds: time since the first try.
            is_remote: whether an upstream in another data centre answered.
            target_seconds: time within which the request should be answered.
        """
        self.ended += 1
        self.remote += is_remote
        self.in_time += seconds <= target_seconds
        self.late += seconds > target_seconds

    def note_failure(self, outcome: Outcome) -> None:
        """Count a request without an answer.

        Args:
            outcome: outcome of its last try.
        """
        self.ended += 1
        if outcome is Outcome.not_run:
            self.refused += 1
        else:
            self.failed += 1

    @property
    def share_in_time(self) -> float:
        """Share of the ended requests that were answered within the target."""
        return self.in_time / max(1, self.ended)

    @property
    def share_remote(self) -> float:
        """Share of the answers that came from another data centre."""
        return self.remote / max(1, self.in_time + self.late)
