"""Client functions for nodes and stand-ins that run as processes."""

from __future__ import annotations

import time
from http.client import HTTPConnection
from typing import TYPE_CHECKING, Final

from msgspec import json

from standins.backend import BackendCounts
from standins.fleet import BACKEND_PORT

if TYPE_CHECKING:
    from standins.fleet import NodeProcess

TIMEOUT_SECONDS: Final = 20.0


def send_lookup(node: NodeProcess, path: str) -> int:
    """Send a lookup to a node and return the HTTP status."""
    address = (node.record.host, node.record.entry_port)
    connection = HTTPConnection(*address, timeout=TIMEOUT_SECONDS)
    connection.request('GET', path)
    status = connection.getresponse().status
    connection.close()
    return status


def read_counts(node: NodeProcess) -> BackendCounts:
    """Read the counts of the server beside a node, once it responds."""
    address = (node.record.host, BACKEND_PORT)
    deadline = time.monotonic() + TIMEOUT_SECONDS
    while time.monotonic() < deadline:
        connection = HTTPConnection(*address, timeout=TIMEOUT_SECONDS)
        try:
            connection.request('GET', '/standin/counts')
        except ConnectionRefusedError:
            time.sleep(0.02)
            continue
        text = connection.getresponse().read()
        connection.close()
        return json.decode(text, type=BackendCounts)
    raise TimeoutError(f'no backend server listens at {address}')
