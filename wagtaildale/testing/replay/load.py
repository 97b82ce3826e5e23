"""Classes of requests of a replay, and what became of them."""

from __future__ import annotations

import random
from math import log

from msgspec import Struct

from wagtaildale.types import Outcome, ServiceName


class LoadClass(Struct, frozen=True, kw_only=True):
    """Requests of one class.

    Attributes:
        name: of the class.
        service: that runs them.
        per_second: first tries of all callers together.
        run_seconds: at a backend server of speed 1, on average.
        spread: standard deviation of the logarithm of that.
        target_seconds: target, seconds.
        deadline_seconds: seconds that a caller waits.
        rank: 0 goes first.
        idempotent: whether a request may run twice.
        tries: that a caller makes, its first one included.
        calls: class that a run calls, if any.
        calls_share: of the runs that do so.
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

    def draw_run_seconds(self) -> float:
        """Draw how long a run takes at a backend server of speed 1.

        Returns:
            Seconds, log-normally distributed.
        """
        middle = log(self.run_seconds) - self.spread**2 / 2
        return random.lognormvariate(middle, self.spread)


class Outcomes(Struct, kw_only=True):
    """What became of the requests of one class.

    Attributes:
        ended: callers' requests that ended.
        in_time: of these, answered within the target from their first try.
        late: answered after it.
        refused: ended unanswered after refusals.
        failed: ended unanswered after a failure.
        tries: that callers made.
        far: answered by an upstream of another data centre.
    """

    ended: int = 0
    in_time: int = 0
    late: int = 0
    refused: int = 0
    failed: int = 0
    tries: int = 0
    far: int = 0

    def note_answer(
        self,
        seconds: float,
        *,
        is_far: bool,
        target_seconds: float,
    ) -> None:
        """Count an answer.

        Args:
            seconds: since the first try.
            is_far: whether another data centre gave it.
            target_seconds: target, seconds.
        """
        self.ended += 1
        self.far += is_far
        self.in_time += seconds <= target_seconds
        self.late += seconds > target_seconds

    def note_failure(self, outcome: Outcome) -> None:
        """Count a request without an answer.

        Args:
            outcome: of its last try.
        """
        self.ended += 1
        if outcome is Outcome.not_run:
            self.refused += 1
        else:
            self.failed += 1

    @property
    def share_in_time(self) -> float:
        """Of all requests, those answered within their target."""
        return self.in_time / max(1, self.ended)

    @property
    def share_remote(self) -> float:
        """Of the answers, those from another data centre."""
        return self.far / max(1, self.in_time + self.late)
