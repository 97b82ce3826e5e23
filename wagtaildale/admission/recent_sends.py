"""Remembers what a backend server was sent in the last second.

A bound that begins late has to count what the server got before it. Without
this, a server that turns cold gets the rest of its usual rate and the whole
bound within one second.
"""

from __future__ import annotations

from itertools import islice
from typing import TYPE_CHECKING, Final

from msgspec import Struct, field

from wagtaildale.admission.messages import TicketId

if TYPE_CHECKING:
    from collections.abc import Collection

WINDOW_SECONDS: Final = 1.0


class RecentSends(Struct, kw_only=True):
    """Times at which requests were sent to the backend server.

    A request that is admitted counts from its admission, and again from the
    moment at which it is sent, if that is later.

    Attributes:
        times: time of each request in seconds, the oldest first.
        probe_count: number of the node's own requests so far, which have no
            ticket.
    """

    times: dict[TicketId, float] = field(default_factory=dict)
    probe_count: int = 0

    def note(self, ticket: TicketId | None, *, now: float) -> None:
        """Record that a request is sent.

        Args:
            ticket: ticket of the request; None for the node's own.
            now: current time, seconds.
        """
        self._forget_older(now)
        if ticket is None:
            # Tickets of the gate are positive.
            self.probe_count += 1
            ticket = TicketId(-self.probe_count)
        self.times.pop(ticket, None)
        self.times[ticket] = now

    def keep(self, tickets: Collection[TicketId]) -> None:
        """Forget all other requests, because a new server process started.

        Args:
            tickets: tickets of the requests that may still reach it.
        """
        self.times = {
            ticket: at for ticket, at in self.times.items() if ticket in tickets
        }

    def count(self, now: float) -> int:
        """Count the requests of the last second.

        Args:
            now: current time, seconds.

        Returns:
            Number of requests.
        """
        self._forget_older(now)
        return len(self.times)

    def find_wait(self, *, most: int, ahead: int, now: float) -> float:
        """Find how long a request waits until the last second has room for it.

        Args:
            most: number of requests that the server may get in one second.
            ahead: number of requests that are sent before it.
            now: current time, seconds.

        Returns:
            Seconds.
        """
        excess = self.count(now) + ahead + 1 - most
        if excess <= 0:
            return 0
        if excess > len(self.times):
            return WINDOW_SECONDS
        at = next(islice(self.times.values(), excess - 1, None))
        return max(0, at + WINDOW_SECONDS - now)

    def _forget_older(self, now: float) -> None:
        while self.times:
            oldest = next(iter(self.times))
            if self.times[oldest] + WINDOW_SECONDS > now:
                return
            self.times.pop(oldest)
