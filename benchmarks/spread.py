"""Measures distribution: convergence time, control bytes, platform reads."""

from __future__ import annotations

import time
from pathlib import Path
from typing import TYPE_CHECKING, Final

from msgspec import Struct

from benchmarks.measurements import Measurement, find_percentile
from standins.fleet import Fleet, FleetOptions, Placement
from standins.invariants import gather_events
from wagtaildale.configuration.compiled import Compiled, compile_mesh
from wagtaildale.configuration.files import parse_mesh
from wagtaildale.telemetry.clock import read_milliseconds
from wagtaildale.telemetry.events import EventKind

if TYPE_CHECKING:
    from collections.abc import Iterator

MESH_FILE: Final = Path('examples/hailmark.toml')
SIZES: Final = (6, 12, 30, 100)
DATA_CENTRES: Final = ('leicester-a', 'leicester-b', 'coventry')
CHANGES: Final = 5
CHANGE_SECONDS: Final = 1.5
IDLE_SECONDS: Final = 10.0
SETTLE_SECONDS: Final = 20.0
MILLISECONDS: Final = 1000
MEDIAN: Final = 50
MAXIMUM: Final = 100


class ControlCosts(Struct, frozen=True, kw_only=True):
    """Cumulative cost of control traffic in a fleet.

    Attributes:
        read_at: monotonic time of the reading, seconds.
        transferred_bytes: bytes sent and received by all nodes, including
            those read from the platform.
        cpu_seconds: processor time of all nodes.
        reads: number of reads of the platform.
    """

    read_at: float
    transferred_bytes: int
    cpu_seconds: float
    reads: int


class Rates(Struct, frozen=True, kw_only=True):
    """Cost of control traffic and convergence times.

    Attributes:
        bytes_per_second: bytes sent and received by a node while idle.
        cpu_share: share of a core used by a node while idle.
        reads_per_second: platform reads of the whole fleet while idle.
        resident_mb: resident memory of the largest node.
        convergence_ms: time until each node applied each change.
        bytes_per_change: bytes sent and received by a node for a change,
            above the idle rate.
    """

    bytes_per_second: float
    cpu_share: float
    reads_per_second: float
    resident_mb: float
    convergence_ms: list[float]
    bytes_per_change: float


def measure_spread(
    *,
    sizes: tuple[int, ...] = SIZES,
    spread: str = 'prompt',
) -> Iterator[Measurement]:
    """Measure fleets of several sizes with ``direct`` mode as baseline.

    Args:
        sizes: number of nodes of each fleet.
        spread: distribution setting to measure.

    Yields:
        Convergence, bytes, reads, processor time and memory by size.
    """
    for nodes in sizes:
        rates = measure_fleet(nodes, spread=spread)
        baseline_rates = measure_fleet(nodes, spread='direct')
        yield from _compare(nodes, rates, baseline_rates)


