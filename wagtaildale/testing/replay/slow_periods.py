"""Simulated servers on shared machines, which are slow for short periods."""

from __future__ import annotations

import random
from functools import partial
from typing import TYPE_CHECKING

from msgspec import Struct

if TYPE_CHECKING:
    from collections.abc import Sequence

    from wagtaildale.testing.replay.clock import VirtualClock
    from wagtaildale.testing.replay.servers import ReplayServer


class SlowPeriods(Struct, frozen=True, kw_only=True):
    """Slow periods of a server.

    Attributes:
        factor: factor by which run times are longer in a slow period.
        seconds: mean length of a period, exponentially distributed.
        gap_seconds: mean time between two periods, likewise.
    """

    factor: float = 2.5
    seconds: float = 0.6
    gap_seconds: float = 1.2

    def schedule(
        self, servers: Sequence[ReplayServer], *, clock: VirtualClock
    ) -> None:
        """Schedule slow periods from now on, at each server independently.

        Args:
            servers: servers that have slow periods.
            clock: clock of the simulation.
        """
        for server in servers:
            self._schedule_begin(server, clock)

    def _schedule_begin(
        self, server: ReplayServer, clock: VirtualClock
    ) -> None:
        clock.schedule(
            random.expovariate(1 / self.gap_seconds),
            partial(self._begin, server, clock),
        )

    def _begin(self, server: ReplayServer, clock: VirtualClock) -> None:
        server.slowness = self.factor
        clock.schedule(
            random.expovariate(1 / self.seconds),
            partial(self._end, server, clock),
        )

    def _end(self, server: ReplayServer, clock: VirtualClock) -> None:
        server.slowness = 1
        self._schedule_begin(server, clock)
