"""Tests of the start, stop and loading of the administration API's server."""

from __future__ import annotations

import socket
import subprocess
import sys
import threading
from http import HTTPStatus
from http.client import HTTPConnection
from typing import TYPE_CHECKING

import pytest
from msgspec import structs

from wagtaildale.admin.port import AdminPort
from wagtaildale.calls.tests.pairs import TIMEOUT_SECONDS
from wagtaildale.distribution.sockets import NodeSockets
from wagtaildale.errors.codes import Code
from wagtaildale.node import Node
from wagtaildale.platform.tests.builders import build_settings
from wagtaildale.testing.assertions import assert_ok
from wagtaildale.testing.builders import build_recorder
from wagtaildale.testing.loopback import make_host

if TYPE_CHECKING:
    from collections.abc import Callable

HOST = make_host(40)


@pytest.fixture
def admin() -> AdminPort:
    """Administration API with an open port, whose task has not started."""
    settings = structs.replace(build_settings(), host=HOST)
    node = Node(settings, recorder=build_recorder(), sockets=NodeSockets())
    server = AdminPort(node)
    assert_ok(server.bind())
    return server


def returns_in_time(work: Callable[[], None]) -> bool:
    worker = threading.Thread(target=work, daemon=True)
    worker.start()
    worker.join(TIMEOUT_SECONDS)
    return not worker.is_alive()


def test_stop_does_not_wait_for_the_server(admin: AdminPort) -> None:
    """Prevents a process from being killed at the end of a planned stop.

    When the calls have taken until the limit of the stop, little time remains
    to stop the administration API, whose server polls for that only twice a
    second. Here it never polls, because the server's task has not started.
    """
    assert returns_in_time(admin.stop)
    assert returns_in_time(admin.run)


def test_first_request_is_answered(
    admin: AdminPort,
) -> None:
    """The first request waits until the server is loaded.

    Without the port that is open from the start, it would be refused.
    """
    worker = threading.Thread(target=admin.run, daemon=True)
    worker.start()
    port = build_settings().admin_port
    for path in ('/v1/ready', '/metrics'):
        connection = HTTPConnection(HOST, port, timeout=TIMEOUT_SECONDS)
        connection.request('GET', path)
        answer = connection.getresponse()
        assert answer.status in {HTTPStatus.OK, HTTPStatus.SERVICE_UNAVAILABLE}
        assert answer.read()
        connection.close()
    admin.stop()
    worker.join(TIMEOUT_SECONDS)
    assert not worker.is_alive()


def test_address_in_use_is_a_fault(admin: AdminPort) -> None:
    settings = structs.replace(build_settings(), host=HOST)
    node = Node(settings, recorder=build_recorder(), sockets=NodeSockets())
    fault = AdminPort(node).bind().unwrap_err()
    assert fault.code is Code.address_in_use


def test_node_starts_without_loading_the_server() -> None:
    """Prevents a slow start when a whole data centre regains power.

    Callers wait for the nodes then. Importing the HTTP server and the
    metrics, which no request needs yet, would delay the reading of the
    configuration.
    """
    code = (
        'import sys, wagtaildale.platform.__main__; '
        'print([name for name in ("werkzeug", "opentelemetry") '
        'if name in sys.modules])'
    )
    done = subprocess.run(
        (sys.executable, '-c', code),
        capture_output=True,
        check=True,
        text=True,
    )
    assert done.stdout.strip() == '[]'


class IdleServer:
    """A server that runs at once to its end."""

    def run(self) -> None:
        """Do nothing."""

    def stop(self) -> None:
        """Do nothing."""


def test_server_that_cannot_be_made_is_made_again(
    admin: AdminPort,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A node without descriptors to spare ends when its metrics are read."""
    outcomes: list[OSError | IdleServer] = [
        OSError('too many open files'),
        IdleServer(),
    ]

    def load_server(port: AdminPort, listener: socket.socket) -> IdleServer:
        outcome = outcomes.pop(0)
        if isinstance(outcome, OSError):
            raise outcome
        return outcome

    monkeypatch.setattr(AdminPort, '_load_server', load_server)
    with socket.create_connection((HOST, build_settings().admin_port)):
        assert returns_in_time(admin.run)
    assert not outcomes
