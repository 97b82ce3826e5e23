"""Tests of the onward calls of the stand-in of a backend server."""

from __future__ import annotations

import gc
import socket
from typing import Final

import pytest

from standins.backend_thread import BackendThread
from wagtaildale.testing.loopback import make_host

PORT: Final = 8090
REQUEST: Final = b'GET /chain/1 HTTP/1.1\r\nhost: m\r\nx-request-id: r\r\n\r\n'


@pytest.mark.filterwarnings('error')
def test_idle_connections_end_with_the_server() -> None:
    """A connection is collected later, in a loop that is closed."""
    host = make_host(12)
    with BackendThread('a', host=host, port=PORT, entry_port=PORT):
        with socket.create_connection((host, PORT)) as sock:
            sock.sendall(REQUEST)
            assert sock.recv(65_536).startswith(b'HTTP/1.1 200')
    gc.collect()
