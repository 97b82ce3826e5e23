"""Clients that don't behave: what each of a crowd sends, and the crowd."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable, Iterator
from contextlib import suppress
from itertools import chain, repeat
from types import MappingProxyType
from typing import Final

from msgspec import Struct

from standins.deployment.model import ENTRY_PORT, HOST_NAME

Pieces = Iterator[bytes]
Builder = Callable[[int], Pieces]

BODY_BYTES: Final = 1_048_576
TURN_BYTES: Final = 16_384
CHUNK_BYTES: Final = 65_536
HEAD_BYTES: Final = 8_000
SMALL_CHUNKS: Final = 40_000
SMALL_CHUNKS_PER_TURN: Final = 1_000
LINE_BYTES: Final = 65_000
LONG_LINES: Final = 90
TRAILER_LINES: Final = 500
PIPELINED_REQUESTS: Final = 40
PIPELINED_BODY_BYTES: Final = 60_000
ANSWER_BYTES: Final = 1_000_000
MEDIUM_ANSWER_BYTES: Final = 200_000
LONG_ANSWER_BYTES: Final = 5_000_000
SEND_SECONDS: Final = 20.0
# Keeps the kernel from holding what the client does not read.
SMALL_BUFFER_BYTES: Final = 4096
PATIENT: Final = 'X-Deadline-Ms: 100000'
END_OF_HEAD: Final = b'\r\n'
CHUNKED: Final = 'Transfer-Encoding: chunked'


class Crowd(Struct, frozen=True, kw_only=True):
    """A crowd of clients that all do the same.

    Attributes:
        clients: number of clients.
        build: builds what the client with a number sends, by turns.
        port: port that they connect to.
        reads: whether they read the answers.
    """

    clients: int
    build: Builder
    port: int = ENTRY_PORT
    reads: bool = True


class CrowdRun:
    """The open connections of a crowd.

    Attributes:
        answered: number of clients that got an answer or lost their connection.
    """

    def __init__(self, crowd: Crowd, host: str) -> None:
        """Describe the run; ``gather`` connects.

        Args:
            crowd: the crowd.
            host: IP address that it connects to.
        """
        self.answered = 0
        self._crowd = crowd
        self._host = host
        self._tasks: list[asyncio.Task[None]] = []
        self._is_over = asyncio.Event()

    async def gather(self) -> None:
        """Connect all clients and send what they send, as far as it is read."""
        sent = [asyncio.Event() for _number in range(self._crowd.clients)]
        self._tasks = [
            asyncio.create_task(self._behave_badly(number, has_sent))
            for number, has_sent in enumerate(sent)
        ]
        await asyncio.gather(*(each.wait() for each in sent))

    async def leave(self) -> None:
        """Close all connections."""
        self._is_over.set()
        await asyncio.gather(*self._tasks)

    async def _behave_badly(self, number: int, has_sent: asyncio.Event) -> None:
        with suppress(OSError):
            await self._hold_connection(number, has_sent)
        has_sent.set()

    async def _hold_connection(
        self, number: int, has_sent: asyncio.Event
    ) -> None:
        sock = socket.socket()
        sock.setblocking(False)
        if not self._crowd.reads:
            sock.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER_BYTES
            )
        loop = asyncio.get_running_loop()
        await loop.sock_connect(sock, (self._host, self._crowd.port))
        reader, writer = await asyncio.open_connection(
            sock=sock, limit=SMALL_BUFFER_BYTES
        )
        reading = asyncio.create_task(self._read(reader))
        with suppress(TimeoutError, OSError):
            await asyncio.wait_for(self._send(writer, number), SEND_SECONDS)
        has_sent.set()
        await self._is_over.wait()
        reading.cancel()
        writer.transport.abort()

    async def _send(self, writer: asyncio.StreamWriter, number: int) -> None:
        pieces = self._crowd.build(number)
        while piece := next(pieces, b''):
            writer.write(piece)
            await writer.drain()
            await asyncio.sleep(0)

    async def _read(self, reader: asyncio.StreamReader) -> None:
        if not self._crowd.reads:
            return
        with suppress(OSError):
            if await reader.read(1):
                self.answered += 1
            while await reader.read(TURN_BYTES):
                await asyncio.sleep(0)


def build_head(number: int, *lines: str, path: str = '/lookup/5/') -> bytes:
    """Build the head of a request, without the empty line.

    Args:
        number: number of the client.
        lines: further lines.
        path: path of the request.

    Returns:
        The head.
    """
    method = 'POST' if 'booking' in path else 'GET'
    usual = (
        f'{method} {path} HTTP/1.1',
        f'Host: {HOST_NAME}',
        f'X-Request-Id: crowd-{number}',
        PATIENT,
    )
    return ''.join(f'{line}\r\n' for line in (*usual, *lines)).encode()


def build_body(
    number: int,
    *,
    size: int = BODY_BYTES,
    missing: int = 1,
    path: str = '/lookup/5/',
) -> bytes:
    """Build a request whose body has a length.

    Args:
        number: number of the client.
        size: announced size of the body.
        missing: bytes that are not sent.
        path: path of the request.

    Returns:
        Head and body.
    """
    head = build_head(number, f'Content-Length: {size}', path=path)
    return head + END_OF_HEAD + bytes(size - missing)


def send_body_at_once(number: int) -> Pieces:
    """Send a large body but for its last byte."""
    yield build_body(number)


def send_body_by_turns(number: int) -> Pieces:
    """Send the same in pieces of 16 KB."""
    request = build_body(number)
    for begin in range(0, len(request), TURN_BYTES):
        yield request[begin : begin + TURN_BYTES]


def send_whole_body(number: int) -> Pieces:
    """Send a whole large body that takes 300 ms of work."""
    yield build_body(number, missing=0, path='/lookup/300/')


def send_large_chunks(number: int) -> Pieces:
    """Send a large body in chunks, without the last one."""
    return _send_chunks(number, path='/lookup/5/')


def send_large_unsafe_chunks(number: int) -> Pieces:
    """Send a large body of a booking in chunks, without the last one."""
    return _send_chunks(number, path='/booking/5/')


def send_small_chunks(number: int) -> Pieces:
    """Send a body in chunks of one byte, without the last one."""
    yield build_head(number, CHUNKED) + END_OF_HEAD
    turn = b'1\r\nx\r\n' * SMALL_CHUNKS_PER_TURN
    yield from repeat(turn, SMALL_CHUNKS // SMALL_CHUNKS_PER_TURN)


def send_trailers(number: int) -> Pieces:
    """Send a short body in chunks, then trailer lines that do not end."""
    yield build_head(number, CHUNKED) + END_OF_HEAD
    yield b'1\r\nx\r\n0\r\n'
    yield from repeat(b'a: b\r\n', TRAILER_LINES)


def send_open_trailer(number: int) -> Pieces:
    """Send a short body in chunks, then a trailer line without an end."""
    yield build_head(number, CHUNKED) + END_OF_HEAD
    yield b'1\r\nx\r\n0\r\na: '
    yield from repeat(b'b' * TURN_BYTES, BODY_BYTES // TURN_BYTES)


def send_short_lines(number: int) -> Pieces:
    """Send a head of many short lines, without its end."""
    yield _build_long_head(number, 'a:')


def send_whole_short_lines(number: int) -> Pieces:
    """Send a whole head of many short lines."""
    yield _build_long_head(number, 'a:') + END_OF_HEAD


def send_odd_lines(number: int) -> Pieces:
    """Send a whole head whose lines are one odd character long."""
    yield _build_long_head(number, '~: \xe9') + END_OF_HEAD


def send_long_lines(number: int) -> Pieces:
    """Send a head of long lines, without its end."""
    yield build_head(number)
    yield from repeat(b'a: ' + b'b' * LINE_BYTES + END_OF_HEAD, LONG_LINES)


def send_pipelined_bodies(number: int) -> Pieces:
    """Send many bodies one behind the other, the last one without its end."""
    whole = build_body(number, size=PIPELINED_BODY_BYTES, missing=0)
    yield from repeat(whole, PIPELINED_REQUESTS)
    yield build_body(number, size=PIPELINED_BODY_BYTES)


def send_lookups_of_large_answers(number: int) -> Pieces:
    """Ask for several large answers at once."""
    return _send_lookups(number, size=ANSWER_BYTES)


def send_lookups_of_long_answers(number: int) -> Pieces:
    """Ask for several answers that a node with little memory can't hold."""
    return _send_lookups(number, size=LONG_ANSWER_BYTES)