def place_nodes(nodes: int) -> Placement:
    """Place nodes of two services in three data centres.

    Args:
        nodes: number of nodes.

    Returns:
        The placement, half of the nodes for each service.
    """
    return Placement(
        region='midlands',
        data_centres=DATA_CENTRES,
        services={'intake': nodes // 2, 'casefiles': nodes - nodes // 2},
    )


def measure_fleet(nodes: int, *, spread: str) -> Rates:
    """Measure one fleet, idle and while changes are published.

    Args:
        nodes: number of nodes.
        spread: distribution setting.

    Returns:
        Costs and convergence times.
    """
    options = FleetOptions(spread=spread, log_level='error')
    return measure_fleet_with_options(nodes, options=options)


def measure_fleet_with_options(nodes: int, *, options: FleetOptions) -> Rates:
    """Measure one fleet with given options.

    Args:
        nodes: number of nodes.
        options: settings of the fleet.

    Returns:
        Costs and convergence times.
    """
    with Fleet(place_nodes(nodes), options=options) as fleet:
        fleet.start(compile_version(1))
        time.sleep(CHANGE_SECONDS * 2)
        before_idle = _read_control_costs(fleet)
        time.sleep(IDLE_SECONDS)
        after_idle = _read_control_costs(fleet)
        convergence_ms = [
            each
            for version in range(2, 2 + CHANGES)
            for each in measure_change(fleet, version)
        ]
        after_changes = _read_control_costs(fleet)
        return _compute_rates(
            fleet, (before_idle, after_idle, after_changes), convergence_ms
        )


def compile_version(version: int) -> Compiled:
    """Compile a version that differs from all others in one target.

    Args:
        version: version number.

    Returns:
        Manifest and parts to publish.
    """
    text = MESH_FILE.read_text(encoding='utf-8')
    text = text.replace('within_ms = 150', f'within_ms = {100 + version}')
    mesh = parse_mesh(text, name=MESH_FILE.name).unwrap()
    return compile_mesh(mesh, version=version).unwrap()


def measure_change(fleet: Fleet, version: int) -> list[float]:
    """Publish a version and measure when each running node applied it.

    Args:
        fleet: running fleet.
        version: version number.

    Returns:
        Milliseconds until each node applied the version.

    Raises:
        TimeoutError: if a node does not apply it in time.
    """
    running = [node for node in fleet.nodes if node.is_running()]
    published = time.time() * MILLISECONDS
    fleet.platform.publish(compile_version(version))
    deadline = time.monotonic() + SETTLE_SECONDS
    applied: dict[str, float] = {}
    while len(applied) < len(running):
        if time.monotonic() > deadline:
            raise TimeoutError(
                f'{len(applied)} of {len(running)} nodes applied the version',
            )
        time.sleep(CHANGE_SECONDS)
        applied = {
            event.node: read_milliseconds(event.stamp) - published
            for event in gather_events(running)
            if event.kind is EventKind.version_applied
            and event.version == version
        }
    return list(applied.values())


def _read_control_costs(fleet: Fleet) -> ControlCosts:
    reports = [node.report() for node in fleet.nodes if node.is_running()]
    known = [report for report in reports if report is not None]
    node_bytes = 2 * sum(report.control.sent_bytes for report in known)
    return ControlCosts(
        read_at=time.monotonic(),
        transferred_bytes=node_bytes + fleet.platform.counts.answered_bytes,
        cpu_seconds=sum(report.cpu_seconds for report in known),
        reads=fleet.platform.counts.reads,
    )


def _compute_rates(
    fleet: Fleet,
    costs: tuple[ControlCosts, ControlCosts, ControlCosts],
    convergence_ms: list[float],
) -> Rates:
    before_idle, after_idle, after_changes = costs
    nodes = len(fleet.nodes)
    seconds = after_idle.read_at - before_idle.read_at
    idle_bytes = (
        after_idle.transferred_bytes - before_idle.transferred_bytes
    ) / nodes
    change_bytes = (
        after_changes.transferred_bytes - after_idle.transferred_bytes
    ) / nodes
    extra_bytes = change_bytes - idle_bytes / seconds * (
        after_changes.read_at - after_idle.read_at
    )
    reports = (node.report() for node in fleet.nodes)
    return Rates(
        bytes_per_second=idle_bytes / seconds,
        cpu_share=(after_idle.cpu_seconds - before_idle.cpu_seconds)
        / seconds
        / nodes,
        reads_per_second=(after_idle.reads - before_idle.reads) / seconds,
        resident_mb=max(
            report.resident_bytes / 1e6 for report in reports if report
        ),
        convergence_ms=convergence_ms,
        bytes_per_change=extra_bytes / CHANGES,
    )


def _compare(
    nodes: int, rates: Rates, baseline_rates: Rates
) -> Iterator[Measurement]:
    for percent in (MEDIAN, MAXIMUM):
        yield Measurement(
            name=f'convergence_p{percent}_ms',
            amount=find_percentile(rates.convergence_ms, percent=percent),
            unit='ms',
            nodes=nodes,
            baseline='direct',
            baseline_amount=find_percentile(
                baseline_rates.convergence_ms,
                percent=percent,
            ),
        )
    units = {
        'bytes_per_second': ('control_bytes_per_node_second', 'B/s'),
        'bytes_per_change': ('control_bytes_per_node_change', 'B'),
        'cpu_share': ('control_cpu_share_per_node', 'core'),
        'reads_per_second': ('source_reads_per_second', '1/s'),
        'resident_mb': ('node_resident_mb', 'MB'),
    }
    for attribute, (name, unit) in units.items():
        yield Measurement(
            name=name,
            amount=getattr(rates, attribute),
            unit=unit,
            nodes=nodes,
            baseline='direct',
            baseline_amount=getattr(baseline_rates, attribute),
        )
