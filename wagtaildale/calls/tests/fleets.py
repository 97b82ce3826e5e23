"""Entries and owners in one process, in front of scripted servers."""

from __future__ import annotations

from itertools import count
from typing import TYPE_CHECKING

from wagtaildale.calls.tests.pairs import send_raw_request
from wagtaildale.platform.dialect import PLATFORM_DIALECT
from wagtaildale.testing.builders import MESH_TEXT, build_record
from wagtaildale.testing.closing import Closing
from wagtaildale.testing.loopback import make_host
from wagtaildale.testing.mesh import MeshNode
from wagtaildale.testing.suspects import SharedSuspects

if TYPE_CHECKING:
    from wagtaildale.membership.records import InstanceRecord


class ScriptedFleet(Closing):
    """A fleet of entries and owners; the test provides the servers.

    Attributes:
        records: instance records of the servers.
        entries: nodes that receive callers' requests.
        owners: nodes beside the servers.
        suspects: known crashes, shared by all nodes.
    """

    def __init__(
        self,
        upstreams: int,
        *,
        entries: int,
        data_centres: tuple[str, ...] = ('derby',),
    ) -> None:
        self.records = [
            build_record(
                f'i-{number}',
                host=make_host(50 + number),
                data_centre=data_centres[number % len(data_centres)],
            )
            for number in range(upstreams)
        ]
        self._ids = count()
        self.suspects = SharedSuspects()
        self.owners = [self._make_node(record) for record in self.records]
        self.entries = [
            self._make_node(
                build_record(f'e{number}', host=make_host(80 + number))
            )
            for number in range(entries)
        ]
        self.show(*self.records)

    @property
    def nodes(self) -> list[MeshNode]:
        """All nodes, entries first."""
        return [*self.entries, *self.owners]

    def show(self, *records: InstanceRecord) -> None:
        """Show the instance records of these servers to every node."""
        for node in self.nodes:
            node.set_instances(*records)

    def ask(self, path: str, *, entry: int = 0, method: str = 'GET') -> bytes:
        """Send a request to an entry and return the raw response."""
        request = (
            f'{method} {path} HTTP/1.1\r\nhost: m\r\n'
            f'x-request-id: r{next(self._ids)}\r\nx-deadline-ms: 1000\r\n'
            f'content-length: 0\r\nconnection: close\r\n\r\n'
        )
        return send_raw_request(self.entries[entry].entry, request.encode())

    def restart_owner(self, number: int) -> None:
        """Restart an owner; its server keeps running."""
        record = self.records[number]
        self.owners[number].close()
        self.owners[number] = self._make_node(record)
        self.owners[number].set_instances(*self.records)

    def close(self) -> None:
        for node in self.nodes:
            node.close()

    def _make_node(self, record: InstanceRecord) -> MeshNode:
        return MeshNode(
            record,
            mesh_text=MESH_TEXT,
            dialect=PLATFORM_DIALECT,
            suspects=self.suspects,
        )
