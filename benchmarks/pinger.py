"""One process that calls through the mesh and directly, in turn.

Reads its orders from standard input and writes the durations of both to
standard output. One thread and raw sockets keep its own noise small; both
ways are measured alike, so that what is left of it cancels out.
"""

from __future__ import annotations

import random
import socket
import sys
import time
from typing import Final

from msgspec import Struct, json

READ_BYTES: Final = 65_536
LENGTH_FIELD: Final = b'content-length: '
HEAD_END: Final = b'\r\n\r\n'
TIMEOUT_SECONDS: Final = 10.0


class PingPlan(Struct, frozen=True, kw_only=True):
    """What one pinger does.

    Attributes:
        mesh: entry to call through.
        direct: backend server to call.
        request: whole request, head and body.
        calls_per_second: through the mesh, and as many directly.
        seconds: how long.
        warm_up: calls of each kind that are not counted.
        seed: of the gaps between calls.
    """

    mesh: tuple[str, int]
    direct: tuple[str, int]
    request: bytes
    calls_per_second: float
    seconds: float
    warm_up: int = 50
    seed: int = 1


class Durations(Struct, frozen=True, kw_only=True):
    """How long each call took, seconds."""

    mesh: list[float]
    direct: list[float]


class Connection:
    """One kept-alive connection."""

    def __init__(self, address: tuple[str, int]) -> None:
        """Connect.

        Args:
            address: IP number and port.
        """
        self._sock = socket.create_connection(address, TIMEOUT_SECONDS)
        self._sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def call(self, request: bytes) -> float:
        """Send a request and read the whole response.

        Args:
            request: head and body.

        Returns:
            Seconds it took.

        Raises:
            RuntimeError: for anything but a plain 200.
        """
        started = time.perf_counter()
        self._sock.sendall(request)
        response = self._sock.recv(READ_BYTES)
        while not _is_complete(response):
            chunk = self._sock.recv(READ_BYTES)
            if not chunk:
                raise RuntimeError(f'cut answer: {response!r}')
            response += chunk
        seconds = time.perf_counter() - started
        if not response.startswith(b'HTTP/1.1 200'):
            raise RuntimeError(f'got {response!r}')
        return seconds


def run_plan(plan: PingPlan) -> Durations:
    """Carry out an order.

    Args:
        plan: what to do.

    Returns:
        What was measured.
    """
    mesh = Connection(plan.mesh)
    direct = Connection(plan.direct)
    _warm_up(plan, (mesh, direct))
    measured = Durations(mesh=[], direct=[])
    random_generator = random.Random(plan.seed)
    end_time = time.monotonic() + plan.seconds
    due = time.monotonic()
    while time.monotonic() < end_time:
        due += random_generator.expovariate(plan.calls_per_second)
        time.sleep(max(0, due - time.monotonic()))
        measured.mesh.append(mesh.call(plan.request))
        measured.direct.append(direct.call(plan.request))
    return measured


def _warm_up(plan: PingPlan, connections: tuple[Connection, ...]) -> None:
    for connection in connections * plan.warm_up:
        connection.call(plan.request)


def _is_complete(response: bytes) -> bool:
    head, found, body = response.partition(HEAD_END)
    if not found:
        return False
    start = head.lower().index(LENGTH_FIELD) + len(LENGTH_FIELD)
    length = int(head[start:].split(b'\r\n', 1)[0])
    return len(body) >= length


def main() -> None:
    """Carry out the order on standard input."""
    plan = json.decode(sys.stdin.buffer.read(), type=PingPlan)
    sys.stdout.buffer.write(json.encode(run_plan(plan)))


if __name__ == '__main__':
    main()
