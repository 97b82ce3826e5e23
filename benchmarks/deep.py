"""Measures chains of nested calls, 11 deep."""

from __future__ import annotations

from pathlib import Path
from typing import TYPE_CHECKING, Final

from benchmarks.measurements import Measurement, find_percentile
from benchmarks.pinger import Connection
from standins.backend import BackendFaults
from standins.fleet import BACKEND_PORT, Fleet, FleetOptions, Placement
from wagtaildale.configuration.compiled import compile_mesh
from wagtaildale.configuration.files import read_mesh

if TYPE_CHECKING:
    from collections.abc import Iterator

MESH_FILE: Final = Path('benchmarks/deep.toml')
NODES: Final = 12
DEPTH: Final = 11
CALLS: Final = 400
WARM_UP: Final = 150
MILLISECONDS: Final = 1000
MEDIAN: Final = 50
TAIL: Final = 99


def measure_call_chain() -> Iterator[Measurement]:
    """Measure a request that causes a chain of ten onward calls.

    Yields:
        Latency added by the mesh, with the same number of direct calls to a
        backend server as baseline.
    """
    placement = Placement(
        region='midlands',
        data_centres=('derby', 'coventry'),
        services={'chain': NODES},
    )
    options = FleetOptions(
        backend=BackendFaults(service_ms=0, slots=64),
        log_level='error',
    )
    mesh = read_mesh(MESH_FILE).unwrap()
    with Fleet(placement, options=options) as fleet:
        fleet.start(compile_mesh(mesh, version=1).unwrap())
        record = fleet.records[0]
        connection = Connection((record.host, record.entry_port))
        deep = _measure(connection, DEPTH - 1)
        direct = _measure(Connection((record.host, BACKEND_PORT)), 0)
    for percent in (MEDIAN, TAIL):
        base = DEPTH * find_percentile(direct, percent=percent)
        elapsed = find_percentile(deep, percent=percent)
        yield Measurement(
            name=f'added_call_p{percent}_ms_{DEPTH}_deep',
            amount=(elapsed - base) * MILLISECONDS,
            unit='ms',
            nodes=NODES,
            baseline=f'direct_times_{DEPTH}',
            baseline_amount=base * MILLISECONDS,
        )


def _measure(connection: Connection, remaining_calls: int) -> list[float]:
    request = b'GET /chain/%d HTTP/1.1\r\nhost: mesh\r\n\r\n' % remaining_calls
    elapsed = [connection.call(request) for _call in range(WARM_UP + CALLS)]
    return elapsed[WARM_UP:]
