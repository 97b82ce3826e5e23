"""Builders of test data; each takes only what a test is about."""

from __future__ import annotations

from typing import Final

from msgspec import json

from wagtaildale.admission.gate import Gate
from wagtaildale.admission.state import make_admission
from wagtaildale.calls.budgets import RetryLimits
from wagtaildale.configuration.compiled import Compiled, compile_mesh
from wagtaildale.configuration.files import parse_mesh
from wagtaildale.configuration.model import MeshEntry, Part, Route, WorkClass
from wagtaildale.document.model import Document, make_document
from wagtaildale.membership.records import (
    InstanceList,
    InstanceRecord,
    encode_list,
)
from wagtaildale.telemetry.events import EventRecorder
from wagtaildale.timers.alarms import Alarms
from wagtaildale.types import (
    ClassName,
    DataCentre,
    Incarnation,
    InstanceId,
    Kind,
    ListedState,
    Region,
    ServiceName,
    TeamName,
    Version,
)

MESH_TEXT: Final = """
name = "Test Mesh"

[[services]]
name = "casefiles"
team = "field"

[[services.classes]]
name = "lookup"
methods = ["GET"]
path = "/files/{claim}"
idempotent = true
target = { within_ms = 150, percent = 99 }
deadline_ms = 1000

[[services.classes]]
name = "booking"
methods = ["POST"]
path = "/bookings"
idempotent = false
target = { within_ms = 800, percent = 99 }
deadline_ms = 2000
"""
ENTRY_PORT: Final = 8080
OWNER_PORT: Final = 8081
CONTROL_PORT: Final = 8082
ADMIN_PORT: Final = 8083
SLOTS: Final = 4


def build_recorder(node: str = 'a') -> EventRecorder:
    """Build a recorder that only keeps its ring.

    Args:
        node: instance id.

    Returns:
        The recorder.
    """
    return EventRecorder(InstanceId(node), Incarnation(1))


def build_gate(slots: int = SLOTS) -> Gate:
    """Build an open gate whose alarms nobody rings.

    Args:
        slots: of its backend server.

    Returns:
        The gate.
    """
    return Gate(make_admission(slots), alarms=Alarms())


def build_mesh(text: str = MESH_TEXT) -> MeshEntry:
    """Build a checked operators' file.

    Args:
        text: TOML.

    Returns:
        The mesh.
    """
    return parse_mesh(text, name='mesh.toml').unwrap()


def build_compiled(version: int = 1, *, text: str = MESH_TEXT) -> Compiled:
    """Build a manifest with its parts.

    Args:
        version: its version.
        text: TOML.

    Returns:
        What would be published.
    """
    return compile_mesh(build_mesh(text), version=version).unwrap()


def build_part(
    service: str = 'casefiles',
    *,
    within_ms: int = 150,
    routed_to: str | None = None,
    work_class: str = 'lookup',
) -> bytes:
    """Build the bytes of a part with one class and one route.

    Args:
        service: its service.
        within_ms: target of its class.
        routed_to: the service that its route names, its own if left out.
        work_class: the class that its route names.

    Returns:
        JSON.
    """
    part = Part(
        service=ServiceName(service),
        team=TeamName('field'),
        classes=(
            WorkClass(
                name=ClassName('lookup'),
                idempotent=True,
                within_ms=within_ms,
                percent=99,
                deadline_ms=1000,
            ),
        ),
        routes=(
            Route(
                methods=('GET',),
                path=f'/{service}/{{key}}',
                service=ServiceName(routed_to or service),
                work_class=ClassName(work_class),
            ),
        ),
    )
    return json.encode(part)


def build_configuration(
    version: int = 1,
    *,
    services: tuple[str, ...] = ('casefiles',),
    within_ms: int = 150,
) -> Document:
    """Build a configuration document.

    Args:
        version: its version.
        services: one part for each.
        within_ms: target of the classes.

    Returns:
        The document.
    """
    return make_document(
        Kind.configuration,
        version=Version(version),
        blobs={
            name: build_part(name, within_ms=within_ms) for name in services
        },
    )


def build_record(
    instance: str = 'a',
    *,
    service: str = 'casefiles',
    data_centre: str = 'derby',
    host: str = '127.0.0.1',
    state: ListedState = ListedState.live,
) -> InstanceRecord:
    """Build an instance's record.

    Args:
        instance: its id.
        service: it runs.
        data_centre: where it stands.
        host: its IP number.
        state: as listed.

    Returns:
        The record.
    """
    return InstanceRecord(
        instance=InstanceId(instance),
        service=ServiceName(service),
        data_centre=DataCentre(data_centre),
        region=Region('midlands'),
        host=host,
        entry_port=ENTRY_PORT,
        owner_port=OWNER_PORT,
        control_port=CONTROL_PORT,
        admin_port=ADMIN_PORT,
        state=state,
    )


def build_retry_limits(*, slack: float) -> RetryLimits:
    """Build an entry's share of repeats.

    Args:
        slack: repeats beyond those that requests earn.

    Returns:
        A share that earns a repeat with every fifth request.
    """
    return RetryLimits(
        tokens_per_request=0.2,
        token_lifetime_seconds=10.0,
        slack=slack,
        slack_period_seconds=100.0,
    )


def build_instances(
    *records: InstanceRecord,
    version: int = 1,
) -> Document:
    """Build an instance document.

    Args:
        records: who is listed.
        version: the list's index.

    Returns:
        The document.
    """
    listing = InstanceList(index=version, instances=records)
    return make_document(
        Kind.instances,
        version=Version(version),
        blobs=encode_list(listing),
    )
