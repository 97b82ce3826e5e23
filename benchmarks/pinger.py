"""Process that alternates calls through the mesh and direct calls.

Reads its plan from standard input and writes the durations of both kinds of
calls to standard output. One thread and raw sockets keep the overhead of
the measurement small; both kinds are measured in the same way, so that the
remaining overhead cancels out.
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
    """Calls that one pinger makes.

    Attributes:
        mesh: entry address for calls through the mesh.
        direct: address of the backend server for direct calls.
        request: complete request, head and body.
        calls_per_second: mean rate of each kind of call.
        seconds: duration of the measurement.
        warm_up: number of unmeasured calls of each kind.
        seed: seed of the random intervals between calls.
    """

    mesh: tuple[str, int]
    direct: tuple[str, int]
    request: bytes
    calls_per_second: float
    seconds: float
    warm_up: int = 50
    seed: int = 1


class Durations(Struct, frozen=True, kw_only=True):
    """Durations of the calls of each kind, seconds."""

    mesh: list[float]
    direct: list[float]


class Connection:
    """A kept-alive HTTP connection."""

    def __init__(self, address: tuple[str, int]) -> None:
        """Connect.

        Args:
            address: IP address and port.
        """
        self._sock = socket.create_connection(address, TIMEOUT_SECONDS)
        self._sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def call(self, request: bytes) -> float:
        """Send a request and read the complete response.

        Args:
            request: head and body of the request.

        Returns:
            Duration of the call, seconds.

        Raises:
            RuntimeError: if the response is truncated or not a 200.
        """
        started = time.perf_counter()
        self._sock.sendall(request)
        response = self._sock.recv(READ_BYTES)
        while not _is_complete(response):
            chunk = self._sock.recv(READ_BYTES)
            if not chunk:
                raise RuntimeError(f'truncated response: {response!r}')
            response += chunk
        seconds = time.perf_counter() - started
        if not response.startswith(b'HTTP/1.1 200'):
            raise RuntimeError(f'expected status 200, got {response!r}')
        return seconds


def run_plan(plan: PingPlan) -> Durations:
    """Make the calls of a plan.

    Args:
        plan: calls to make.

    Returns:
        Durations of the calls.
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
    """Run the plan given on standard input."""
    plan = json.decode(sys.stdin.buffer.read(), type=PingPlan)
    sys.stdout.buffer.write(json.encode(run_plan(plan)))


if __name__ == '__main__':
    main()
