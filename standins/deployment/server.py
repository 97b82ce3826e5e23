"""Stand-in of one backend server, as a process of its own.

SIGUSR1 makes it leave: its health check fails and its responses ask callers to
close their connections. SIGUSR2 makes it say in its responses that it leaves.
SIGTERM ends it.
"""

from __future__ import annotations

import asyncio
import random
import signal
import sys
import time
from hashlib import blake2b
from pathlib import Path
from typing import TYPE_CHECKING, Final, cast

import httptools
from msgspec import json

from standins.deployment.inner_calls import InnerCaller
from standins.deployment.model import (
    APP_PORT,
    ENTRY_PORT,
    HEALTH_PATH,
    Arrival,
    ArrivalEnd,
    LeavingWord,
    ServerPlan,
)
from standins.deployment.profiles import ALL_DEPLOYMENTS

if TYPE_CHECKING:
    from standins.deployment.model import WorkClass

MILLISECONDS: Final = 1000
MAX_CONNECTIONS: Final = 130
IDLE_SECONDS: Final = 10
BACKLOG: Final = 128
OK: Final = 200
MISDIRECTED: Final = 421
SERVER_ERROR: Final = 500
UNAVAILABLE: Final = 503
TIMED_OUT: Final = 504
SEAL_BYTES: Final = 8
# A quotient, one that can't be read, and a whole number.
LIMITS: Final = (b'533.3333333333334', b'unknown', b'533')
ENDLESS: Final = 'endless'
ENDLESS_CHUNK: Final = b'10000\r\n%b\r\n' % bytes(0x10000)
CLOSE: Final = b'Connection: close\r\n'
NOT_EXECUTED: Final = b'X-Not-Executed: 1\r\n'


class Server:
    """State of the server, shared by its connections."""

    def __init__(self, plan: ServerPlan) -> None:
        """Create the server; nothing listens yet.

        Args:
            plan: how the server is started.
        """
        self.plan = plan
        self.deployment = ALL_DEPLOYMENTS[plan.deployment]
        self.is_leaving = False
        self.says_leaving = False
        self.waiting = 0
        self.running = 0
        self.connections: set[Connection] = set()
        self.random = random.Random(plan.seed)
        self.inner_caller = InnerCaller(plan.host, ENTRY_PORT)
        self.slots = asyncio.Semaphore(plan.slots)
        self._has_said = False
        number = int(plan.host.rpartition('.')[2])
        self._limit = LIMITS[number % len(LIMITS)]
        self._arrivals = Path(plan.arrivals_path).open('ab', buffering=0)

    async def serve(self) -> None:
        """Serve until SIGTERM."""
        loop = asyncio.get_running_loop()
        is_over = asyncio.Event()
        loop.add_signal_handler(signal.SIGTERM, is_over.set)
        loop.add_signal_handler(signal.SIGUSR1, self._leave)
        loop.add_signal_handler(signal.SIGUSR2, self._say_leaving)
        listener = await loop.create_server(
            lambda: Connection(self),
            self.plan.host,
            APP_PORT,
            backlog=BACKLOG,
        )
        sys.stdout.write('listening\n')
        sys.stdout.flush()
        await is_over.wait()
        listener.close()

    def note_arrival(self, request_id: str, end: ArrivalEnd) -> None:
        """Write down a request that has reached the server.

        Args:
            request_id: id of the request.
            end: what the server does with it.
        """
        arrival = Arrival(
            request_id=request_id,
            instance=self.plan.instance,
            at=time.monotonic(),
            end=end,
        )
        self._arrivals.write(json.encode(arrival) + b'\n')

    def format_load(self) -> bytes:
        """Format the header that tells the load.

        Returns:
            Running, waiting and most running requests.
        """
        slots = self.plan.slots
        return b'%d,%d,%d' % (self.running, self.waiting, slots)

    def format_words(self) -> bytes:
        """Format the headers that name a limit and that the server leaves.

        Returns:
            Header lines; none if the server says nothing.
        """
        words = b''
        if self.plan.names_limit:
            words += b'Server-Limit: %b\r\n' % self._limit
        if self.says_leaving:
            words += b'Server-Leaving: 1\r\n'
            self._note_word()
        return words

    def _note_word(self) -> None:
        if self._has_said:
            return
        self._has_said = True
        word = LeavingWord(
            instance=self.plan.instance,
            host=self.plan.host,
            at=time.monotonic(),
        )
        Path(self.plan.word_path).write_bytes(json.encode(word) + b'\n')

    def _leave(self) -> None:
        self.is_leaving = True

    def _say_leaving(self) -> None:
        self.says_leaving = True


class Request:
    """A request as it is read from a connection."""

    def __init__(self) -> None:
        """Start without any field."""
        self.target = b''
        self.headers: dict[bytes, bytes] = {}

    @property
    def request_id(self) -> str:
        """Id of the request; empty if it has none."""
        return self.headers.get(b'x-request-id', b'').decode()

    @property
    def is_endless(self) -> bool:
        """Whether the answer has no end: the fourth part of the path says."""
        return self._size == ENDLESS

    @property
    def answer_bytes(self) -> int:
        """Least size of the answer, which the fourth part of the path tells."""
        return 0 if self.is_endless else int(self._size)

    @property
    def seconds_left(self) -> float:
        """Seconds for which the caller waits."""
        return int(self.headers.get(b'x-deadline-ms', b'1000')) / MILLISECONDS

    @property
    def _size(self) -> str:
        parts = self.target.decode().split('/')
        return parts[3] if len(parts) > 4 else '0'


