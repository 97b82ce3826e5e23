"""Tests of header fields on a platform with a dialect of its own.

The doc text of a test describes the failure that it prevents.
"""

from __future__ import annotations

import socket
from typing import TYPE_CHECKING, Final

import pytest

from wagtaildale.calls.tests.listeners import Listener
from wagtaildale.calls.tests.pairs import TIMEOUT_SECONDS
from wagtaildale.platform.dialect import PLATFORM_DIALECT
from wagtaildale.testing.builders import MESH_TEXT, build_record
from wagtaildale.testing.loopback import make_host
from wagtaildale.testing.mesh import BACKEND_PORT, MeshNode

if TYPE_CHECKING:
    from collections.abc import Iterator

HOST: Final = make_host(7)
REQUEST_ID: Final = b'9c41d07be2a35f68'
DEADLINE_MS: Final = 700


class ScriptedBackend(Listener):
    """Keeps the head of each request and sends a scripted response."""

    def __init__(self) -> None:
        self.heads: list[bytes] = []
        self.reply = build_response(REQUEST_ID)
        super().__init__((HOST, BACKEND_PORT))

    def answer(self, sock: socket.socket) -> None:
        head = sock.recv(65536)
        if not head:
            # The node only checked whether the server accepts connections.
            return
        self.heads.append(head)
        sock.sendall(self.reply)


def build_response(
    request_id: bytes,
    *,
    status: bytes = b'200 OK',
    extra: bytes = b'',
) -> bytes:
    return (
        b'HTTP/1.1 %b\r\nx-request-id: %b\r\n%bcontent-length: 2\r\n'
        b'connection: close\r\n\r\nhi' % (status, request_id, extra)
    )


@pytest.fixture
def backend() -> Iterator[ScriptedBackend]:
    created = ScriptedBackend()
    yield created
    created.close()


@pytest.fixture
def node(backend: ScriptedBackend) -> Iterator[MeshNode]:
    """A node beside its backend server, without a configuration so far."""
    record = build_record('i-7', host=HOST)
    created = MeshNode(record, mesh_text='', dialect=PLATFORM_DIALECT)
    created.set_instances(record)
    yield created
    created.close()


def send_request(
    node: MeshNode,
    extra: bytes = b'',
    *,
    start: bytes = b'GET /files/1',
) -> bytes:
    request = (
        b'%b HTTP/1.1\r\nhost: m\r\nx-request-id: %b\r\n%b'
        b'connection: close\r\n\r\n' % (start, REQUEST_ID, extra)
    )
    with socket.create_connection(node.entry, TIMEOUT_SECONDS) as sock:
        sock.sendall(request)
        answer = b''
        while piece := sock.recv(65536):
            answer += piece
    return answer


def find_field(head: bytes, name: bytes) -> list[bytes]:
    lines = head.split(b'\r\n\r\n')[0].split(b'\r\n')[1:]
    fields = [line.split(b': ', 1) for line in lines]
    return [text for field, text in fields if field.lower() == name]


def test_node_without_configuration_answers_unavailable(node: MeshNode) -> None:
    """A caller gets 404 for an existing page and gives up.

    The node has just started and has no configuration yet. It must answer that
    the request did not run and when to retry.
    """
    answer = send_request(node)
    assert answer.startswith(b'HTTP/1.1 503')
    assert find_field(answer, b'retry-after')
    node.publish(MESH_TEXT)
    assert send_request(node).startswith(b'HTTP/1.1 200')


def test_starting_node_delays_retries_of_callers(
    node: MeshNode,
) -> None:
    """After a power failure callers are refused twice within 20 ms.

    The node would be ready 0.2 s later. With a retry delay of 0.01 s its
    callers have used up their attempts by then.
    """
    assert float(find_field(send_request(node), b'retry-after')[0]) >= 0.1


def test_service_without_servers_delays_retries_of_callers(
    node: MeshNode,
) -> None:
    """Callers of a service without any server retry in a tight loop."""
    node.publish(MESH_TEXT)
    node.set_instances()
    answer = send_request(node)
    assert answer.startswith(b'HTTP/1.1 503')
    assert float(find_field(answer, b'retry-after')[0]) >= 0.1


