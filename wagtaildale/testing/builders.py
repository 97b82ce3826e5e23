"""Builders of test data, with defaults for all that a test need not set."""

from __future__ import annotations

from typing import Final

from msgspec import json

from wagtaildale.admission.gate import Gate
from wagtaildale.admission.state import make_admission
from wagtaildale.calls.entry.budgets import RetryLimits
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
    DocumentKind,
    Incarnation,
    InstanceId,
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
    """Build a recorder that writes no log and only keeps its ring buffer.

    Args:
        node: instance id of the node.

    Returns:
        The recorder.
    """
    return EventRecorder(InstanceId(node), Incarnation(1))


def build_gate(slots: int = SLOTS) -> Gate:
    """Build an open gate whose alarms never fire.

    Args:
        slots: slots of its backend server.

    Returns:
        The gate.
    """
    return Gate(make_admission(slots), alarms=Alarms())


def build_mesh(text: str = MESH_TEXT) -> MeshEntry:
    """Parse and check an operators' file.

    Args:
        text: the file, in TOML.

    Returns:
        The mesh that it describes.
    """
    return parse_mesh(text, name='mesh.toml').unwrap()


def build_compiled(version: int = 1, *, text: str = MESH_TEXT) -> Compiled:
    """Build a manifest with its parts from an operators' file.

    Args:
        version: version of the manifest.
        text: the file, in TOML.

    Returns:
        The manifest and parts, as they would be published.
    """
    return compile_mesh(build_mesh(text), version=version).unwrap()


def build_part(
    service: str = 'casefiles',
    *,
    within_ms: int = 150,
    routed_to: str | None = None,
    work_class: str = 'lookup',
) -> bytes:
    """Build an encoded part with one class and one route.

    Args:
        service: service of the part.
        within_ms: target of its class, milliseconds.
        routed_to: service that the route names; the part's own by default.
        work_class: class that the route names.

    Returns:
        The part in JSON.
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
        version: version of the document.
        services: services of the document; it has one part for each.
        within_ms: target of every class, milliseconds.

    Returns:
        The document.
    """
    return make_document(
        DocumentKind.configuration,
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
        instance: instance id.
        service: service that the instance runs.
        data_centre: data centre of the instance.
        host: its IP address.
        state: state in which it is listed.

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
    """Build an entry's share of retries.

    Args:
        slack: retries beyond those that requests earn.

    Returns:
        A share that earns one retry with every fifth request.
    """
    return RetryLimits(
        tokens_per_request=0.2,
        token_lifetime_seconds=10.0,
        slack=slack,
        slack_period_seconds=100.0,
        entries=1,
    )


def build_instances(
    *records: InstanceRecord,
    version: int = 1,
) -> Document:
    """Build an instance document.

    Args:
        records: records of the listed instances.
        version: index of the list, which is also the document's version.

    Returns:
        The document.
    """
    listing = InstanceList(index=version, instances=records)
    return make_document(
        DocumentKind.instances,
        version=Version(version),
        blobs=encode_list(listing),
    )
