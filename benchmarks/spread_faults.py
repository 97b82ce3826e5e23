"""Measures distribution under faults, and platform reads on mass restart."""

from __future__ import annotations

import os
import time
from typing import TYPE_CHECKING, Final

from benchmarks.faulty_node import LOSS_VARIABLE
from benchmarks.measurements import Measurement, find_percentile
from benchmarks.spread import compile_version, measure_change, place_nodes
from standins.fleet import Fleet, FleetOptions

if TYPE_CHECKING:
    from collections.abc import Iterator

LOSS_SHARE: Final = 0.05
LOSSY_CHANGES: Final = 4
KILLS: Final = 2
SETTLE_SECONDS: Final = 3.0
MAXIMUM: Final = 100


def measure_faults(
    nodes: int, *, spread: str = 'prompt'
) -> Iterator[Measurement]:
    """Measure one fleet size under each fault.

    Args:
        nodes: number of nodes in the fleet.
        spread: distribution setting to measure.

    Yields:
        Convergence with lost messages and with all readers killed, and
        platform reads on a mass restart, with ``direct`` as baseline.
    """
    lossy = measure_lossy_changes(nodes, spread=spread)
    yield _make_measurement(
        'convergence_p100_ms_loss_5pct',
        find_percentile(lossy, percent=MAXIMUM),
        nodes,
        find_percentile(
            measure_lossy_changes(nodes, spread='direct'), percent=MAXIMUM
        ),
    )
    options = FleetOptions(spread=spread, log_level='error')
    with Fleet(place_nodes(nodes), options=options) as fleet:
        fleet.start(compile_version(1))
        time.sleep(SETTLE_SECONDS)
        killed_ms = max(
            _measure_reader_kill(fleet, kill) for kill in range(KILLS)
        )
        peak, ready_seconds = measure_mass_restart(fleet)
    direct = FleetOptions(spread='direct', log_level='error')
    with Fleet(place_nodes(nodes), options=direct) as fleet:
        fleet.start(compile_version(1))
        time.sleep(SETTLE_SECONDS)
        base_peak, base_ready_seconds = measure_mass_restart(fleet)
    yield _make_measurement(
        'convergence_p100_ms_readers_killed', killed_ms, nodes, 0
    )
    yield _make_measurement(
        'restart_reads_peak_per_second', peak, nodes, base_peak
    )
    yield _make_measurement(
        'restart_seconds_to_ready', ready_seconds, nodes, base_ready_seconds
    )


def measure_lossy_changes(nodes: int, *, spread: str) -> list[float]:
    """Measure changes while messages between nodes are lost.

    Args:
        nodes: number of nodes in the fleet.
        spread: distribution setting.

    Returns:
        Milliseconds until each node applied each change.
    """
    os.environ[LOSS_VARIABLE] = str(LOSS_SHARE)
    options = FleetOptions(
        spread=spread,
        log_level='error',
        program='benchmarks.faulty_node',
    )
    with Fleet(place_nodes(nodes), options=options) as fleet:
        fleet.start(compile_version(1))
        time.sleep(SETTLE_SECONDS)
        return [
            each
            for version in range(2, 2 + LOSSY_CHANGES)
            for each in measure_change(fleet, version)
        ]


def measure_mass_restart(fleet: Fleet) -> tuple[float, float]:
    """Kill all nodes, start them again and count the platform reads.

    Args:
        fleet: running fleet.

    Returns:
        Most reads within a second, and seconds until all nodes are ready.
    """
    for node in fleet.nodes:
        node.kill()
    started_at = time.monotonic()
    for node in fleet.nodes:
        node.start(fleet.options)
    fleet.wait_ready(fleet.nodes)
    seconds = time.monotonic() - started_at
    reads = fleet.platform.counts.by_second
    peak = max(
        count for second, count in reads.items() if second >= int(started_at)
    )
    return float(peak), seconds


def _measure_reader_kill(fleet: Fleet, number: int) -> float:
    running = [(node, node.report()) for node in fleet.nodes]
    readers = [node for node, report in running if report and report.reader]
    for reader in readers:
        reader.kill()
    slowest_ms = max(measure_change(fleet, number + 2))
    for reader in readers:
        reader.start(fleet.options)
    fleet.wait_ready(readers)
    time.sleep(SETTLE_SECONDS)
    return slowest_ms


def _make_measurement(
    name: str,
    amount: float,
    nodes: int,
    baseline: float,
) -> Measurement:
    unit = 'ms' if '_ms' in name else '1/s'
    return Measurement(
        name=name,
        amount=amount,
        unit='s' if 'seconds' in name else unit,
        nodes=nodes,
        baseline='direct',
        baseline_amount=baseline,
    )
