"""Replays of servers with slow periods that report their pace."""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Final

import pytest

from wagtaildale.routing.binding import BindingPolicy, QueueAtOnce
from wagtaildale.testing.replay import (
    LoadClass,
    ReplayMesh,
    ReplayServer,
    SlowPeriods,
)
from wagtaildale.types import ServiceName

PaceReader = Callable[[], int]
ReaderFinder = Callable[[ReplayServer], PaceReader | None]
# Shows the effect of reports alone. Other policies: ``test_binding_replay``.
QUEUE_AT_ONCE: Final = QueueAtOnce()
SERVICE: Final = ServiceName('intake')
CALLS: Final = 'call'
LOOKUPS: Final = 'lookup'
DATA_CENTRES: Final = ('a', 'b', 'c', 'd')
SERVERS: Final = 28
SLOTS: Final = 3
OTHER_ENTRIES: Final = 56
SPEEDS: Final = (0.7, 1.2, 1.0, 1.7, 0.8, 1.4, 0.9)
CALL_SECONDS: Final = 0.019
LOOKUP_SECONDS: Final = 0.065
# One server in seven has slow periods.
SLOW_EVERY: Final = 7
# Share of the urgent calls within target that operators require.
MIN_SHARE_IN_TIME: Final = 0.97
SETTLE_SECONDS: Final = 4.0
# One period of the demand.
MEASURED_SECONDS: Final = 17.0


def report_nothing(_server: ReplayServer) -> None:
    """Make a server report no pace."""


def report_exactly(server: ReplayServer) -> PaceReader:
    """Make a server report its pace."""
    return server.find_true_pace


def report_constant(_server: ReplayServer) -> PaceReader:
    """Make a server always report that it is slow."""
    return lambda: 250


def report_nonsense(_server: ReplayServer) -> PaceReader:
    """Make a server report any pace."""
    return lambda: random.choice((1, 30, 100, 250, 10_000))


def build_mesh(
    *,
    load: float,
    seed: int,
    find_reader: ReaderFinder,
    policy: BindingPolicy = QUEUE_AT_ONCE,
) -> ReplayMesh:
    """Build servers of different speed, a seventh of them with slow periods.

    Args:
        load: mean load as a share of the capacity without slow periods.
        seed: seed of the random numbers.
        find_reader: finds what a server reports; see ``ReplayServer``.
        policy: binding policy of the entries.

    Returns:
        The mesh after its warm-up, with the counters reset.
    """
    slots = SERVERS * SLOTS * sum(SPEEDS) / len(SPEEDS)
    per_second = load * slots / (CALL_SECONDS + LOOKUP_SECONDS)
    call = LoadClass(
        name=CALLS,
        service=SERVICE,
        per_second=per_second,
        run_seconds=CALL_SECONDS,
        target_seconds=0.087,
        deadline_seconds=0.35,
        rank=0,
        demand_amplitude=0.55,
    )
    lookup = LoadClass(
        name=LOOKUPS,
        service=SERVICE,
        per_second=per_second,
        run_seconds=LOOKUP_SECONDS,
        target_seconds=0.257,
        deadline_seconds=1.0,
        rank=1,
        demand_amplitude=0.55,
    )
    mesh = ReplayMesh([call, lookup], seed=seed)
    mesh.binding_policy = policy
    mesh.add(
        SERVICE,
        count=SERVERS,
        data_centres=DATA_CENTRES,
        speeds=SPEEDS,
        slots=SLOTS,
    )
    servers = list(mesh.servers.values())
    # Entries beside servers of another service: an entry gets a report about
    # any one server less often than its slow periods come.
    mesh.add(
        ServiceName('other'), count=OTHER_ENTRIES, data_centres=DATA_CENTRES
    )
    for server in servers:
        server.read_pace = find_reader(server)
    SlowPeriods().schedule(servers[::SLOW_EVERY], clock=mesh.clock)
    mesh.run(SETTLE_SECONDS)
    mesh.reset_counts()
    return mesh


def measure_in_time(
    *, load: float, seed: int, find_reader: ReaderFinder
) -> dict[str, float]:
    """Measure the share of each class that is answered within its target."""
    mesh = build_mesh(load=load, seed=seed, find_reader=find_reader)
    mesh.run(MEASURED_SECONDS)
    return {
        name: outcomes.share_in_time for name, outcomes in mesh.outcomes.items()
    }


@pytest.mark.parametrize('seed', [1, 2])
def test_urgent_calls_are_in_time_despite_slow_periods(seed: int) -> None:
    """Urgent calls wait at servers that are slow at the moment."""
    shares = measure_in_time(load=0.6, seed=seed, find_reader=report_exactly)
    assert shares[CALLS] >= MIN_SHARE_IN_TIME


def test_reports_avoid_a_fifth_of_the_late_calls() -> None:
    """Entries learn of a slow period from runs, when it is over."""
    late = {
        find_reader: sum(
            1
            - measure_in_time(load=0.85, seed=seed, find_reader=find_reader)[
                CALLS
            ]
            for seed in (1, 2)
        )
        for find_reader in (report_nothing, report_exactly)
    }
    assert late[report_exactly] <= 0.8 * late[report_nothing]


@pytest.mark.parametrize('find_reader', [report_constant, report_nonsense])
def test_wrong_reports_do_not_make_calls_late(
    find_reader: ReaderFinder,
) -> None:
    """Entries and owners trust reports that run times contradict."""
    shares = measure_in_time(load=0.6, seed=1, find_reader=find_reader)
    assert shares[CALLS] >= MIN_SHARE_IN_TIME
