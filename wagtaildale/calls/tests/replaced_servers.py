"""Backend servers that are replaced at their address during a test."""

from __future__ import annotations

import re
import socket
from typing import TYPE_CHECKING, Final

from wagtaildale.calls.tests.listeners import Listener
from wagtaildale.calls.tests.pairs import send_raw_request
from wagtaildale.platform.dialect import PLATFORM_DIALECT
from wagtaildale.testing.builders import MESH_TEXT, build_record
from wagtaildale.testing.closing import Closing
from wagtaildale.testing.loopback import make_host
from wagtaildale.testing.mesh import BACKEND_PORT, MeshNode

if TYPE_CHECKING:
    from wagtaildale.membership.records import InstanceRecord
    from wagtaildale.telemetry.events import EventKind

REQUEST_ID_PATTERN: Final = re.compile(rb'x-request-id: (\S+)', re.IGNORECASE)
EXPECTED_INSTANCE_PATTERN: Final = re.compile(
    rb'x-expected-instance: (\S+)', re.IGNORECASE
)
HEALTH_PATH: Final = '/health'
HEALTH_REQUEST: Final = f'GET {HEALTH_PATH} '.encode()
MISDIRECTED_STATUS: Final = b'421 Misdirected'


class ReplaceableBackend(Listener):
    """Runs requests for its instance and refuses those for another one.

    Attributes:
        instance: current id; a test changes it to simulate a restart.
        names_itself: whether it names its instance when it refuses a request.
        arrivals: ids of the requests that arrived.
        runs: ids of the requests that ran.
    """

    def __init__(self, instance: str, *, host: str) -> None:
        self.instance = instance
        self.names_itself = False
        self.arrivals: list[str] = []
        self.runs: list[str] = []
        super().__init__((host, BACKEND_PORT))

    def answer(self, sock: socket.socket) -> None:
        head = sock.recv(65536)
        if head:
            sock.sendall(self._decide(head))

    def _decide(self, head: bytes) -> bytes:
        if head.startswith(HEALTH_REQUEST):
            return _write_answer('', b'200 OK', instance=self.instance)
        request_id = _find(REQUEST_ID_PATTERN, head)
        self.arrivals.append(request_id)
        if _find(EXPECTED_INSTANCE_PATTERN, head) != self.instance:
            return _write_answer(
                request_id,
                MISDIRECTED_STATUS,
                instance=self.instance if self.names_itself else '',
            )
        self.runs.append(request_id)
        return _write_answer(request_id, b'200 OK')


class ReplacedFleet(Closing):
    """An entry, and upstreams whose servers may be replaced unnoticed.

    Servers identify themselves in the answer to a health check, once a
    configuration names its path.

    Attributes:
        records: listed records of the upstreams.
        entry: node without an upstream.
        backends: backend servers, one beside each owner.
        owners: nodes of the backend servers.
    """

    def __init__(self, count: int) -> None:
        self.records = [
            build_record(f'i-{number}', host=make_host(30 + number))
            for number in range(count)
        ]
        self.backends = [
            ReplaceableBackend(record.instance, host=record.host)
            for record in self.records
        ]
        self.owners = [_make_node(record) for record in self.records]
        self.entry = _make_node(build_record('e', host=make_host(29)))
        for node in (self.entry, *self.owners):
            node.set_instances(*self.records)

    def publish_health_path(self) -> None:
        """Publish a configuration that names the path of the health check."""
        for node in (self.entry, *self.owners):
            node.publish(MESH_TEXT, health_path=HEALTH_PATH)

    def replace_all(self) -> None:
        """Restart every server with a new id; the list stays the same."""
        for backend in self.backends:
            backend.instance = f'{backend.instance}-later'

    def ask(self, request_id: str, *, method: str = 'GET') -> bytes:
        """Send a request to the entry and return the whole answer."""
        path = '/files/1' if method == 'GET' else '/bookings'
        request = (
            f'{method} {path} HTTP/1.1\r\nhost: m\r\n'
            f'x-request-id: {request_id}\r\nx-deadline-ms: 1000\r\n'
            f'content-length: 0\r\nconnection: close\r\n\r\n'
        )
        return send_raw_request(self.entry.entry, request.encode())

    def count_repeats(self) -> int:
        """Count the arrivals at backend servers after each request's first."""
        arrivals = self.list_arrivals()
        return len(arrivals) - len(set(arrivals))

    def list_events(self) -> set[EventKind]:
        """List the kinds of the events that the owners have recorded."""
        return {
            event.kind
            for owner in self.owners
            for event in owner.recorder.read_since(0)
        }

    def list_arrivals(self) -> list[str]:
        """List the ids of the requests that reached a backend server."""
        return [name for each in self.backends for name in each.arrivals]

    def close(self) -> None:
        for node in (self.entry, *self.owners):
            node.close()
        for backend in self.backends:
            backend.close()


def _make_node(record: InstanceRecord) -> MeshNode:
    return MeshNode(record, mesh_text=MESH_TEXT, dialect=PLATFORM_DIALECT)


def _find(pattern: re.Pattern[bytes], head: bytes) -> str:
    found = pattern.search(head)
    return found.group(1).decode() if found else ''


def _write_answer(
    request_id: str, status: bytes, *, instance: str = ''
) -> bytes:
    fields = (status, request_id.encode(), instance.encode())
    return (
        b'HTTP/1.1 %b\r\nx-request-id: %b\r\nx-instance-id: %b\r\n'
        b'content-length: 0\r\nconnection: close\r\n\r\n' % fields
    )
