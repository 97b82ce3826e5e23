"""Small mesh for tests, with real sockets and calls and no distribution."""

from __future__ import annotations

from concurrent.futures import Future, ThreadPoolExecutor
from typing import TYPE_CHECKING, Final

from msgspec import json, structs

from wagtaildale.admission.messages import RequestArrived, TicketId, Verdict
from wagtaildale.calls.addresses import Address
from wagtaildale.calls.dialect import DEFAULT_DIALECT, Dialect
from wagtaildale.calls.http.callers import CallerLimits
from wagtaildale.calls.owner.owner import Identity
from wagtaildale.calls.task import CallsTask
from wagtaildale.calls.task_settings import (
    CallsTaskDependencies,
    CallsTaskSettings,
)
from wagtaildale.configuration.compiled import decode_part
from wagtaildale.document.model import make_document
from wagtaildale.invariants import Invariants
from wagtaildale.routing.least_loaded import LeastLoadedChooser
from wagtaildale.routing.view import ViewHolder
from wagtaildale.telemetry.tallies import Tallies
from wagtaildale.testing.builders import (
    MESH_TEXT,
    SLOTS,
    build_compiled,
    build_instances,
    build_record,
    build_recorder,
)
from wagtaildale.testing.closing import Closing
from wagtaildale.testing.loopback import make_host
from wagtaildale.testing.suspects import SharedSuspects
from wagtaildale.types import DocumentKind, Incarnation, NodeState, Version

if TYPE_CHECKING:
    from wagtaildale.admission.gate import Gate
    from wagtaildale.calls.owner.owner import Owner
    from wagtaildale.membership.records import InstanceRecord

BACKEND_PORT: Final = 8090
STOP_TIMEOUT_SECONDS: Final = 5.0
MAX_CONNECTIONS: Final = 32
MAX_HEAD_BYTES: Final = 8192
READY_PORT: Final = 8089
MAX_BODY_BYTES: Final = 4_000_000
FAR_DEADLINE_SECONDS: Final = 1e12


class MeshNode(Closing):
    """Entry and owner of one node in front of a backend server.

    Example:
        >>> record = build_record('a', host='127.0.9.1')
        >>> with MeshNode(record) as node:
        ...     node.set_instances(record)
    """

    def __init__(
        self,
        record: InstanceRecord,
        *,
        slots: int = SLOTS,
        mesh_text: str = MESH_TEXT,
        dialect: Dialect = DEFAULT_DIALECT,
        suspects: SharedSuspects | None = None,
    ) -> None:
        """Open the ports and start the calls task in a thread.

        Args:
            record: record of the node's instance.
            slots: slots of its backend server.
            mesh_text: text of the operators' file in force; empty for a node
                that has no configuration yet.
            dialect: header fields used with callers and backend servers.
            suspects: suspected requests shared with other nodes; none if the
                node has a table of its own.
        """
        self.record = record
        self.recorder = build_recorder(record.instance)
        self.view = ViewHolder()
        self.tallies = Tallies()
        self.invariants = Invariants(self.recorder)
        self.calls = CallsTask(
            _build_settings(record, slots, dialect),
            dependencies=CallsTaskDependencies(
                identity=Identity(
                    instance=record.instance,
                    incarnation=Incarnation(1),
                ),
                view=self.view,
                tallies=self.tallies,
                recorder=self.recorder,
                invariants=self.invariants,
                states=[NodeState.ready],
                suspects=(suspects or SharedSuspects()).make_holder(),
            ),
        )
        self._executor = ThreadPoolExecutor(1)
        self.calls.bind().unwrap()
        if mesh_text:
            self.publish(mesh_text)
        self._done: Future[None] = self._executor.submit(self.calls.run)

    @property
    def entry(self) -> tuple[str, int]:
        """Host and port to which callers connect."""
        return self.record.host, self.record.entry_port

    @property
    def owner(self) -> Owner:
        """Owner of the backend server."""
        return self.calls.owner

    @property
    def gate(self) -> Gate:
        """Admission gate in front of the backend server."""
        return self.calls.owner.gate

    def publish(self, mesh_text: str, *, health_path: str = '') -> None:
        """Put an operators' file in force at this node.

        Args:
            mesh_text: text of the file.
            health_path: path of the backend servers' health checks.
        """
        compiled = build_compiled(text=mesh_text)
        document = make_document(
            DocumentKind.configuration,
            version=Version(self.view.current.version + 1),
            blobs={
                str(name): _set_health_path(blob, health_path)
                for name, blob in compiled.parts.items()
            },
        )
        self.view.replace_configuration(document)

    def set_instances(self, *records: InstanceRecord) -> None:
        """Replace the node's list of instances.

        Args:
            records: records of all instances in the new list.
        """
        self.view.replace_instances(build_instances(*records))

    def hold_slot(self, *, lease_seconds: float = 60) -> Verdict:
        """Lease a slot without sending a run message for it.

        Args:
            lease_seconds: time after which the slot is freed.

        Returns:
            The verdict of the gate.
        """
        return self.calls.loop.submit(
            lambda: self._hold_slot(lease_seconds),
        ).result(STOP_TIMEOUT_SECONDS)

    def redeem(self, ticket: TicketId) -> Verdict:
        """Start the run for which a slot is leased.

        Args:
            ticket: ticket of the lease.

        Returns:
            The verdict of the gate.
        """
        return self.calls.loop.submit(
            lambda: self.gate.redeem(ticket),
        ).result(STOP_TIMEOUT_SECONDS)

    def drain(self) -> None:
        """Drain the gate, so that the backend server takes no new requests."""
        self.calls.loop.submit(self.gate.drain).result(STOP_TIMEOUT_SECONDS)

    def close(self) -> None:
        """Close all ports and connections, as the end of a process does."""
        self.calls.stop()
        self._done.result(STOP_TIMEOUT_SECONDS)
        self._executor.shutdown(wait=True)

    def _hold_slot(self, lease_seconds: float) -> Verdict:
        verdicts: list[Verdict] = []
        arrived = RequestArrived(within_ms=1, deadline=FAR_DEADLINE_SECONDS)
        ticket = self.gate.request_slot(arrived, verdicts.append)
        self.gate.lease(ticket, seconds=lease_seconds)
        return verdicts[0]


def _set_health_path(blob: bytes, health_path: str) -> bytes:
    part = structs.replace(decode_part(blob).unwrap(), health_path=health_path)
    return json.encode(part)


def _build_settings(
    record: InstanceRecord,
    slots: int,
    dialect: Dialect,
) -> CallsTaskSettings:
    return CallsTaskSettings(
        service=record.service,
        data_centre=record.data_centre,
        entry_address=Address(record.host, record.entry_port),
        owner_address=Address(record.host, record.owner_port),
        ready_address=Address(record.host, READY_PORT),
        backend_address=Address(record.host, BACKEND_PORT),
        slots=slots,
        limits=CallerLimits(
            max_head_bytes=MAX_HEAD_BYTES,
            max_body_bytes=MAX_BODY_BYTES,
            max_connections=MAX_CONNECTIONS,
        ),
        chooser=LeastLoadedChooser(),
        dialect=dialect,
    )


def build_record_pair() -> tuple[InstanceRecord, InstanceRecord]:
    """Build the records of two instances of one service.

    Returns:
        Two records with different loopback addresses.
    """
    return (
        build_record('a', host=make_host(1)),
        build_record('b', host=make_host(2)),
    )
