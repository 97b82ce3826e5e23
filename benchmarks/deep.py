"""Calls that lead to calls, up to 11 deep."""

from __future__ import annotations

from pathlib import Path
from typing import TYPE_CHECKING, Final

from benchmarks.figures import Figure, find_percentile
from benchmarks.pinger import Line
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


def measure_deep() -> Iterator[Figure]:
    """Measure one request that leads to ten more, one after the other.

    Yields:
        What the mesh adds, against as many calls straight to a backend
        server.
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
        line = Line((record.host, record.entry_port))
        deep = _measure(line, DEPTH - 1)
        direct = _measure(Line((record.host, BACKEND_PORT)), 0)
    for percent in (MEDIAN, TAIL):
        base = DEPTH * find_percentile(direct, percent=percent)
        spent = find_percentile(deep, percent=percent)
        yield Figure(
            name=f'added_call_p{percent}_ms_{DEPTH}_deep',
            amount=(spent - base) * MILLISECONDS,
            unit='ms',
            nodes=NODES,
            baseline=f'direct_times_{DEPTH}',
            baseline_amount=base * MILLISECONDS,
        )


def _measure(line: Line, left: int) -> list[float]:
    request = b'GET /chain/%d HTTP/1.1\r\nhost: mesh\r\n\r\n' % left
    spent = [line.call(request) for _call in range(WARM_UP + CALLS)]
    return spent[WARM_UP:]
