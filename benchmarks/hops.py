"""Compares the cost of one hop between nodes by transport.

The same request goes to one echo process in three ways: in the frames of the
mesh on one connection, over HTTP by pycurl with a reused handle, and by
pyzmq (REQ to ROUTER).
"""

from __future__ import annotations

import socket
import subprocess
import sys
import time
from concurrent.futures import ThreadPoolExecutor
from contextlib import closing
from io import BytesIO
from typing import TYPE_CHECKING, Any, Final

import pycurl
import zmq
from msgspec import Struct

from benchmarks.measurements import Measurement, find_percentile
from wagtaildale.calls.addresses import Address
from wagtaildale.calls.http.callers import CallerLimits, CallerPort
from wagtaildale.calls.http.responses import ResponseHead
from wagtaildale.calls.wire.fields import CallFields
from wagtaildale.calls.wire.frames import FrameReader, Run, encode_frame
from wagtaildale.reactor.acceptor import Acceptor
from wagtaildale.reactor.loop import Loop
from wagtaildale.reactor.stream import Stream
from wagtaildale.types import CallNumber, InstanceId, RequestId

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from wagtaildale.calls.http.exchanges import Exchange

HOST: Final = '127.0.3.1'
HTTP_PORT: Final = 8080
ZMQ_PORT: Final = 8081
FRAME_PORT: Final = 8082
CALLS: Final = 3000
WARM_UP: Final = 200
MILLISECONDS: Final = 1000
MICROSECONDS: Final = 1_000_000
TAIL: Final = 99
MEDIAN: Final = 50
BODY: Final = b'x' * 64
HEADER: Final = (b'wagtaildale-call', b'0' * 90)
LIMITS: Final = CallerLimits(max_head_bytes=4096, max_body_bytes=4096)
REQUEST: Final = encode_frame(
    Run(
        CallNumber(1),
        CallFields(
            request_id=RequestId('0' * 32),
            attempt=1,
            work_class='casefiles/lookup',
            idempotent=True,
            within_ms=100,
            remaining_ms=1000,
            instance=InstanceId('casefiles-1'),
        ),
        b'POST',
        b'/files/7',
        (HEADER,),
        BODY,
        more=False,
        length=len(BODY),
    ),
)


class Costs(Struct, frozen=True, kw_only=True):
    """Call durations and client processor time of one transport."""

    p50_ms: float
    p99_ms: float
    cpu_us: float


class HttpEcho:
    """Responds to every request with the same body."""

    def handle_request(self, exchange: Exchange) -> None:
        """Respond to one request.

        Args:
            exchange: exchange of the request.
        """
        exchange.begin_response(
            ResponseHead(status=200, headers=(HEADER,)), body=BODY
        )


class FrameEcho:
    """Sends every frame of one connection back."""

    def __init__(self, loop: Loop, sock: socket.socket) -> None:
        """Handle an accepted connection.

        Args:
            loop: event loop of the connection.
            sock: connected socket.
        """
        self._reader = FrameReader()
        self._stream = Stream(loop, sock, self)

    def on_open(self) -> None:
        """Do nothing."""

    def on_bytes(self, chunk: bytes) -> None:
        """Send the received frames back.

        Args:
            chunk: bytes read from the connection.
        """
        for frame in self._reader.feed(chunk):
            self._stream.send(encode_frame(frame))

    def on_end(self) -> None:
        """Close the connection after the peer has closed it."""
        self._stream.close()

    def on_lost(self, error: OSError) -> None:
        """Do nothing.

        Args:
            error: reason of the loss.
        """

    def on_drained(self) -> None:
        """Do nothing."""


