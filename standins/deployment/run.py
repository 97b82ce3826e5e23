"""One run of a deployment as real processes, whose servers leave in series."""

from __future__ import annotations

import asyncio
import math
import time
from typing import TYPE_CHECKING, Final, TypeVar

from msgspec import Struct, json

from standins.deployment.disturbances import Disturber
from standins.deployment.fleet import STATUS_OK, DeploymentFleet
from standins.deployment.machines import (
    ARRIVALS_NAME,
    WORD_NAME,
    start_clients,
)
from standins.deployment.model import (
    Arrival,
    Burst,
    ClientPlan,
    LeavingWord,
    SentRequest,
)
from standins.deployment.stop_verdict import LostRequest, find_lost_requests
from standins.deployment.verdict import (
    Bounds,
    Departure,
    Evidence,
    LateRequest,
    find_late_requests,
)

if TYPE_CHECKING:
    import subprocess
    from pathlib import Path

    from standins.deployment.model import Deployment
    from standins.deployment.scenarios import Scenario

Line = TypeVar('Line')

MILLISECONDS: Final = 1000
BURST_SECONDS: Final = 4.0
STABLE_SECONDS: Final = 3.0
CALM_SECONDS: Final = 4.0


class RunPlan(Struct, frozen=True, kw_only=True):
    """Frame of a run.

    Attributes:
        scenario: load and disturbances.
        seconds: how long servers leave.
        seed: seed of all random choices.
        network: first three parts of the IP addresses.
        folder: folder of settings, logs and records.
    """

    scenario: Scenario
    seconds: float
    seed: int
    network: str
    folder: Path


class RunOutcome(Struct, frozen=True, kw_only=True):
    """What was seen in a run.

    Attributes:
        requests: requests that callers sent.
        served: requests that were answered with success.
        arrivals: requests that reached a server.
        departures: servers that left.
        late: requests that reached a server too late, the excused ones too.
        lost: requests that planned stops have cut without an excuse.
    """

    requests: int
    served: int
    arrivals: int
    departures: int
    late: tuple[LateRequest, ...]
    lost: tuple[LostRequest, ...]

    @property
    def broken(self) -> tuple[LateRequest, ...]:
        """Late requests without an excuse."""
        return tuple(each for each in self.late if not each.is_excused)


class DeploymentRun:
    """A run of a deployment."""

    def __init__(self, deployment: Deployment, plan: RunPlan) -> None:
        """Prepare a run.

        Args:
            deployment: deployment that runs.
            plan: frame of the run.
        """
        scenario = plan.scenario
        self._plan = plan
        self._fleet = DeploymentFleet(
            deployment.adapt(patience=scenario.patience, slots=scenario.slots),
            network=plan.network,
            folder=plan.folder,
            names_limits=scenario.names_limits,
        )
        self._disturber = Disturber(self._fleet, scenario, seed=plan.seed)
        self._clients: list[subprocess.Popen[bytes]] = []

    async def run(self) -> RunOutcome:
        """Start everything, let servers leave and judge.

        Returns:
            What was seen.
        """
        try:
            await self._disturb()
        finally:
            for client in self._clients:
                client.kill()
            self._fleet.close()
        return self._judge()

    async def _disturb(self) -> None:
        await self._fleet.start()
        self._start_clients()
        await asyncio.sleep(CALM_SECONDS)
        await self._disturber.run(self._plan.seconds)
        waits = (asyncio.to_thread(each.wait) for each in self._clients)
        await asyncio.gather(*waits)

    def _start_clients(self) -> None:
        begun_at = time.monotonic()
        tail = self._fleet.deployment.drain_ms / MILLISECONDS
        ends_at = begun_at + CALM_SECONDS + self._plan.seconds + tail
        bursts = _list_bursts(self._plan.scenario.burst, begun_at, ends_at)
        for number, zone in enumerate(self._fleet.deployment.zones):
            plan = self._plan_clients(number, zone, bursts, ends_at)
            self._clients.append(start_clients(plan))

    def _plan_clients(
        self, number: int, zone: str, bursts: tuple[Burst, ...], ends_at: float
    ) -> ClientPlan:
        deployment = self._fleet.deployment
        plan = self._plan
        machines = self._fleet.machines
        share = sum(each.zone == zone for each in machines) / len(machines)
        per_second = deployment.per_second * share * plan.scenario.load
        return ClientPlan(
            deployment=deployment.name,
            name=f'{zone}-{number}',
            patience=plan.scenario.patience,
            hosts_path=str(plan.folder / f'{zone}.hosts'),
            clients=round(deployment.clients * share),
            per_second=per_second,
            bursts=bursts,
            ends_at=ends_at,
            seed=plan.seed + number,
            requests_path=str(plan.folder / f'{zone}.requests'),
        )

    def _judge(self) -> RunOutcome:
        folder = self._plan.folder
        evidence = self._gather_evidence(folder)
        (folder / 'departures').write_bytes(json.encode(evidence.departures))
        bounds = Bounds(
            drain_seconds=self._fleet.deployment.drain_ms / MILLISECONDS,
            stable_seconds=STABLE_SECONDS,
        )
        sent = evidence.sent.values()
        return RunOutcome(
            requests=len(sent),
            served=sum(each.status == STATUS_OK for each in sent),
            arrivals=len(evidence.arrivals),
            departures=len(evidence.departures),
            late=tuple(find_late_requests(evidence, bounds=bounds)),
            lost=tuple(
                find_lost_requests(evidence, stable_seconds=STABLE_SECONDS)
            ),
        )

    def _gather_evidence(self, folder: Path) -> Evidence:
        words = _read_all(folder, f'*.{WORD_NAME}', LeavingWord)
        return Evidence(
            departures=[
                *self._disturber.departures,
                *map(_make_departure, words),
            ],
            arrivals=_read_all(folder, f'*.{ARRIVALS_NAME}', Arrival),
            sent={
                each.request_id: each
                for each in _read_all(folder, '*.requests', SentRequest)
            },
            disturbances={
                each.host: each.disturbances for each in self._fleet.machines
            },
            store_disturbances=self._disturber.store_disturbances,
        )


def _make_departure(word: LeavingWord) -> Departure:
    return Departure(
        instance=word.instance,
        host=word.host,
        acked_at=word.at,
        was_announced=True,
    )


def _list_bursts(
    factor: float, begun_at: float, ends_at: float
) -> tuple[Burst, ...]:
    count = math.ceil((ends_at - begun_at) / BURST_SECONDS / 2)
    begins = (
        begun_at + CALM_SECONDS + 2 * number * BURST_SECONDS
        for number in range(count)
    )
    return tuple(
        Burst(begins_at=at, ends_at=at + BURST_SECONDS, factor=factor)
        for at in begins
    )


def _read_all(folder: Path, pattern: str, kind: type[Line]) -> list[Line]:
    return [
        json.decode(line, type=kind)
        for path in folder.glob(pattern)
        for line in path.read_bytes().splitlines()
    ]
