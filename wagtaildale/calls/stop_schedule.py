"""Decides what still fits into the life of a process that stops.

A request that is passed on too late is cut when the process ends, though a
server runs it. One that is rejected in time can be sent to another node, and
rejecting all of them would leave callers that know no other node without
service. So each is compared with what is left, at each moment at which it may
be passed on.

Load pattern: a class takes many times as long as it ever has while nodes stop.
What its answers took so far says nothing then. A request that arrives late in
a stop, or that another server can run, is therefore passed on only if its
caller gives up before the process ends.
"""

from __future__ import annotations

from math import inf
from typing import Final

from msgspec import Struct

# Time before the end of the process by which an answer must be there, so that
# it still reaches its caller.
DELIVERY_SECONDS: Final = 0.1


class StopSchedule(Struct, frozen=True, kw_only=True):
    """The steps of a planned stop, seconds on the monotonic clock.

    Attributes:
        callers_move_at: time by which callers that have another node use it.
        estimates_until: time until which requests that arrive count with what
            their class takes; later ones count with their deadline.
        ends_at: time at which the process ends and closes all connections.
    """

    callers_move_at: float = inf
    estimates_until: float = inf
    ends_at: float = inf

    @property
    def is_stopping(self) -> bool:
        """Whether the process stops."""
        return self.ends_at < inf

    def find_latest_start(
        self, *, seconds: float, deadline: float, arrived_at: float
    ) -> float:
        """Find when the run of a request may start at the latest.

        Args:
            seconds: time from the start of the run to the whole answer;
                infinite if unknown.
            deadline: time at which the caller gives up, seconds.
            arrived_at: time at which the request arrived, seconds.

        Returns:
            Seconds on the monotonic clock; infinite if the caller gives up
            before the process ends, and 0, long past, if it must not start.
        """
        answered_by = self.ends_at - DELIVERY_SECONDS
        if deadline <= answered_by:
            return inf
        if arrived_at > self.estimates_until:
            return 0
        return max(0, answered_by - seconds)

    def compute_retry_after(self, now: float) -> float:
        """Compute when a rejected caller should come back.

        Args:
            now: current time, seconds.

        Returns:
            Seconds until other nodes get its requests, or until another
            process takes the place of this one.
        """
        back_at = self.ends_at
        if now < self.callers_move_at:
            back_at = min(self.callers_move_at, back_at)
        return max(0, back_at - now)


NOT_STOPPING: Final = StopSchedule()
