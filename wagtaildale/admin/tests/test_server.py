"""Tests of the administration API's own life, apart from its pages."""

from __future__ import annotations

import threading
from typing import TYPE_CHECKING

import pytest
from msgspec import structs

from wagtaildale.admin.server import AdminServer
from wagtaildale.calls.tests.pairs import PATIENCE
from wagtaildale.distribution.sockets import NodeSockets
from wagtaildale.node import Node
from wagtaildale.platform.tests.builders import build_settings
from wagtaildale.testing.assertions import assert_ok
from wagtaildale.testing.builders import build_recorder

if TYPE_CHECKING:
    from collections.abc import Callable

HOST = '127.0.9.40'


@pytest.fixture
def admin() -> AdminServer:
    """The administration API of a node, its port open, its task not begun."""
    settings = structs.replace(build_settings(), host=HOST)
    node = Node(settings, recorder=build_recorder(), sockets=NodeSockets())
    server = AdminServer(node)
    assert_ok(server.bind())
    return server


def ends(work: Callable[[], None]) -> bool:
    worker = threading.Thread(target=work, daemon=True)
    worker.start()
    worker.join(PATIENCE)
    return not worker.is_alive()


def test_stop_waits_for_no_look_of_the_server(admin: AdminServer) -> None:
    """A process is killed at the end of its planned stop, nearly done.

    Its work has taken until the bound. Then the administration API is
    stopped, whose server looks for that twice a second at the most, and
    whoever stops it waited for the look. Here no look ever comes, since the
    server's task has not begun.
    """
    assert ends(admin.stop)
    assert ends(admin.run)
