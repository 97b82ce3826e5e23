"""Tests of what a platform with header fields of its own is told."""

from __future__ import annotations

import socket
from typing import TYPE_CHECKING, Final

import pytest

from wagtaildale.calls.tests.listeners import Listener
from wagtaildale.calls.tests.pairs import TIMEOUT_SECONDS
from wagtaildale.platform.dialect import PLATFORM_DIALECT
from wagtaildale.testing.builders import MESH_TEXT, build_record
from wagtaildale.testing.mesh import BACKEND_PORT, MeshNode

if TYPE_CHECKING:
    from collections.abc import Iterator

HOST: Final = '127.0.9.7'
REQUEST_ID: Final = b'9c41d07be2a35f68'
DEADLINE_MS: Final = 700


class ScriptedBackend(Listener):
    """Keeps the head of each request and gives the answer of a test."""

    def __init__(self) -> None:
        self.heads: list[bytes] = []
        self.reply = build_answer(REQUEST_ID)
        super().__init__((HOST, BACKEND_PORT))

    def answer(self, sock: socket.socket) -> None:
        head = sock.recv(65536)
        if not head:
            # Whether the server still runs was tried, and nothing asked.
            return
        self.heads.append(head)
        sock.sendall(self.reply)


def build_answer(
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
    made = ScriptedBackend()
    yield made
    made.close()


@pytest.fixture
def node(backend: ScriptedBackend) -> Iterator[MeshNode]:
    """A node beside its backend server, that has no configuration yet."""
    record = build_record('i-7', host=HOST)
    made = MeshNode(record, mesh_text='', dialect=PLATFORM_DIALECT)
    made.show(record)
    yield made
    made.close()


def ask(
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


def test_node_without_configuration_refuses_for_now(node: MeshNode) -> None:
    """A caller gets 404 for a page that every version has, and gives up.

    Its node has just started and knows no configuration. It says that it
    has not run and when to come back.
    """
    answer = ask(node)
    assert answer.startswith(b'HTTP/1.1 503')
    assert find_field(answer, b'retry-after')
    node.publish(MESH_TEXT)
    assert ask(node).startswith(b'HTTP/1.1 200')


def test_caller_of_a_starting_node_does_not_come_back_at_once(
    node: MeshNode,
) -> None:
    """After a loss of power callers are refused twice within 20 ms.

    The node would have been ready 0.2 s later; told 0.01 s, its callers had
    used up their tries by then.
    """
    assert float(find_field(ask(node), b'retry-after')[0]) >= 0.1


def test_caller_of_a_service_without_servers_does_not_come_back_at_once(
    node: MeshNode,
) -> None:
    """All servers of a service are gone, and its callers ask in circles."""
    node.publish(MESH_TEXT)
    node.show()
    answer = ask(node)
    assert answer.startswith(b'HTTP/1.1 503')
    assert float(find_field(answer, b'retry-after')[0]) >= 0.1


def test_caller_cannot_say_whose_request_it_is(
    node: MeshNode,
    backend: ScriptedBackend,
) -> None:
    """A backend server trusts the name of the service that calls it.

    A caller sends a name of its own choice; the entry replaces it by that
    of the service on its own machine.
    """
    node.publish(MESH_TEXT)
    ask(node, b'x-caller-service: payroll\r\nx-expected-instance: other\r\n')
    head = backend.heads[0]
    assert find_field(head, b'x-caller-service') == [b'casefiles']
    assert find_field(head, b'x-expected-instance') == [b'i-7']
    assert find_field(head, b'x-request-id') == [REQUEST_ID]


def test_backend_server_is_told_what_is_left(
    node: MeshNode,
    backend: ScriptedBackend,
) -> None:
    """A backend server works on what its caller has given up.

    It is told how long the caller still waits, never longer.
    """
    node.publish(MESH_TEXT)
    ask(node, b'x-deadline-ms: %d\r\n' % DEADLINE_MS)
    told = find_field(backend.heads[0], b'x-deadline-ms')
    assert len(told) == 1
    assert 0 < int(told[0]) <= DEADLINE_MS


def test_refusal_of_the_backend_server_is_not_run(
    node: MeshNode,
    backend: ScriptedBackend,
) -> None:
    """A full backend server turns a booking away and says that it did.

    That word alone makes "not run" true: the caller may come back.
    """
    node.publish(MESH_TEXT)
    backend.reply = build_answer(
        REQUEST_ID,
        status=b'503 Full',
        extra=b'x-not-executed: 1\r\n',
    )
    answer = ask(node, start=b'POST /bookings')
    assert answer.startswith(b'HTTP/1.1 503')


def test_reset_of_a_booking_is_no_refusal(
    node: MeshNode,
    backend: ScriptedBackend,
) -> None:
    """A booking's connection closes without an answer, and it runs twice.

    Callers send a booking again after 503. It may have run, so the answer
    is one that promises nothing.
    """
    node.publish(MESH_TEXT)
    backend.reply = b''
    answer = ask(node, start=b'POST /bookings')
    assert answer.startswith(b'HTTP/1.1 502')
    assert len(backend.heads) == 1


def test_answer_that_names_another_request_is_dropped(
    node: MeshNode,
    backend: ScriptedBackend,
) -> None:
    """A dispatcher gets the answer to somebody else's request.

    The answer that comes names another request; what follows it is awaited
    and does not come.
    """
    node.publish(MESH_TEXT)
    backend.reply = build_answer(b'another').replace(b'hi', b'xx')
    answer = ask(node, start=b'POST /bookings')
    assert answer.startswith(b'HTTP/1.1 502')
    assert b'xx' not in answer
