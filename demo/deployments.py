"""The two deployments of the demo: data centres, services and load."""

from __future__ import annotations

from types import MappingProxyType
from typing import Final

from msgspec import Struct

from standins.caller import WorkClass
from standins.fleet import Placement


class Deployment(Struct, frozen=True, kw_only=True):
    """A deployment to demonstrate.

    Attributes:
        title: title to print.
        mesh_file: path of the mesh configuration.
        placement: services and data centres.
        latency_ms: one-way latency of callers.
        spread: distribution setting of the nodes.
        mix: classes of requests that callers send.
        file_change: text in the mesh file and its replacement.
    """

    title: str
    mesh_file: str
    placement: Placement
    latency_ms: float
    spread: str
    mix: tuple[WorkClass, ...]
    file_change: tuple[str, str]


HAILMARK: Final = Deployment(
    title='Hailmark Claims Mesh, Midlands',
    mesh_file='examples/hailmark.toml',
    placement=Placement(
        region='midlands',
        data_centres=('leicester-a', 'leicester-b', 'coventry', 'derby'),
        services={'intake': 6, 'casefiles': 6},
    ),
    latency_ms=1,
    spread='prompt',
    mix=(
        WorkClass(
            name='casefiles/field-lookup',
            method='GET',
            path='/files/{}',
            target_ms=150,
            idempotent=True,
            weight=6,
        ),
        WorkClass(
            name='intake/status-check',
            method='GET',
            path='/claims/{}/status',
            target_ms=300,
            idempotent=True,
            weight=4,
        ),
        WorkClass(
            name='intake/tarp-booking',
            method='POST',
            path='/claims/{}/tarp',
            target_ms=800,
            idempotent=False,
            weight=3,
            body_bytes=400,
        ),
        WorkClass(
            name='casefiles/report',
            method='GET',
            path='/reports/insurer/{}',
            target_ms=4000,
            idempotent=True,
            weight=2,
        ),
    ),
    file_change=('within_ms = 150', 'within_ms = 140'),
)

PUERTAS: Final = Deployment(
    title='Wagtaildale Mesh for Gate Allocation Services',
    mesh_file='examples/puertas.toml',
    placement=Placement(
        region='mvd',
        data_centres=('hall-norte', 'hall-sur', 'hall-apron'),
        services={'asignador': 5, 'planilla': 7},
    ),
    latency_ms=8,
    spread='frugal',
    mix=(
        WorkClass(
            name='asignador/gate-board',
            method='GET',
            path='/boards/{}',
            target_ms=150,
            idempotent=True,
            weight=6,
        ),
        WorkClass(
            name='asignador/gate-assignment',
            method='POST',
            path='/gates/{}/assignments',
            target_ms=600,
            idempotent=False,
            weight=3,
            body_bytes=300,
        ),
        WorkClass(
            name='planilla/stand-availability',
            method='GET',
            path='/stands/{}/availability',
            target_ms=80,
            idempotent=True,
            weight=4,
        ),
        WorkClass(
            name='planilla/schedule',
            method='GET',
            path='/schedules/week/{}',
            target_ms=3000,
            idempotent=True,
            weight=2,
        ),
    ),
    file_change=('within_ms = 150', 'within_ms = 140'),
)

DEPLOYMENTS: Final = MappingProxyType(
    {'hailmark': HAILMARK, 'puertas': PUERTAS},
)
