"""A small mesh inside a test: real sockets and calls, no distribution."""

from __future__ import annotations

from concurrent.futures import Future, ThreadPoolExecutor
from typing import TYPE_CHECKING, Final

from msgspec import json, structs

from wagtaildale.admission.messages import RequestArrived, TicketId, Verdict
from wagtaildale.calls.addresses import Address
from wagtaildale.calls.callers import CallerLimits
from wagtaildale.calls.dialect import OWN_DIALECT, Dialect
from wagtaildale.calls.owner import Identity
from wagtaildale.calls.task import CallFigures, CallsTask, CallSurroundings
from wagtaildale.configuration.compiled import decode_part
from wagtaildale.document.model import make_document
from wagtaildale.invariants import Invariants
from wagtaildale.routing.least_loaded import LeastLoaded
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
from wagtaildale.testing.suspects import SharedSuspects
from wagtaildale.types import Incarnation, Kind, NodeState, Version

if TYPE_CHECKING:
    from wagtaildale.admission.gate import Gate
    from wagtaildale.calls.owner import Owner
    from wagtaildale.membership.records import InstanceRecord

BACKEND_PORT: Final = 8090
STOP_SECONDS: Final = 5.0
CONNECTIONS: Final = 32
HEAD_BYTES: Final = 8192
BODY_BYTES: Final = 4_000_000
FAR_AWAY: Final = 1e12


class MeshNode(Closing):
    """Entry and owner of one node, in front of a backend server.

    Example:
        >>> record = build_record('a', host='127.0.9.1')
        >>> with MeshNode(record) as node:
        ...     node.show(record)
    """

    def __init__(
        self,
        record: InstanceRecord,
        *,
        slots: int = SLOTS,
        mesh_text: str = MESH_TEXT,
        dialect: Dialect = OWN_DIALECT,
        suspects: SharedSuspects | None = None,
    ) -> None:
        """Open the ports.

        Args:
            record: the node's instance.
            slots: of its backend server.
            mesh_text: the operators' file in force; empty for a node that
                has none yet.
            dialect: how callers and backend servers are spoken to.
            suspects: what it shares with other nodes; nothing if it is
                alone.
        """
        self.record = record
        self.recorder = build_recorder(record.instance)
        self.view = ViewHolder()
        self.tallies = Tallies()
        self.invariants = Invariants(self.recorder)
        self.calls = CallsTask(
            _make_figures(record, slots, dialect),
            around=CallSurroundings(
                identity=Identity(
                    instance=record.instance,
                    incarnation=Incarnation(1),
                ),
                view=self.view,
                tallies=self.tallies,
                recorder=self.recorder,
                invariants=self.invariants,
                states=[NodeState.ready],
                suspects=(suspects or SharedSuspects()).make_board(),
            ),
        )
        self._executor = ThreadPoolExecutor(1)
        self.calls.bind().unwrap()
        if mesh_text:
            self.publish(mesh_text)
        self._done: Future[None] = self._executor.submit(self.calls.run)

    @property
    def entry(self) -> tuple[str, int]:
        """Where callers connect."""
        return self.record.host, self.record.entry_port

    @property
    def owner(self) -> Owner:
        """The owner of its backend server."""
        return self.calls.owner

    @property
    def gate(self) -> Gate:
        """The gate in front of its backend server."""
        return self.calls.owner.gate

    def publish(self, mesh_text: str, *, health_path: str = '') -> None:
        """Put an operators' file in force at this node.

        Args:
            mesh_text: the file.
            health_path: where backend servers answer health checks.
        """
        compiled = build_compiled(text=mesh_text)
        document = make_document(
            Kind.configuration,
            version=Version(self.view.current.version + 1),
            blobs={
                str(name): _set_health_path(blob, health_path)
                for name, blob in compiled.parts.items()
            },
        )
        self.view.take_configuration(document)

    def show(self, *records: InstanceRecord) -> None:
        """Let the node know these instances.

        Args:
            records: the whole list.
        """
        self.view.take_instances(build_instances(*records))

    def hold_slot(self, *, lease_seconds: float = 60) -> Verdict:
        """Reserve a slot as an entry does that then sends nothing.

        Args:
            lease_seconds: how long it is held.

        Returns:
            The verdict of the gate.
        """
        return self.calls.loop.submit(
            lambda: self._hold_slot(lease_seconds),
        ).result(STOP_SECONDS)

    def redeem(self, ticket: TicketId) -> Verdict:
        """Begin the run for which a slot is held.

        Args:
            ticket: of the lease.

        Returns:
            The verdict of the gate.
        """
        return self.calls.loop.submit(
            lambda: self.gate.redeem(ticket),
        ).result(STOP_SECONDS)

    def drain(self) -> None:
        """Take no new work at the backend server."""
        self.calls.loop.submit(self.gate.drain).result(STOP_SECONDS)

    def close(self) -> None:
        """Close the ports and cut what is open, as a process that ends."""
        self.calls.stop()
        self._done.result(STOP_SECONDS)
        self._executor.shutdown(wait=True)

    def _hold_slot(self, lease_seconds: float) -> Verdict:
        verdicts: list[Verdict] = []
        arrived = RequestArrived(within_ms=1, deadline=FAR_AWAY)
        ticket = self.gate.request_slot(arrived, verdicts.append)
        self.gate.lease(ticket, seconds=lease_seconds)
        return verdicts[0]


def _set_health_path(blob: bytes, health_path: str) -> bytes:
    part = structs.replace(decode_part(blob), health_path=health_path)
    return json.encode(part)


def _make_figures(
    record: InstanceRecord,
    slots: int,
    dialect: Dialect,
) -> CallFigures:
    return CallFigures(
        service=record.service,
        data_centre=record.data_centre,
        entry=Address(record.host, record.entry_port),
        owner=Address(record.host, record.owner_port),
        backend=Address(record.host, BACKEND_PORT),
        slots=slots,
        limits=CallerLimits(
            head_bytes=HEAD_BYTES,
            body_bytes=BODY_BYTES,
            connections=CONNECTIONS,
        ),
        chooser=LeastLoaded(),
        dialect=dialect,
    )


def build_pair() -> tuple[InstanceRecord, InstanceRecord]:
    """Build the records of two instances of one service.

    Returns:
        On addresses of their own.
    """
    return (
        build_record('a', host='127.0.9.1'),
        build_record('b', host='127.0.9.2'),
    )
