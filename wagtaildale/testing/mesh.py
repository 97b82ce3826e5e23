"""A small mesh inside a test: real sockets and calls, no distribution."""

from __future__ import annotations

import socket
from concurrent.futures import ThreadPoolExecutor
from typing import TYPE_CHECKING, Final

from wagtaildale.admission.gate import Gate
from wagtaildale.admission.state import make_admission
from wagtaildale.calls.addresses import Address
from wagtaildale.calls.entry import Entry
from wagtaildale.calls.listener import Answerer, Listener
from wagtaildale.calls.owner import Identity, Owner
from wagtaildale.calls.owner_port import OwnerPort
from wagtaildale.calls.routed import EntryParts
from wagtaildale.document.model import make_document
from wagtaildale.invariants import Invariants
from wagtaildale.routing.book import UpstreamBook
from wagtaildale.routing.least_loaded import LeastLoaded
from wagtaildale.routing.view import ViewHolder
from wagtaildale.telemetry.tallies import Tallies
from wagtaildale.testing.builders import (
    MESH_TEXT,
    build_compiled,
    build_instances,
    build_record,
    build_recorder,
)
from wagtaildale.testing.closing import Closing
from wagtaildale.types import Incarnation, Kind, Version

if TYPE_CHECKING:
    from wagtaildale.membership.records import InstanceRecord

BACKEND_PORT: Final = 8090
WORKERS: Final = 64
CONNECTIONS: Final = 32
HEAD_BYTES: Final = 8192
BODY_BYTES: Final = 4_000_000
SLOTS: Final = 4


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
    ) -> None:
        """Open the ports.

        Args:
            record: the node's instance.
            slots: of its backend server.
            mesh_text: the operators' file in force.
        """
        self.record = record
        self.recorder = build_recorder(record.instance)
        self.view = ViewHolder()
        self.tallies = Tallies()
        self.invariants = Invariants(self.recorder)
        self.owner = Owner(
            Identity(instance=record.instance, incarnation=Incarnation(1)),
            gate=Gate(make_admission(slots)),
            backend=Address(record.host, BACKEND_PORT),
            invariants=self.invariants,
        )
        self._executor = ThreadPoolExecutor(WORKERS)
        self.entry_listener = self._listen(
            Entry(self._make_parts()),
            record.entry_port,
        )
        self.owner_listener = self._listen(
            OwnerPort(self.owner, body_bytes=BODY_BYTES),
            record.owner_port,
        )
        compiled = build_compiled(text=mesh_text)
        document = make_document(
            Kind.configuration,
            version=Version(1),
            blobs={str(name): blob for name, blob in compiled.parts.items()},
        )
        self.view.take_configuration(document)

    @property
    def entry(self) -> tuple[str, int]:
        """Where callers connect."""
        return self.record.host, self.record.entry_port

    def show(self, *records: InstanceRecord) -> None:
        """Let the node know these instances.

        Args:
            records: the whole list.
        """
        self.view.take_instances(build_instances(*records))

    def kill(self) -> None:
        """Cut every connection, as the end of the process would."""
        self.entry_listener.stop(ways=socket.SHUT_RDWR)
        self.owner_listener.stop(ways=socket.SHUT_RDWR)

    def close(self) -> None:
        """Close the ports and what is open on them."""
        self.entry_listener.stop()
        self.owner_listener.stop()
        self._executor.shutdown(wait=True)

    def _make_parts(self) -> EntryParts:
        return EntryParts(
            data_centre=self.record.data_centre,
            owner=self.owner,
            view=self.view,
            book=UpstreamBook(),
            tallies=self.tallies,
            recorder=self.recorder,
            body_bytes=BODY_BYTES,
            chooser=LeastLoaded(),
        )

    def _listen(self, answerer: Answerer, port: int) -> Listener:
        listener = Listener(
            answerer,
            executor=self._executor,
            connections=CONNECTIONS,
            head_bytes=HEAD_BYTES,
            recorder=self.recorder,
        )
        listener.bind(Address(self.record.host, port)).unwrap()
        self._executor.submit(listener.run)
        return listener


def build_pair() -> tuple[InstanceRecord, InstanceRecord]:
    """Build the records of two instances of one service.

    Returns:
        On addresses of their own.
    """
    return (
        build_record('a', host='127.0.9.1'),
        build_record('b', host='127.0.9.2'),
    )
