"""Stand-in of backend servers: one process serves any number of them.

Each listens on its own address and runs up to ``slots`` requests at once;
further requests are shed with 503. On the same address,
``GET /standin/counts`` returns what has run and ``POST /standin/faults``
sets the faults to simulate.
"""

from __future__ import annotations

import asyncio
import random
import sys
from typing import Any, Final, cast

import httptools
from msgspec import Struct, convert, field, json, structs

from standins.chained_calls import ChainedCaller, parse_remaining_calls

COUNTS_PATH: Final = b'/standin/counts'
FAULTS_PATH: Final = b'/standin/faults'
REQUEST_ID_HEADER: Final = b'wagtaildale-request-id'
KEY_HEADER: Final = b'x-booking'
MILLISECONDS: Final = 1000
PHOTO_PREFIX: Final = b'/photos/'
OK: Final = 200
SERVER_ERROR: Final = 500
UNAVAILABLE: Final = 503
LISTEN_BACKLOG: Final = 256


class BackendFaults(Struct, kw_only=True):
    """How a backend server behaves; set by tests.

    Attributes:
        service_ms: processing time of a request.
        slots: requests that run at once; further ones are shed.
        cold_ms: extra processing time while the server is cold.
        cold_requests: number of requests until the server is warm.
        cut_share: share of responses that are truncated.
        close_share: share of requests that run, but whose connection is
            closed without a response.
        error: whether requests run and get an error response.
        hang: whether requests run and get no response.
        draining: whether all new requests are shed.
        ends_under: path of requests that crash the server; empty for none.
        down_ms: time from a crash until the server listens again.
        rate_limit: limit announced in responses, requests per second;
            negative for none.
        leaving: whether responses announce that the server is leaving.
    """

    service_ms: float = 1
    slots: int = 10
    cold_ms: float = 0
    cold_requests: int = 0
    cut_share: float = 0
    close_share: float = 0
    error: bool = False
    hang: bool = False
    draining: bool = False
    ends_under: str = ''
    down_ms: float = 100
    rate_limit: float = -1
    leaving: bool = False


class BackendCounts(Struct, kw_only=True):
    """Counts of the requests and connections of a backend server.

    Attributes:
        runs: requests that were run.
        ends: crashes caused by a request.
        shed: requests refused with 503.
        cancelled: requests whose connection closed while they ran.
        connections: connections accepted.
        by_request: number of runs by the request id of the mesh.
        by_key: number of runs by the caller's own key.
        by_single_key: like ``by_key``, for POST requests only, which must
            not run twice.
    """

    runs: int = 0
    ends: int = 0
    shed: int = 0
    cancelled: int = 0
    connections: int = 0
    by_request: dict[str, int] = field(default_factory=dict)
    by_key: dict[str, int] = field(default_factory=dict)
    by_single_key: dict[str, int] = field(default_factory=dict)


class BackendSpec(Struct, kw_only=True):
    """Address and behaviour of one backend server.

    Attributes:
        name: name included in responses.
        host: IP address to listen on.
        port: port to listen on.
        entry_port: port of the node beside it for the backend server's own
            calls.
        faults: initial behaviour.
    """

    name: str
    host: str
    port: int
    entry_port: int = 0
    faults: BackendFaults = field(default_factory=BackendFaults)


