"""What one hop between nodes costs by each transport that was weighed.

The same request goes to one echoing process in frames of our own on one
connection, by pycurl with a reused handle (HTTP), and by pyzmq (REQ to
ROUTER).
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

from benchmarks.figures import Figure, find_percentile
from wagtaildale.calls.addresses import Address
from wagtaildale.calls.callers import CallerLimits, CallerPort
from wagtaildale.calls.fields import CallFields
from wagtaildale.calls.frames import FrameReader, Run, encode_frame
from wagtaildale.calls.responses import ResponseHead
from wagtaildale.reactor.acceptor import Acceptor
from wagtaildale.reactor.loop import Loop
from wagtaildale.reactor.stream import Stream
from wagtaildale.types import CallNumber, InstanceId, RequestId

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from wagtaildale.calls.exchanges import Exchange

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
FIELD: Final = (b'wagtaildale-call', b'0' * 90)
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
        (FIELD,),
        BODY,
        more=False,
        length=len(BODY),
    ),
)


class Costs(Struct, frozen=True, kw_only=True):
    """What one transport costs: median, tail, the client's processor."""

    p50_ms: float
    p99_ms: float
    cpu_us: float


class HttpEcho:
    """Answers every request with the same body."""

    def handle_request(self, exchange: Exchange) -> None:
        """Answer one request.

        Args:
            exchange: the request.
        """
        exchange.begin_response(
            ResponseHead(status=200, headers=(FIELD,)), body=BODY
        )


class FrameEcho:
    """Sends every frame back; receives the events of one connection."""

    def __init__(self, loop: Loop, sock: socket.socket) -> None:
        """Take a connection.

        Args:
            loop: carries it.
            sock: the socket.
        """
        self._reader = FrameReader()
        self._stream = Stream(loop, sock, self)

    def on_open(self) -> None:
        """Do nothing."""

    def on_bytes(self, chunk: bytes) -> None:
        """Send frames back.

        Args:
            chunk: as read.
        """
        for frame in self._reader.feed(chunk):
            self._stream.send(encode_frame(frame))

    def on_end(self) -> None:
        """Close too."""
        self._stream.close()

    def on_lost(self, error: OSError) -> None:
        """Do nothing.

        Args:
            error: why.
        """

    def on_drained(self) -> None:
        """Do nothing."""


def serve() -> None:
    """Serve all protocols until the process is ended."""
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
            name=f'hop_own_frames_{name}',
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
    sock = socket.create_connection((HOST, FRAME_PORT))
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    reader = FrameReader()

    def call() -> None:
        sock.sendall(REQUEST)
        frames = reader.feed(sock.recv(4096))
        while not frames:
            frames = reader.feed(sock.recv(4096))

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
