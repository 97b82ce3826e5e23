"""Lets servers of a running deployment leave, and disturbs its nodes."""

from __future__ import annotations

import asyncio
import random
import signal
import subprocess
import time
from collections import Counter
from typing import TYPE_CHECKING, Final

from standins.deployment.verdict import Departure, Disturbance

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from standins.deployment.fleet import DeploymentFleet
    from standins.deployment.machines import Machine
    from standins.deployment.scenarios import Scenario

MILLISECONDS: Final = 1000
# Time for a planned stop before the process is killed.
GRACE_SECONDS: Final = 6.0
# How much longer than the drain time servers serve at most.
LONGEST_SERVICE_SECONDS: Final = 6.0
LONGEST_RESTART_SECONDS: Final = 1.0
LONGEST_OUTAGE_SECONDS: Final = 4.0
SHORTEST_SILENCE_SECONDS: Final = 10.0
LONGEST_SILENCE_SECONDS: Final = 30.0
STORM_VERSIONS: Final = 25
STORM_GAP_SECONDS: Final = 0.2


class Disturber:
    """Carries out a scenario on a fleet.

    Attributes:
        departures: servers that have left.
        store_disturbances: times in which the store did not answer.
    """

    def __init__(
        self, fleet: DeploymentFleet, scenario: Scenario, *, seed: int
    ) -> None:
        """Prepare a scenario.

        Args:
            fleet: running fleet.
            scenario: what happens.
            seed: seed of all random choices.
        """
        self.departures: list[Departure] = []
        self.store_disturbances: list[Disturbance] = []
        self._fleet = fleet
        self._scenario = scenario
        self._random = random.Random(seed)
        self._tasks: set[asyncio.Future[None]] = set()

    async def run(self, seconds: float) -> None:
        """Disturb the fleet for a time, and wait until all is over.

        Args:
            seconds: how long disturbances begin.
        """
        scenario = self._scenario
        self._fleet.store.delay_seconds = scenario.store_delay
        actions = (
            (scenario.leave_gap, self._let_leave),
            (scenario.stop_gap, self._stop_node),
            (scenario.kill_gap, self._kill_node),
            (scenario.pause_gap, self._pause_node),
            (scenario.outage_gap, self._interrupt_store),
            (scenario.refuse_gap, self._refuse_some),
            (scenario.storm_gap, self._publish_storm),
            (scenario.drop_gap, self._drop_history),
            (scenario.silence_gap, self._silence_watches),
        )
        until = time.monotonic() + seconds
        repeated = (
            self._repeat(action, gap=gap, until=until)
            for gap, action in actions
            if gap
        )
        await asyncio.gather(*repeated)
        await asyncio.gather(*self._tasks)

    async def _repeat(
        self, action: Callable[[], Awaitable[None]], *, gap: float, until: float
    ) -> None:
        while time.monotonic() < until:
            self._tasks.add(asyncio.ensure_future(action()))
            await asyncio.sleep(self._random.uniform(gap / 2, gap * 3 / 2))

    # Servers

    async def _let_leave(self) -> None:
        machine = self._choose_leaving()
        if machine is None:
            return
        machine.is_listed = False
        if self._scenario.replaces:
            await self._fleet.add_machine(
                zone=machine.zone, service=machine.service
            )
        await self._leave(machine)
        drain_seconds = self._fleet.deployment.drain_ms / MILLISECONDS
        more_seconds = self._random.uniform(0, LONGEST_SERVICE_SECONDS)
        await asyncio.sleep(drain_seconds + more_seconds)
        machine.signal_server(signal.SIGTERM)
        await asyncio.to_thread(machine.wait_server_end)
        await self._fleet.remove_entry(machine)
        machine.is_gone = True
        self._fleet.write_hosts()
        machine.signal_node(signal.SIGTERM)

    async def _leave(self, machine: Machine) -> None:
        if self._random.random() < self._scenario.word_share:
            machine.signal_server(signal.SIGUSR2)
            return
        if self._random.random() < self._scenario.hidden_share:
            self._fleet.hide_next_change(machine)
        is_removed = self._random.random() < self._scenario.removed_share
        if is_removed:
            await self._fleet.remove_entry(machine)
        else:
            await self._fleet.write_entry(machine, state='draining')
        acked_at = time.monotonic()
        if not is_removed:
            machine.signal_server(signal.SIGUSR1)
        self.departures.append(
            Departure(
                instance=machine.instance,
                host=machine.host,
                acked_at=acked_at,
                was_announced=not is_removed,
            )
        )

    def _choose_leaving(self) -> Machine | None:
        listed = [each for each in self._fleet.machines if each.is_listed]
        if not self._scenario.replaces:
            left = Counter(each.service for each in listed)
            listed = [each for each in listed if left[each.service] > 1]
        return self._random.choice(listed) if listed else None

    # Nodes

    async def _stop_node(self) -> None:
        await self._restart(signal.SIGTERM)

    async def _kill_node(self) -> None:
        await self._restart(signal.SIGKILL)

    async def _restart(self, number: signal.Signals) -> None:
        machine = self._choose_calm()
        if machine is None:
            return
        machine.is_busy = True
        machine.signal_node(number)
        try:
            await asyncio.to_thread(machine.wait_node_end, GRACE_SECONDS)
        except subprocess.TimeoutExpired:
            machine.signal_node(signal.SIGKILL)
        await asyncio.sleep(self._random.uniform(0, LONGEST_RESTART_SECONDS))
        if not machine.is_gone:
            machine.start_node()
        machine.is_busy = False

    async def _pause_node(self) -> None:
        machine = self._choose_calm()
        if machine is None:
            return
        machine.is_busy = True
        machine.signal_node(signal.SIGSTOP)
        await asyncio.sleep(
            self._random.uniform(0, self._scenario.pause_seconds)
        )
        machine.signal_node(signal.SIGCONT)
        machine.is_busy = False

    def _choose_calm(self) -> Machine | None:
        calm = [
            each
            for each in self._fleet.machines
            if each.is_node_running() and not (each.is_busy or each.is_gone)
        ]
        return self._random.choice(calm) if calm else None

    # Store

    async def _interrupt_store(self) -> None:
        disturbance = Disturbance(begins_at=time.monotonic())
        self.store_disturbances.append(disturbance)
        store = self._fleet.store
        store.refused_hosts |= {each.host for each in self._fleet.machines}
        longest = self._scenario.outage_seconds
        await asyncio.sleep(self._random.uniform(longest / 4, longest))
        store.refused_hosts.clear()
        disturbance.ends_at = time.monotonic()

    async def _refuse_some(self) -> None:
        machine = self._choose_calm()
        if machine is None:
            return
        machine.begin_disturbance()
        self._fleet.store.refused_hosts.add(machine.host)
        await asyncio.sleep(self._random.uniform(1, LONGEST_OUTAGE_SECONDS))
        self._fleet.store.refused_hosts.discard(machine.host)
        machine.end_disturbance()

    async def _drop_history(self) -> None:
        self._fleet.store.drop_history()

    async def _silence_watches(self) -> None:
        self._fleet.store.is_silent = True
        await asyncio.sleep(
            self._random.uniform(
                SHORTEST_SILENCE_SECONDS, LONGEST_SILENCE_SECONDS
            )
        )
        self._fleet.store.is_silent = False

    async def _publish_storm(self) -> None:
        for _version in range(STORM_VERSIONS):
            await self._fleet.publish_version()
            await asyncio.sleep(STORM_GAP_SECONDS)
