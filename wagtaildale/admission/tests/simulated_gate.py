"""Simulates a gate under a steady load, on a virtual clock."""

from __future__ import annotations

import heapq
from itertools import count
from typing import TYPE_CHECKING, Final

from wagtaildale.admission.decisions import decide_admission
from wagtaildale.admission.messages import (
    Admitted,
    Refused,
    RequestArrived,
    RequestFinished,
    TicketId,
    TimePassed,
)
from wagtaildale.admission.server_messages import RateReported, SlotsPublished
from wagtaildale.admission.state import make_admission

if TYPE_CHECKING:
    from wagtaildale.admission.messages import GateMessage
    from wagtaildale.admission.server_messages import ServerMessage

STEP_SECONDS: Final = 0.001
RUN_SECONDS: Final = 0.05
WITHIN_MS: Final = 200
PATIENCE_SECONDS: Final = 1.2
SLOTS: Final = 10


class SimulatedGate:
    """A gate with its server and callers that send requests evenly.

    Attributes:
        now: current time, seconds.
        limit: rate limit in the server's responses; None for no limit.
        arrivals: time and rank of each request that was sent to the server.
        refusals: refusal and rank of each other request.
    """

    def __init__(self, *, slots: int = SLOTS) -> None:
        self.now = float(0)
        self.limit: float | None = None
        self.state = make_admission(slots)
        self.arrivals: list[tuple[float, int]] = []
        self.refusals: list[tuple[Refused, int]] = []
        self._tickets = count(1)
        self._ranks: dict[TicketId, int] = {}
        self._runs: list[tuple[float, float, TicketId]] = []
        self._dispatch(SlotsPublished(slots=slots))

    def run(self, seconds: float, *, per_second: dict[int, float]) -> None:
        """Send requests for a while.

        Args:
            seconds: duration.
            per_second: requests per second of each rank.
        """
        until = self.now + seconds
        due = dict.fromkeys(per_second, self.now)
        while self.now < until:
            for rank, rate in per_second.items():
                while due[rank] <= self.now:
                    due[rank] += 1 / rate
                    self.send_request(rank)
            self._advance_time()

    def send_request(
        self, rank: int = 1, *, within_ms: int = WITHIN_MS
    ) -> None:
        """Send one request."""
        ticket = TicketId(next(self._tickets))
        self._ranks[ticket] = rank
        self._dispatch(
            RequestArrived(
                ticket=ticket,
                within_ms=within_ms,
                deadline=self.now + PATIENCE_SECONDS,
                rank=rank,
            ),
        )

    def tell(self, message: ServerMessage) -> None:
        """Pass on information about the server."""
        self._dispatch(message)

    def count_arrivals(self, since: float, *, rank: int | None = None) -> int:
        """Count the requests sent to the server since a time."""
        return sum(
            at >= since and rank in {None, request_rank}
            for at, request_rank in self.arrivals
        )

    def find_max_arrivals(self, window: float, *, since: float = 0) -> int:
        """Find the maximum number of arrivals in any window."""
        times = [at for at, _rank in self.arrivals if at >= since]
        return max(
            (
                sum(first <= at <= first + window for at in times)
                for first in times
            ),
            default=0,
        )

    def _advance_time(self) -> None:
        self.now += STEP_SECONDS
        while self._runs and self._runs[0][0] <= self.now:
            _ends_at, begun_at, ticket = heapq.heappop(self._runs)
            report = RateReported(per_second=self.limit, begun_at=begun_at)
            self._dispatch(report)
            self._dispatch(RequestFinished(ticket=ticket, seconds=RUN_SECONDS))
        self._dispatch(TimePassed())

    def _dispatch(self, message: GateMessage) -> None:
        for verdict in decide_admission(message, self.state, now=self.now):
            rank = self._ranks[verdict.ticket]
            if isinstance(verdict, Admitted):
                self.arrivals.append((self.now, rank))
                run = (self.now + RUN_SECONDS, self.now, verdict.ticket)
                heapq.heappush(self._runs, run)
            else:
                self.refusals.append((verdict, rank))
