"""Tests of the administration API's own life, apart from its pages."""

from __future__ import annotations

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

if TYPE_CHECKING:
    from collections.abc import Callable

HOST = '127.0.9.40'


@pytest.fixture
def admin() -> AdminPort:
    """The administration API of a node, its port open, its task not begun."""
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


def test_stop_waits_for_no_look_of_the_server(admin: AdminPort) -> None:
    """A process is killed at the end of its planned stop, nearly done.

    Its work has taken until the bound. Then the administration API is
    stopped, whose server looks for that twice a second at the most, and
    whoever stops it waited for the look. Here no look ever comes, since the
    server's task has not begun.
    """
    assert returns_in_time(admin.stop)
    assert returns_in_time(admin.run)


def test_first_request_finds_the_port_open_and_is_answered(
    admin: AdminPort,
) -> None:
    """Somebody asks a node that nobody has asked before.

    What answers is loaded then; the request waits for it and is not refused.
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


def test_address_that_is_taken_is_a_fault(admin: AdminPort) -> None:
    settings = structs.replace(build_settings(), host=HOST)
    node = Node(settings, recorder=build_recorder(), sockets=NodeSockets())
    fault = AdminPort(node).bind().unwrap_err()
    assert fault.code is Code.address_in_use


def test_node_loads_no_server_before_it_is_asked() -> None:
    """A whole data centre gets its power back, and callers wait.

    Each node imports a server for HTTP and the metrics, that nobody asks
    for, before it asks for the configuration.
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
