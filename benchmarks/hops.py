"""What one hop between nodes costs by each transport that was weighed.

The same request goes to one echoing process by our kept-alive HTTP over
``httptools``, by pycurl with a reused handle, and by pyzmq (REQ to ROUTER).
"""

from __future__ import annotations

import subprocess
import sys
import time
from contextlib import closing
from concurrent.futures import ThreadPoolExecutor
from io import BytesIO
from typing import TYPE_CHECKING, Any, Final

import pycurl
import zmq
from msgspec import Struct

from benchmarks.figures import Figure, find_percentile
from wagtaildale.calls.addresses import Address
from wagtaildale.calls.connections import (
    Connection,
    open_connection,
    read_response,
)
from wagtaildale.calls.heads import write_request_head, write_response_head
from wagtaildale.calls.listener import Listener
from wagtaildale.testing.builders import build_recorder
from wagtaildale.timers.service import read_clock

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from wagtaildale.calls.parsing import Message

HOST: Final = '127.0.3.1'
HTTP_PORT: Final = 8080
ZMQ_PORT: Final = 8081
CALLS: Final = 3000
WARM_UP: Final = 200
MILLISECONDS: Final = 1000
MICROSECONDS: Final = 1_000_000
TAIL: Final = 99
MEDIAN: Final = 50
BODY: Final = b'x' * 64
FIELD: Final = (b'wagtaildale-call', b'0' * 90)
ANSWER: Final = write_response_head(
    200,
    headers=((b'content-length', b'64'), FIELD),
)


class Costs(Struct, frozen=True, kw_only=True):
    """What one transport costs: median, tail, the client's processor."""

    p50_ms: float
    p99_ms: float
    cpu_us: float


class Echo:
    """Answers every request with the same body."""

    def answer(self, caller: Connection, message: Message) -> None:
        """Answer one request.

        Args:
            caller: on which it came.
            message: the request.
        """
        caller.send(ANSWER + BODY, deadline=read_clock() + 1)


def serve() -> None:
    """Serve both protocols until the process is ended."""
    executor = ThreadPoolExecutor()
    listener = Listener(
        Echo(),
        executor=executor,
        connections=8,
        head_bytes=4096,
        recorder=build_recorder(),
    )
    listener.bind(Address(HOST, HTTP_PORT)).unwrap()
    executor.submit(listener.run)
    context = zmq.Context()
    router = context.socket(zmq.ROUTER)
    router.bind(f'tcp://{HOST}:{ZMQ_PORT}')
    sys.stdout.write('listening\n')
    sys.stdout.flush()
    while router.poll():
        router.send_multipart(router.recv_multipart())


def measure_hops() -> Iterator[Figure]:
    """Measure each transport in turn.

    Yields:
        Median, tail and the client's processor time, by transport.
    """
    server = subprocess.Popen(
        [sys.executable, '-m', 'benchmarks.hops'],
        stdout=subprocess.PIPE,
    )
    assert server.stdout is not None
    server.stdout.readline()
    with closing(_Ending(server)):
        yield from _compare()


class _Ending:
    """Ends a process when closed."""

    def __init__(self, process: subprocess.Popen[bytes]) -> None:
        self._process = process

    def close(self) -> None:
        """End the process."""
        self._process.kill()
        self._process.wait()


def _compare() -> Iterator[Figure]:
    own = _measure(_make_own())
    yield from _list_figures(own, 'pycurl', _measure(_make_pycurl()))
    yield from _list_figures(own, 'pyzmq', _measure(_make_pyzmq()))


def _list_figures(
    own: Costs,
    baseline: str,
    other: Costs,
) -> Iterator[Figure]:
    for name, unit in (('p50_ms', 'ms'), ('p99_ms', 'ms'), ('cpu_us', 'us')):
        yield Figure(
            name=f'hop_own_http_{name}',
            amount=getattr(own, name),
            unit=unit,
            nodes=2,
            baseline=baseline,
            baseline_amount=getattr(other, name),
        )


def _measure(call: Callable[[], None]) -> Costs:
    spent = [_time(call) for _warm in range(WARM_UP)]
    cpu = time.process_time()
    spent = [_time(call) for _call in range(CALLS)]
    cpu = time.process_time() - cpu
    return Costs(
        p50_ms=find_percentile(spent, percent=MEDIAN) * MILLISECONDS,
        p99_ms=find_percentile(spent, percent=TAIL) * MILLISECONDS,
        cpu_us=cpu / CALLS * MICROSECONDS,
    )


def _time(call: Callable[[], None]) -> float:
    started = time.perf_counter()
    call()
    return time.perf_counter() - started


def _make_own() -> Callable[[], None]:
    deadline = read_clock() + 60
    connection = open_connection(Address(HOST, HTTP_PORT), deadline=deadline)

    def call() -> None:
        head = write_request_head(
            b'POST',
            target=b'/files/7',
            headers=((b'content-length', b'64'), FIELD),
        )
        connection.send(head + BODY, deadline=read_clock() + 1)
        message = read_response(
            connection,
            method=b'POST',
            deadline=read_clock() + 1,
        )
        assert message.take_body() == BODY
        connection.parser.drop()

    return call


def _make_pycurl() -> Callable[[], None]:
    curl = pycurl.Curl()
    curl.setopt(pycurl.URL, f'http://{HOST}:{HTTP_PORT}/files/7')
    curl.setopt(pycurl.NOSIGNAL, 1)
    field = '{0}: {1}'.format(*(part.decode() for part in FIELD))

    def call() -> None:
        body = BytesIO()
        headers: list[bytes] = []
        curl.setopt(pycurl.HTTPHEADER, [field, 'Expect:'])
        curl.setopt(pycurl.POSTFIELDS, BODY)
        curl.setopt(pycurl.WRITEDATA, body)
        curl.setopt(pycurl.HEADERFUNCTION, headers.append)
        curl.perform()
        assert body.getvalue() == BODY

    return call


def _make_pyzmq() -> Callable[[], None]:
    context: Any = zmq.Context()
    peer = context.socket(zmq.REQ)
    peer.connect(f'tcp://{HOST}:{ZMQ_PORT}')

    def call() -> None:
        peer.send_multipart((FIELD[1], BODY))
        assert peer.recv_multipart()[-1] == BODY

    return call


if __name__ == '__main__':
    serve()
