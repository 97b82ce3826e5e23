"""The two deployments of the brief: places, services, callers' mix."""

from __future__ import annotations

from types import MappingProxyType
from typing import Final

from msgspec import Struct

from standins.caller import Work
from standins.fleet import Placement


class Deployment(Struct, frozen=True, kw_only=True):
    """One deployment.

    Attributes:
        title: for people.
        mesh_file: the operators' file.
        placement: data centres and services.
        latency_ms: one way from callers.
        spread: what it weighs more.
        mix: what callers ask for.
        changed: a text of the file and what a change makes of it.
    """

    title: str
    mesh_file: str
    placement: Placement
    latency_ms: float
    spread: str
    mix: tuple[Work, ...]
    changed: tuple[str, str]


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
        Work(
            name='casefiles/field-lookup',
            method='GET',
            path='/files/{}',
            within_ms=150,
            idempotent=True,
            weight=6,
        ),
        Work(
            name='intake/status-check',
            method='GET',
            path='/claims/{}/status',
            within_ms=300,
            idempotent=True,
            weight=4,
        ),
        Work(
            name='intake/tarp-booking',
            method='POST',
            path='/claims/{}/tarp',
            within_ms=800,
            idempotent=False,
            weight=3,
            body_bytes=400,
        ),
        Work(
            name='casefiles/report',
            method='GET',
            path='/reports/insurer/{}',
            within_ms=4000,
            idempotent=True,
            weight=2,
        ),
    ),
    changed=('within_ms = 150', 'within_ms = 140'),
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
        Work(
            name='asignador/gate-board',
            method='GET',
            path='/boards/{}',
            within_ms=150,
            idempotent=True,
            weight=6,
        ),
        Work(
            name='asignador/gate-assignment',
            method='POST',
            path='/gates/{}/assignments',
            within_ms=600,
            idempotent=False,
            weight=3,
            body_bytes=300,
        ),
        Work(
            name='planilla/stand-availability',
            method='GET',
            path='/stands/{}/availability',
            within_ms=80,
            idempotent=True,
            weight=4,
        ),
        Work(
            name='planilla/schedule',
            method='GET',
            path='/schedules/week/{}',
            within_ms=3000,
            idempotent=True,
            weight=2,
        ),
    ),
    changed=('within_ms = 150', 'within_ms = 140'),
)

DEPLOYMENTS: Final = MappingProxyType(
    {'hailmark': HAILMARK, 'puertas': PUERTAS},
)