def serve() -> None:
    """Serve all transports until the process is ended."""
    executor = ThreadPoolExecutor()
    loop = Loop(on_defect=print, on_late=print)
    port = CallerPort(
        loop, request_handler=HttpEcho(), read_limits=lambda: LIMITS
    )
    port.bind(Address(HOST, HTTP_PORT)).unwrap()
    port.start()
    frames = Acceptor(loop, on_accept=lambda sock: _echo(loop, sock))
    frames.bind(HOST, FRAME_PORT).unwrap()
    frames.start()
    executor.submit(loop.run)
    context = zmq.Context()
    router = context.socket(zmq.ROUTER)
    router.bind(f'tcp://{HOST}:{ZMQ_PORT}')
    sys.stdout.write('listening\n')
    sys.stdout.flush()
    while router.poll():
        router.send_multipart(router.recv_multipart())


def _echo(loop: Loop, sock: socket.socket) -> None:
    FrameEcho(loop, sock)


def measure_hops() -> Iterator[Measurement]:
    """Measure each transport in turn.

    Yields:
        Median, 99th percentile and processor time of the client for the
        frames of the mesh, with each other transport as baseline.
    """
    server = subprocess.Popen(
        [sys.executable, '-m', 'benchmarks.hops'],
        stdout=subprocess.PIPE,
    )
    assert server.stdout is not None
    server.stdout.readline()
    with closing(_ProcessCloser(server)):
        yield from _compare_transports()


class _ProcessCloser:
    """Kills a process when closed."""

    def __init__(self, process: subprocess.Popen[bytes]) -> None:
        self._process = process

    def close(self) -> None:
        """Kill the process and wait until it has exited."""
        self._process.kill()
        self._process.wait()


def _compare_transports() -> Iterator[Measurement]:
    frame_costs = _measure_transport(_make_frame_call())
    yield from _list_measurements(
        frame_costs, 'pycurl', _measure_transport(_make_pycurl_call())
    )
    yield from _list_measurements(
        frame_costs, 'pyzmq', _measure_transport(_make_pyzmq_call())
    )


def _list_measurements(
    frame_costs: Costs,
    baseline: str,
    baseline_costs: Costs,
) -> Iterator[Measurement]:
    for name, unit in (('p50_ms', 'ms'), ('p99_ms', 'ms'), ('cpu_us', 'us')):
        yield Measurement(
            name=f'hop_own_frames_{name}',
            amount=getattr(frame_costs, name),
            unit=unit,
            nodes=2,
            baseline=baseline,
            baseline_amount=getattr(baseline_costs, name),
        )


def _measure_transport(call: Callable[[], None]) -> Costs:
    durations = [_time(call) for _warm in range(WARM_UP)]
    cpu = time.process_time()
    durations = [_time(call) for _call in range(CALLS)]
    cpu = time.process_time() - cpu
    return Costs(
        p50_ms=find_percentile(durations, percent=MEDIAN) * MILLISECONDS,
        p99_ms=find_percentile(durations, percent=TAIL) * MILLISECONDS,
        cpu_us=cpu / CALLS * MICROSECONDS,
    )


def _time(call: Callable[[], None]) -> float:
    started = time.perf_counter()
    call()
    return time.perf_counter() - started


def _make_frame_call() -> Callable[[], None]:
    sock = socket.create_connection((HOST, FRAME_PORT))
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    reader = FrameReader()

    def call() -> None:
        sock.sendall(REQUEST)
        frames = reader.feed(sock.recv(4096))
        while not frames:
            frames = reader.feed(sock.recv(4096))

    return call


def _make_pycurl_call() -> Callable[[], None]:
    curl = pycurl.Curl()
    curl.setopt(pycurl.URL, f'http://{HOST}:{HTTP_PORT}/files/7')
    curl.setopt(pycurl.NOSIGNAL, 1)
    field = '{0}: {1}'.format(*(part.decode() for part in HEADER))

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


def _make_pyzmq_call() -> Callable[[], None]:
    context: Any = zmq.Context()
    peer = context.socket(zmq.REQ)
    peer.connect(f'tcp://{HOST}:{ZMQ_PORT}')

    def call() -> None:
        peer.send_multipart((HEADER[1], BODY))
        assert peer.recv_multipart()[-1] == BODY

    return call


if __name__ == '__main__':
    serve()
