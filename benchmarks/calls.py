"""Measures the latency that the mesh adds to a direct call."""

from __future__ import annotations

import subprocess
import sys
import time
from pathlib import Path
from typing import TYPE_CHECKING, Any, Final

from msgspec import json

from benchmarks.measurements import Measurement, find_percentile
from benchmarks.pinger import Durations, PingPlan
from standins.backend import BackendFaults
from standins.fleet import BACKEND_PORT, Fleet, FleetOptions, Placement
from wagtaildale.configuration.compiled import compile_mesh
from wagtaildale.configuration.files import read_mesh

if TYPE_CHECKING:
    from collections.abc import Iterator

    from wagtaildale.membership.records import InstanceRecord

MESH_FILE: Final = Path('examples/hailmark.toml')
SLOTS: Final = 64
RATES: Final = (1, 50, 150)
MILLISECONDS: Final = 1000
MICROSECONDS: Final = 1_000_000
MINIMUM_CALLS: Final = 200
IDLE_SECONDS: Final = 2.0
MEDIAN: Final = 50
TAIL: Final = 99
ENTRIES: Final = 2
LOOKUP_REQUEST: Final = b'GET /files/7 HTTP/1.1\r\nhost: mesh\r\n\r\n'


def measure_calls(*, seconds: float) -> Iterator[Measurement]:
    """Measure the added latency and processor time at several rates.

    The backend servers beside the entries belong to another service, so
    that every call takes both hops.

    Args:
        seconds: duration of the measurement at each rate.

    Yields:
        Processor time per call, and median and 99th percentile of the added
        latency, by rate.
    """
    placement = Placement(
        region='midlands',
        data_centres=('derby',),
        services={'intake': ENTRIES, 'casefiles': ENTRIES},
    )
    options = FleetOptions(
        backend=BackendFaults(service_ms=0, slots=SLOTS),
        log_level='error',
    )
    mesh = read_mesh(MESH_FILE).unwrap()
    with Fleet(placement, options=options) as fleet:
        fleet.start(compile_mesh(mesh, version=1).unwrap())
        for rate in RATES:
            yield from _measure_rate(fleet, rate, seconds)


def _measure_rate(
    fleet: Fleet, rate: int, seconds: float
) -> Iterator[Measurement]:
    load_seconds = max(seconds, MINIMUM_CALLS / rate)
    idle_cpu = _measure_cpu(fleet, IDLE_SECONDS)
    pingers = [
        _start_pinger(record, rate, min(load_seconds, 4 * seconds), number)
        for number, record in enumerate(fleet.records[:ENTRIES])
    ]
    cpu_before = _read_cpu(fleet)
    started_at = time.monotonic()
    measured = [_finish_pinger(pinger) for pinger in pingers]
    cpu_seconds = (
        _read_cpu(fleet)
        - cpu_before
        - idle_cpu * (time.monotonic() - started_at)
    )
    mesh = [each for durations in measured for each in durations.mesh]
    direct = [each for durations in measured for each in durations.direct]
    direct_seconds = find_percentile(direct, percent=MEDIAN)
    yield Measurement(
        name=f'node_cpu_us_per_call_at_{rate}',
        amount=cpu_seconds / len(mesh) * MICROSECONDS,
        unit='us',
        nodes=len(fleet.nodes),
        baseline='direct_p50',
        baseline_amount=direct_seconds * MICROSECONDS,
    )
    yield from _compare(mesh, direct, rate, len(fleet.nodes))


def _measure_cpu(fleet: Fleet, seconds: float) -> float:
    before = _read_cpu(fleet)
    time.sleep(seconds)
    return (_read_cpu(fleet) - before) / seconds


def _read_cpu(fleet: Fleet) -> float:
    reports = (node.report() for node in fleet.nodes)
    return sum(report.cpu_seconds for report in reports if report is not None)


def _compare(
    mesh: list[float],
    direct: list[float],
    rate: int,
    nodes: int,
) -> Iterator[Measurement]:
    for percent in (MEDIAN, TAIL):
        mesh_ms = find_percentile(mesh, percent=percent) * MILLISECONDS
        direct_ms = find_percentile(direct, percent=percent) * MILLISECONDS
        yield Measurement(
            name=f'added_call_p{percent}_ms_at_{rate}',
            amount=mesh_ms - direct_ms,
            unit='ms',
            nodes=nodes,
            baseline='direct',
            baseline_amount=direct_ms,
        )


def _start_pinger(
    record: InstanceRecord,
    rate: int,
    seconds: float,
    seed: int,
) -> subprocess.Popen[Any]:
    plan = PingPlan(
        mesh=(record.host, record.entry_port),
        direct=(record.host, BACKEND_PORT),
        request=LOOKUP_REQUEST,
        calls_per_second=rate,
        seconds=seconds,
        seed=seed,
    )
    process = subprocess.Popen(
        [sys.executable, '-m', 'benchmarks.pinger'],
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
    )
    assert process.stdin is not None
    process.stdin.write(json.encode(plan))
    process.stdin.close()
    return process


def _finish_pinger(process: subprocess.Popen[Any]) -> Durations:
    assert process.stdout is not None
    answer = process.stdout.read()
    process.wait()
    return json.decode(answer, type=Durations)