def test_caller_cannot_forge_its_service_name(
    node: MeshNode,
    backend: ScriptedBackend,
) -> None:
    """A backend server trusts a forged name of the calling service.

    The entry must replace a name that the caller sends by that of the service
    on its own machine.
    """
    node.publish(MESH_TEXT)
    send_request(
        node, b'x-caller-service: payroll\r\nx-expected-instance: other\r\n'
    )
    head = backend.heads[0]
    assert find_field(head, b'x-caller-service') == [b'casefiles']
    assert find_field(head, b'x-expected-instance') == [b'i-7']
    assert find_field(head, b'x-request-id') == [REQUEST_ID]


def test_backend_server_gets_the_remaining_time(
    node: MeshNode,
    backend: ScriptedBackend,
) -> None:
    """A backend server works on a request that its caller has given up.

    It must be told how long the caller still waits, and never longer.
    """
    node.publish(MESH_TEXT)
    send_request(node, b'x-deadline-ms: %d\r\n' % DEADLINE_MS)
    remaining = find_field(backend.heads[0], b'x-deadline-ms')
    assert len(remaining) == 1
    assert 0 < int(remaining[0]) <= DEADLINE_MS


def test_refusal_by_the_backend_server_counts_as_not_run(
    node: MeshNode,
    backend: ScriptedBackend,
) -> None:
    """A booking that a full backend server refuses is not retried.

    Only the backend server's own header proves that it did not run; the caller
    may then retry.
    """
    node.publish(MESH_TEXT)
    backend.reply = build_response(
        REQUEST_ID,
        status=b'503 Full',
        extra=b'x-not-executed: 1\r\n',
    )
    answer = send_request(node, start=b'POST /bookings')
    assert answer.startswith(b'HTTP/1.1 503')


def test_lost_answer_to_a_booking_is_not_reported_as_refusal(
    node: MeshNode,
    backend: ScriptedBackend,
) -> None:
    """A booking whose connection closes without an answer runs twice.

    Callers send a booking again after 503. It may have run, so the status must
    not promise that it did not.
    """
    node.publish(MESH_TEXT)
    backend.reply = b''
    answer = send_request(node, start=b'POST /bookings')
    assert answer.startswith(b'HTTP/1.1 502')
    assert len(backend.heads) == 1


def test_answer_that_names_another_request_is_dropped(
    node: MeshNode,
    backend: ScriptedBackend,
) -> None:
    """A caller gets the answer to somebody else's request.

    The response carries another request's identifier. The right one is awaited
    on the connection and does not arrive.
    """
    node.publish(MESH_TEXT)
    backend.reply = build_response(b'another').replace(b'hi', b'xx')
    answer = send_request(node, start=b'POST /bookings')
    assert answer.startswith(b'HTTP/1.1 502')
    assert b'xx' not in answer


@pytest.mark.parametrize(
    'more', [b'x-request-id: other\r\n', b'x-request-id:\r\n']
)
def test_second_request_id_is_rejected(
    node: MeshNode, backend: ScriptedBackend, more: bytes
) -> None:
    """Each reader would choose another id, and no answer would match."""
    node.publish(MESH_TEXT)
    answer = send_request(node, more)
    assert answer.startswith(b'HTTP/1.1 400')
    assert not backend.heads


def test_caller_cannot_strip_the_request_id(
    node: MeshNode, backend: ScriptedBackend
) -> None:
    """An upstream without the id runs the request, and no answer matches."""
    node.publish(MESH_TEXT)
    extra = b'connection: close, X-Request-Id, Host, X-Other\r\nx-other: 1\r\n'
    answer = send_request(node, extra)
    assert answer.startswith(b'HTTP/1.1 200')
    assert b'x-request-id: %b' % REQUEST_ID in backend.heads[0]
    assert b'host: ' in backend.heads[0]
    assert b'x-other' not in backend.heads[0]
