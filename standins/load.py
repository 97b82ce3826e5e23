"""Generates load by many callers, each on its own thread."""

from __future__ import annotations

import random
import threading
import time
from concurrent.futures import ThreadPoolExecutor, wait
from typing import TYPE_CHECKING, Final

from msgspec import Struct

from standins.caller import CallCounts, Caller, WorkClass, sum_counts

if TYPE_CHECKING:
    from collections.abc import Sequence

    from standins.caller import Address


class LoadPlan(Struct, frozen=True, kw_only=True):
    """Shape of a load.

    Attributes:
        mix: classes of requests with their weights.
        callers: number of concurrent callers.
        calls_per_second: mean rate of all callers together.
        latency_ms: simulated one-way latency of each caller.
        seed: seed of all random choices.
    """

    mix: tuple[WorkClass, ...]
    callers: int
    calls_per_second: float
    latency_ms: float = 0
    seed: int = 1


STOP_TIMEOUT_SECONDS: Final = 60.0


class Load:
    """Running load; the callers start on construction."""

    def __init__(self, plan: LoadPlan, *, entries: Sequence[Address]) -> None:
        """Start every caller.

        Args:
            plan: shape of the load.
            entries: entry addresses of nodes; read again for each
                connection, so that the list may be changed in place.
        """
        self._plan = plan
        self._stopping = threading.Event()
        self._callers = [
            Caller(
                entries,
                seed=plan.seed + number,
                latency_ms=plan.latency_ms,
            )
            for number in range(plan.callers)
        ]
        self._executor = ThreadPoolExecutor(plan.callers)
        self._futures = [
            self._executor.submit(self._run_caller, caller, plan.seed + number)
            for number, caller in enumerate(self._callers)
        ]

    def count(self) -> dict[str, CallCounts]:
        """Add up the counts so far.

        Returns:
            Counts by class name.
        """
        return sum_counts(self._callers)

    def stop(self) -> dict[str, CallCounts]:
        """Stop the load once the calls in progress have ended.

        Returns:
            All counts by class name.
        """
        self._stopping.set()
        wait(self._futures, timeout=STOP_TIMEOUT_SECONDS)
        self._executor.shutdown(wait=False)
        for caller in self._callers:
            caller.close()
        for future in self._futures:
            future.result()
        return self.count()

    def _run_caller(self, caller: Caller, seed: int) -> None:
        random_generator = random.Random(seed)
        weights = [work_class.weight for work_class in self._plan.mix]
        mean_gap = self._plan.callers / self._plan.calls_per_second
        due = time.monotonic() + random_generator.uniform(0, mean_gap)
        while not self._stopping.is_set():
            delay = due - time.monotonic()
            if delay > 0:
                self._stopping.wait(delay)
            due += mean_gap * random_generator.uniform(0, 2)
            caller.call(random_generator.choices(self._plan.mix, weights)[0])
