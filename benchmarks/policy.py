"""Compares the share of calls within target with plain round robin.

The baseline is the same program with admission, reservations and hedges
switched off and upstreams chosen in turn.
"""

from __future__ import annotations

import time
from pathlib import Path
from typing import TYPE_CHECKING, Final

from msgspec import Struct

from benchmarks.measurements import Measurement
from demo.deployments import HAILMARK
from standins.backend import BackendFaults
from standins.caller import CallCounts
from standins.fleet import Fleet, FleetOptions, Placement
from standins.load import Load, LoadPlan
from wagtaildale.configuration.compiled import compile_mesh
from wagtaildale.configuration.files import read_mesh

if TYPE_CHECKING:
    from collections.abc import Iterator

MESH_FILE: Final = Path('examples/hailmark.toml')
SERVICE_MS: Final = 80
SLOTS: Final = 4
NODES_PER_SERVICE: Final = 3
CALLERS: Final = 48
# Capacity is 2 services x 3 servers x 4 slots / 80 ms = 300 a second.
USUAL_CALLS_PER_SECOND: Final = 150.0
SETTLE_SECONDS: Final = 1.0
PERCENT: Final = 100
ROUND_ROBIN_SETTINGS: Final = """
[calls]
choice = "round-robin"
admits = false
reserves = false
hedges = false
"""
ROLLING_CALLS_PER_SECOND: Final = 100.0


class SituationCounts(Struct, frozen=True, kw_only=True):
    """Call counts by class under usual load, doubled load and node loss."""

    usual: dict[str, CallCounts]
    doubled: dict[str, CallCounts]
    third_lost: dict[str, CallCounts]


def measure_policy(*, seconds: float) -> Iterator[Measurement]:
    """Measure the default policy and the baseline.

    Args:
        seconds: duration of each situation.

    Yields:
        Share of calls within target by situation and class.
    """
    policy_situations = _measure_fleet('', seconds)
    baseline_situations = _measure_fleet(ROUND_ROBIN_SETTINGS, seconds)
    for situation in SituationCounts.__struct_fields__:
        policy_counts: dict[str, CallCounts] = getattr(
            policy_situations, situation
        )
        baseline_counts: dict[str, CallCounts] = getattr(
            baseline_situations, situation
        )
        for name in sorted(policy_counts):
            yield Measurement(
                name=f'in_target_percent_{situation}_{name}',
                amount=_compute_share_in_target(policy_counts[name]),
                unit='percent',
                nodes=2 * NODES_PER_SERVICE,
                baseline='round-robin-no-admission',
                baseline_amount=_compute_share_in_target(baseline_counts[name]),
            )


def measure_rolling_restart() -> Iterator[Measurement]:
    """Restart every node in turn under load.

    Yields:
        Calls not answered by a backend server, with all calls sent as baseline.
    """
    with _start_fleet('', service_ms=5) as fleet:
        load = _start_load(fleet, ROLLING_CALLS_PER_SECOND)
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
    yield Measurement(
        name='rolling_restart_calls_lost',
        amount=lost,
        unit='calls',
        nodes=nodes,
        baseline='calls_sent',
        baseline_amount=sent,
    )


def _measure_fleet(calls_settings: str, seconds: float) -> SituationCounts:
    with _start_fleet(calls_settings, service_ms=SERVICE_MS) as fleet:
        usual = _run_load(fleet, USUAL_CALLS_PER_SECOND, seconds)
        doubled = _run_load(fleet, 2 * USUAL_CALLS_PER_SECOND, seconds)
        for node in fleet.nodes[::NODES_PER_SERVICE]:
            node.kill()
        third_lost = _run_load(fleet, USUAL_CALLS_PER_SECOND, seconds)
    return SituationCounts(usual=usual, doubled=doubled, third_lost=third_lost)


def _start_fleet(calls_settings: str, *, service_ms: float) -> Fleet:
    placement = Placement(
        region='midlands',
        data_centres=('leicester-a', 'derby'),
        services={'intake': NODES_PER_SERVICE, 'casefiles': NODES_PER_SERVICE},
    )
    options = FleetOptions(
        backend=BackendFaults(service_ms=service_ms, slots=SLOTS),
        log_level='error',
        extra_settings=calls_settings,
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
) -> dict[str, CallCounts]:
    load = _start_load(fleet, rate)
    time.sleep(seconds)
    return load.stop()


def _compute_share_in_target(counts: CallCounts) -> float:
    return PERCENT * counts.in_time / max(1, counts.sent)