def send_nothing(number: int) -> Pieces:
    """Connect and send nothing."""
    return iter(())


def send_mixture(number: int) -> Pieces:
    """Send what one of the other crowds sends."""
    kinds = (
        send_body_at_once,
        send_body_by_turns,
        send_whole_body,
        send_large_chunks,
        send_large_unsafe_chunks,
        send_small_chunks,
        send_trailers,
        send_short_lines,
        send_whole_short_lines,
        send_odd_lines,
        send_pipelined_bodies,
    )
    return kinds[number % len(kinds)](number)


def send_lookups_of_medium_answers(number: int) -> Pieces:
    """Ask for many answers that go to the entry at once."""
    yield from _send_lookups(number, size=MEDIUM_ANSWER_BYTES)
    yield from _send_lookups(number, size=MEDIUM_ANSWER_BYTES)


def _send_lookups(number: int, *, size: int) -> Pieces:
    path = f'/lookup/5/{size}/'
    yield (build_head(number, path=path) + END_OF_HEAD) * 4


def _send_chunks(number: int, *, path: str) -> Pieces:
    chunk = b'%x\r\n%b\r\n' % (CHUNK_BYTES, bytes(CHUNK_BYTES))
    head = build_head(number, CHUNKED, path=path) + END_OF_HEAD
    return chain((head,), repeat(chunk, BODY_BYTES // CHUNK_BYTES))


def _build_long_head(number: int, line: str) -> bytes:
    head = build_head(number)
    text = f'{line}\r\n'.encode('latin-1')
    return head + text * ((HEAD_BYTES - len(head)) // len(text))


MANY: Final = 500
# More than the slots of both servers.
FEW: Final = 14
CROWDS: Final = MappingProxyType(
    {
        'bodies-at-once': Crowd(clients=MANY, build=send_body_at_once),
        'bodies-by-turns': Crowd(clients=MANY, build=send_body_by_turns),
        'whole-bodies': Crowd(clients=MANY, build=send_whole_body),
        'large-chunks': Crowd(clients=MANY, build=send_large_chunks),
        'unsafe-chunks': Crowd(clients=MANY, build=send_large_unsafe_chunks),
        'small-chunks': Crowd(clients=MANY, build=send_small_chunks),
        'trailers': Crowd(clients=MANY, build=send_trailers),
        'open-trailers': Crowd(clients=MANY, build=send_open_trailer),
        'open-heads': Crowd(clients=1500, build=send_short_lines),
        'short-lines': Crowd(clients=1500, build=send_whole_short_lines),
        'odd-lines': Crowd(clients=2500, build=send_odd_lines),
        'pipelined': Crowd(clients=MANY, build=send_pipelined_bodies),
        'mixture': Crowd(clients=MANY, build=send_mixture),
        'few-bodies': Crowd(clients=FEW, build=send_body_at_once),
        'few-chunked': Crowd(clients=FEW, build=send_large_chunks),
        'unread-answers': Crowd(
            clients=MANY,
            build=send_lookups_of_large_answers,
            reads=False,
        ),
        'few-unread-answers': Crowd(
            clients=FEW,
            build=send_lookups_of_large_answers,
            reads=False,
        ),
        'unread-medium-answers': Crowd(
            clients=MANY,
            build=send_lookups_of_medium_answers,
            reads=False,
        ),
        'unread-long-answers': Crowd(
            clients=MANY,
            build=send_lookups_of_long_answers,
            reads=False,
        ),
        'few-unread-long-answers': Crowd(
            clients=FEW,
            build=send_lookups_of_long_answers,
            reads=False,
        ),
    },
)