class BackendStandIn:
    """A backend server that simulates work and faults."""

    def __init__(self, spec: BackendSpec) -> None:
        """Create the server without listening yet.

        Args:
            spec: address and behaviour.
        """
        self.spec = spec
        self.counts = BackendCounts()
        self.running_requests = 0
        self.chained_caller = ChainedCaller(spec.host, spec.entry_port)
        self.transports: set[asyncio.Transport] = set()
        self.crash_task: asyncio.Task[None] | None = None
        self._server: asyncio.Server | None = None
        self._random = random.Random(spec.name)

    async def listen(self) -> None:
        """Start listening."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: _Connection(self),
            self.spec.host,
            self.spec.port,
            backlog=LISTEN_BACKLOG,
        )

    def close(self) -> None:
        """Stop listening and abort all connections."""
        if self._server is not None:
            self._server.close()
        self.chained_caller.close()
        for transport in tuple(self.transports):
            transport.abort()

    async def crash(self) -> None:
        """Abort all requests, and listen again after ``down_ms``."""
        self.counts.ends += 1
        # The port closes first, so that a client that sees its connection
        # abort cannot reconnect.
        self.close()
        await asyncio.sleep(self.spec.faults.down_ms / MILLISECONDS)
        await self.listen()

    def draw_fault(self, share: float) -> bool:
        """Decide at random whether a fault applies to a request.

        Args:
            share: share of requests that the fault applies to.

        Returns:
            Whether it applies.
        """
        return share > 0 and self._random.random() < share

    def count_run(self, headers: dict[bytes, bytes], method: bytes) -> None:
        """Count the run of a request.

        Args:
            headers: request headers.
            method: request method.
        """
        counts = self.counts
        counts.runs += 1
        _increment(counts.by_request, headers.get(REQUEST_ID_HEADER))
        _increment(counts.by_key, headers.get(KEY_HEADER))
        if method == b'POST':
            _increment(counts.by_single_key, headers.get(KEY_HEADER))

    def update_faults(self, body: bytes) -> None:
        """Change some of the simulated faults.

        Args:
            body: JSON object with fields of ``BackendFaults``.
        """
        updated = {**structs.asdict(self.spec.faults), **json.decode(body)}
        self.spec.faults = convert(updated, BackendFaults)

    @property
    def crash_target(self) -> bytes:
        """Target of the requests that crash the server."""
        return self.spec.faults.ends_under.encode()

    def format_notices(self) -> bytes:
        """Format the headers that announce a rate limit or leaving.

        Returns:
            Header lines, each ended by CRLF.
        """
        faults = self.spec.faults
        notices = b''
        if faults.rate_limit >= 0:
            notices += b'wagtaildale-rate-limit: %.3f\r\n' % faults.rate_limit
        if faults.leaving:
            notices += b'wagtaildale-leaving: 1\r\n'
        return notices

    @property
    def service_seconds(self) -> float:
        """Processing time of the next request."""
        faults = self.spec.faults
        milliseconds = faults.service_ms
        if self.counts.runs < faults.cold_requests:
            milliseconds += faults.cold_ms
        return milliseconds / MILLISECONDS


def _increment(runs: dict[str, int], key: bytes | None) -> None:
    if key is not None:
        runs.setdefault(key.decode(), 0)
        runs[key.decode()] += 1


class _Connection(asyncio.Protocol):
    """One connection to a backend server; requests run one at a time."""

    def __init__(self, backend: BackendStandIn) -> None:
        self._backend = backend
        self._parser = httptools.HttpRequestParser(self)
        self._task: asyncio.Task[None] | None = None
        self._target = b''
        self._headers: dict[bytes, bytes] = {}
        self._body: list[bytes] = []

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast('asyncio.Transport', transport)
        self._backend.counts.connections += 1
        self._backend.transports.add(self._transport)

    def connection_lost(self, exc: Exception | None) -> None:
        self._backend.transports.discard(self._transport)
        if self._task is not None and not self._task.done():
            self._task.cancel()

    def data_received(self, chunk: bytes) -> None:
        try:
            self._parser.feed_data(chunk)
        except httptools.HttpParserError:
            self._transport.close()

    def on_message_begin(self) -> None:
        self._target = b''
        self._headers = {}
        self._body = []

    def on_url(self, url: bytes) -> None:
        self._target += url

    def on_header(self, name: bytes, text: bytes) -> None:
        self._headers[name.lower()] = text

    def on_body(self, chunk: bytes) -> None:
        self._body.append(chunk)

    def on_message_complete(self) -> None:
        if self._target == COUNTS_PATH:
            self._send_response(OK, json.encode(self._backend.counts))
        elif self._target == FAULTS_PATH:
            self._backend.update_faults(b''.join(self._body))
            self._send_response(OK, b'{}')
        elif self._target == self._backend.crash_target:
            loop = asyncio.get_running_loop()
            self._backend.crash_task = loop.create_task(self._backend.crash())
        else:
            self._start_request()

    def _start_request(self) -> None:
        backend = self._backend
        faults = backend.spec.faults
        if faults.draining or backend.running_requests >= faults.slots:
            backend.counts.shed += 1
            self._send_response(UNAVAILABLE, b'shed', b'retry-after: 1\r\n')
            return
        loop = asyncio.get_running_loop()
        self._task = loop.create_task(self._handle_request(self._headers))

    async def _handle_request(self, headers: dict[bytes, bytes]) -> None:
        backend = self._backend
        backend.running_requests += 1
        seconds = backend.service_seconds
        backend.count_run(headers, self._parser.get_method())
        remaining_calls = parse_remaining_calls(self._target)
        await self._simulate_work(seconds)
        try:
            await backend.chained_caller.call(remaining_calls, headers)
        except (OSError, EOFError):
            # Like a real server that depends on the response of its own call.
            self._send_response(SERVER_ERROR, b'no answer to a call of its own')
            return
        if backend.draw_fault(backend.spec.faults.close_share):
            self._transport.close()
        elif not backend.spec.faults.hang:
            self._send_echo()

    async def _simulate_work(self, seconds: float) -> None:
        try:
            await asyncio.sleep(seconds)
        except asyncio.CancelledError:
            self._backend.counts.cancelled += 1
            raise
        finally:
            self._backend.running_requests -= 1

    def _send_echo(self) -> None:
        body = b'{"by":"%b","target":"%b","key":"%b","bytes":%d}' % (
            self._backend.spec.name.encode(),
            self._target,
            self._headers.get(KEY_HEADER, b''),
            sum(map(len, self._body)),
        )
        if self._target.startswith(PHOTO_PREFIX):
            body += b'\xff' * int(self._target.rsplit(b'/', 1)[1])
        faults = self._backend.spec.faults
        cut = self._backend.draw_fault(faults.cut_share)
        self._send_response(
            SERVER_ERROR if faults.error else OK,
            body,
            self._backend.format_notices(),
            cut=cut,
        )

    def _send_response(
        self,
        status: int,
        body: bytes,
        extra: bytes = b'',
        *,
        cut: bool = False,
    ) -> None:
        head = b'HTTP/1.1 %d X\r\ncontent-length: %d\r\n%b\r\n' % (
            status,
            len(body),
            extra,
        )
        if self._parser.get_method() == b'HEAD':
            body = b''
        if cut:
            self._transport.write(head + body[: len(body) // 2])
            self._transport.close()
        else:
            self._transport.write(head + body)


async def serve(specs: list[BackendSpec]) -> None:
    """Serve until the process is ended.

    Args:
        specs: backend servers to run.
    """
    backends = [BackendStandIn(spec) for spec in specs]
    await asyncio.gather(*(backend.listen() for backend in backends))
    sys.stdout.write('listening\n')
    sys.stdout.flush()
    await asyncio.Event().wait()


def main() -> None:
    """Run the backend servers described in JSON on standard input."""
    decoded_specs: Any = json.decode(sys.stdin.read())
    specs = convert(decoded_specs, list[BackendSpec])
    asyncio.run(serve(specs))


if __name__ == '__main__':
    main()
