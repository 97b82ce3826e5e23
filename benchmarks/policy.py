"""Whether each class meets its target: our policy against plain round robin.

The baseline is the same program with admission, reservations and hedges
switched off and every upstream taken in turn.
"""

from __future__ import annotations

import time
from pathlib import Path
from typing import TYPE_CHECKING, Final

from msgspec import Struct

from benchmarks.figures import Figure
from demo.deployments import HAILMARK
from standins.backend import BackendFaults
from standins.caller import WorkCounts
from standins.fleet import Fleet, FleetOptions, Placement
from standins.load import Load, LoadPlan
from wagtaildale.configuration.compiled import compile_mesh
from wagtaildale.configuration.files import read_mesh

if TYPE_CHECKING:
    from collections.abc import Iterator

MESH_FILE: Final = Path('examples/hailmark.toml')
SERVICE_MS: Final = 80
SLOTS: Final = 4
PER_SERVICE: Final = 3
CALLERS: Final = 48
# Capacity is 2 services x 3 servers x 4 slots / 80 ms = 300 a second.
USUAL_RATE: Final = 150.0
SETTLE_SECONDS: Final = 1.0
PERCENT: Final = 100
PLAIN: Final = """
[calls]
choice = "round-robin"
admits = false
reserves = false
hedges = false
"""
ROLLING_RATE: Final = 100.0


class Shares(Struct, frozen=True, kw_only=True):
    """Share of calls within target, by class, in three situations."""

    usual: dict[str, WorkCounts]
    doubled: dict[str, WorkCounts]
    third_lost: dict[str, WorkCounts]


def measure_policy(*, seconds: float) -> Iterator[Figure]:
    """Measure our policy and the baseline.

    Args:
        seconds: for each situation.

    Yields:
        Share in target by class and situation.
    """
    ours = _measure_fleet('', seconds)
    plain = _measure_fleet(PLAIN, seconds)
    for situation in Shares.__struct_fields__:
        mine: dict[str, WorkCounts] = getattr(ours, situation)
        theirs: dict[str, WorkCounts] = getattr(plain, situation)
        for name in sorted(mine):
            yield Figure(
                name=f'in_target_percent_{situation}_{name}',
                amount=_find_share(mine[name]),
                unit='percent',
                nodes=2 * PER_SERVICE,
                baseline='round-robin-no-admission',
                baseline_amount=_find_share(theirs[name]),
            )


def measure_rolling_restart() -> Iterator[Figure]:
    """Restart every node in turn under load.

    Yields:
        Calls that had no good answer, against all calls sent.
    """
    with _start_fleet('', service_ms=5) as fleet:
        load = _start_load(fleet, ROLLING_RATE)
        for node in fleet.nodes:
            node.terminate()
            node.wait()
            node.start(fleet.options)
            fleet.wait_ready([node])
        time.sleep(SETTLE_SECONDS)
        counts = load.stop()
        nodes = len(fleet.nodes)
    sent = sum(each.sent for each in counts.values())
    lost = sum(each.sent - each.answered for each in counts.values())
    yield Figure(
        name='rolling_restart_calls_lost',
        amount=lost,
        unit='calls',
        nodes=nodes,
        baseline='calls_sent',
        baseline_amount=sent,
    )


def _measure_fleet(calls: str, seconds: float) -> Shares:
    with _start_fleet(calls, service_ms=SERVICE_MS) as fleet:
        usual = _run_load(fleet, USUAL_RATE, seconds)
        doubled = _run_load(fleet, 2 * USUAL_RATE, seconds)
        for node in fleet.nodes[::PER_SERVICE]:
            node.kill()
        third_lost = _run_load(fleet, USUAL_RATE, seconds)
    return Shares(usual=usual, doubled=doubled, third_lost=third_lost)


def _start_fleet(calls: str, *, service_ms: float) -> Fleet:
    placement = Placement(
        region='midlands',
        data_centres=('leicester-a', 'derby'),
        services={'intake': PER_SERVICE, 'casefiles': PER_SERVICE},
    )
    options = FleetOptions(
        backend=BackendFaults(service_ms=service_ms, slots=SLOTS),
        log_level='error',
        more_settings=calls,
    )
    fleet = Fleet(placement, options=options)
    mesh = read_mesh(MESH_FILE).unwrap()
    fleet.start(compile_mesh(mesh, version=1).unwrap())
    return fleet


def _start_load(fleet: Fleet, rate: float) -> Load:
    plan = LoadPlan(
        mix=HAILMARK.mix,
        callers=CALLERS,
        calls_per_second=rate,
    )
    entries = [
        (node.record.host, node.record.entry_port)
        for node in fleet.nodes
        if node.is_running()
    ]
    return Load(plan, entries=entries)


def _run_load(
    fleet: Fleet,
    rate: float,
    seconds: float,
) -> dict[str, WorkCounts]:
    load = _start_load(fleet, rate)
    time.sleep(seconds)
    return load.stop()


def _find_share(counts: WorkCounts) -> float:
    return PERCENT * counts.in_time / max(1, counts.sent)