class Connection(asyncio.Protocol):
    """One connection; requests run one at a time."""

    def __init__(self, server: Server) -> None:
        """Create the connection before it is made.

        Args:
            server: server that it belongs to.
        """
        self._server = server
        self._parser = httptools.HttpRequestParser(self)
        self._request = Request()
        self._task: asyncio.Task[None] | None = None
        self._idle: asyncio.TimerHandle | None = None
        self._may_write = asyncio.Event()
        self._may_write.set()

    def pause_writing(self) -> None:
        self._may_write.clear()

    def resume_writing(self) -> None:
        self._may_write.set()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast('asyncio.Transport', transport)
        if len(self._server.connections) >= MAX_CONNECTIONS:
            self._transport.abort()
            return
        self._server.connections.add(self)
        self._await_request()

    def connection_lost(self, exc: Exception | None) -> None:
        self._server.connections.discard(self)
        if self._idle is not None:
            self._idle.cancel()
        if self._task is not None:
            self._task.cancel()

    def data_received(self, chunk: bytes) -> None:
        try:
            self._parser.feed_data(chunk)
        except httptools.HttpParserError:
            self._transport.abort()

    def on_message_begin(self) -> None:
        if self._idle is not None:
            self._idle.cancel()
        self._request = Request()

    def on_url(self, url: bytes) -> None:
        self._request.target += url

    def on_header(self, name: bytes, text: bytes) -> None:
        self._request.headers[name.lower()] = text

    def on_message_complete(self) -> None:
        request = self._request
        if request.target.decode() == HEALTH_PATH:
            status = UNAVAILABLE if self._server.is_leaving else OK
            self._respond(request, status)
        else:
            self._take(request)

    def _take(self, request: Request) -> None:
        server = self._server
        own = server.plan.instance.encode()
        named = request.headers.get(b'x-expected-instance', own)
        end = ArrivalEnd.run
        if named != own:
            end = ArrivalEnd.misdirected
        elif server.waiting >= server.deployment.queue:
            end = ArrivalEnd.shed
        server.note_arrival(request.request_id, end)
        if end is ArrivalEnd.run:
            self._task = asyncio.ensure_future(self._run(request))
        elif end is ArrivalEnd.shed:
            self._shed(request)
        else:
            self._respond(request, MISDIRECTED, NOT_EXECUTED)

    def _shed(self, request: Request) -> None:
        if self._server.deployment.resets_when_full:
            self._transport.abort()
        else:
            self._respond(request, UNAVAILABLE, NOT_EXECUTED)

    async def _run(self, request: Request) -> None:
        server = self._server
        deadline = time.monotonic() + request.seconds_left
        server.waiting += 1
        try:
            await asyncio.wait_for(server.slots.acquire(), request.seconds_left)
        except TimeoutError:
            self._respond(request, UNAVAILABLE, NOT_EXECUTED)
            return
        finally:
            server.waiting -= 1
        server.running += 1
        try:
            status = await self._work(request, deadline)
        finally:
            server.running -= 1
            server.slots.release()
        if request.is_endless:
            await self._respond_without_end(request)
        else:
            self._respond(request, status)

    async def _work(self, request: Request, deadline: float) -> int:
        _root, name, work_ms = request.target.decode().split('/')[:3]
        work_class = self._server.deployment.find_class(name)
        seconds = int(work_ms) * self._server.plan.speed / MILLISECONDS
        try:
            async with asyncio.timeout(max(0, deadline - time.monotonic())):
                await asyncio.sleep(seconds)
                await self._make_calls(work_class, deadline)
        except TimeoutError:
            return TIMED_OUT
        except (OSError, EOFError):
            return SERVER_ERROR
        return OK

    async def _make_calls(self, work_class: WorkClass, deadline: float) -> None:
        server = self._server
        for call in work_class.calls:
            if server.random.random() >= call.share:
                continue
            called = server.deployment.find_class(call.work_class)
            await asyncio.gather(
                *(
                    server.inner_caller.call(called, deadline=deadline)
                    for _time in range(call.times)
                ),
            )

    def _respond(
        self, request: Request, status: int, extra: bytes = b''
    ) -> None:
        server = self._server
        instance = server.plan.instance.encode()
        body = b'%b %b' % (instance, request.request_id.encode())
        body = body.ljust(request.answer_bytes)
        seal = blake2b(body, digest_size=SEAL_BYTES).hexdigest().encode()
        if server.is_leaving:
            extra += CLOSE
        self._transport.write(
            b'HTTP/1.1 %d X\r\n'
            b'X-Request-Id: %b\r\n'
            b'X-Response-Seal: %b\r\n'
            b'X-Instance-Id: %b\r\n'
            b'X-Server-Load: %b\r\n'
            b'Keep-Alive: timeout=%d\r\n'
            b'%b%b'
            b'Content-Length: %d\r\n\r\n%b'
            % (
                status,
                request.request_id.encode(),
                seal,
                instance,
                server.format_load(),
                IDLE_SECONDS,
                server.format_words(),
                extra,
                len(body),
                body,
            )
        )
        if server.is_leaving:
            self._transport.close()
        else:
            self._await_request()

    async def _respond_without_end(self, request: Request) -> None:
        self._transport.write(
            b'HTTP/1.1 200 X\r\nX-Request-Id: %b\r\n'
            b'Transfer-Encoding: chunked\r\n\r\n' % request.request_id.encode()
        )
        while not self._transport.is_closing():
            self._transport.write(ENDLESS_CHUNK)
            await self._may_write.wait()
            await asyncio.sleep(0)

    def _await_request(self) -> None:
        loop = asyncio.get_running_loop()
        self._idle = loop.call_later(IDLE_SECONDS, self._transport.close)


def main() -> None:
    """Run the server that standard input describes as JSON."""
    plan = json.decode(sys.stdin.readline(), type=ServerPlan)
    asyncio.run(Server(plan).serve())


if __name__ == '__main__':
    main()
