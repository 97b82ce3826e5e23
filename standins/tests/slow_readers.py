"""Callers that read long answers more slowly than these come."""

from __future__ import annotations

import asyncio
from contextlib import closing, suppress
from typing import Final

from msgspec import Struct

from standins.deployment.model import ENTRY_PORT, HOST_NAME

TURN_BYTES: Final = 20_000
TURN_SECONDS: Final = 0.1
DEADLINE_SECONDS: Final = 2.0
PATIENCE_SECONDS: Final = 3.0
MILLISECONDS: Final = 1000


class SlowReaders(Struct, frozen=True, kw_only=True):
    """Callers that ask again and again, and read each answer slowly.

    Attributes:
        clients: number of callers.
        path: path of their requests.
        seconds: how long they go on, seconds.
        turn_bytes: bytes that each reads in a turn.
        turn_seconds: pause between two turns, seconds.
    """

    clients: int
    path: str
    seconds: float = 8
    turn_bytes: int = TURN_BYTES
    turn_seconds: float = TURN_SECONDS


class SlowReaderRun:
    """The callers at one node.

    Attributes:
        answered: number of answers that began.
    """

    def __init__(self, readers: SlowReaders, host: str) -> None:
        """Describe the run; ``gather`` connects.

        Args:
            readers: the callers.
            host: IP address that they connect to.
        """
        self.answered = 0
        self._readers = readers
        self._host = host
        self._tasks: list[asyncio.Task[None]] = []

    async def gather(self) -> None:
        """Start to ask, and wait until the callers are about to leave."""
        self._tasks = [
            asyncio.create_task(self._read_again_and_again(number))
            for number in range(self._readers.clients)
        ]
        await asyncio.sleep(self._readers.seconds)

    async def leave(self) -> None:
        """Close all connections."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _read_again_and_again(self, number: int) -> None:
        count = 0
        while True:
            count += 1
            with suppress(OSError, TimeoutError):
                async with asyncio.timeout(PATIENCE_SECONDS):
                    await self._read(f'slow-{number}-{count}')
            await asyncio.sleep(TURN_SECONDS)

    async def _read(self, request_id: str) -> None:
        reader, writer = await asyncio.open_connection(
            self._host, ENTRY_PORT, limit=self._readers.turn_bytes
        )
        with closing(writer.transport):
            writer.write(self._build_request(request_id))
            await self._read_slowly(reader)

    async def _read_slowly(self, reader: asyncio.StreamReader) -> None:
        if await reader.read(1):
            self.answered += 1
        while await reader.read(self._readers.turn_bytes):
            await asyncio.sleep(self._readers.turn_seconds)

    def _build_request(self, request_id: str) -> bytes:
        deadline_ms = round(DEADLINE_SECONDS * MILLISECONDS)
        lines = (
            f'GET {self._readers.path} HTTP/1.1',
            f'Host: {HOST_NAME}',
            f'X-Request-Id: {request_id}',
            f'X-Deadline-Ms: {deadline_ms}',
        )
        return ''.join(f'{line}\r\n' for line in (*lines, '')).encode()
