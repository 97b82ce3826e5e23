"""Calls that a backend server makes through the node beside it."""

from __future__ import annotations

import asyncio
import itertools
import time
from typing import TYPE_CHECKING, Final

from standins.deployment.exchanges import Streams, exchange, write_request

if TYPE_CHECKING:
    from standins.deployment.model import WorkClass

MILLISECONDS: Final = 1000
FIRST_ERROR: Final = 400


class InnerCaller:
    """Makes calls on kept connections to one node."""

    def __init__(self, host: str, port: int) -> None:
        """Create the caller without a connection.

        Args:
            host: IP address of the node.
            port: port for requests of callers.
        """
        self._host = host
        self._port = port
        self._numbers = itertools.count(1)
        self._idle: list[Streams] = []

    async def call(self, work_class: WorkClass, *, deadline: float) -> None:
        """Make one call.

        Args:
            work_class: class of the call.
            deadline: end of the request that makes it, seconds on the
                monotonic clock.

        Raises:
            OSError: if the call fails.
            EOFError: if the connection ends before the answer.
        """
        left_ms = int((deadline - time.monotonic()) * MILLISECONDS)
        request = write_request(
            work_class,
            f'inner-{self._host}-{time.monotonic_ns()}-{next(self._numbers)}',
            work_ms=round(work_class.work_ms),
            deadline_ms=max(1, min(left_ms, work_class.deadline_ms)),
        )
        streams = self._idle.pop() if self._idle else await self._open()
        try:
            answer = await exchange(streams, request)
        except BaseException:
            streams[1].close()
            raise
        if answer.keeps_open:
            self._idle.append(streams)
        else:
            streams[1].close()
        if answer.status >= FIRST_ERROR:
            raise ConnectionError(f'a call ended with {answer.status}')

    async def _open(self) -> Streams:
        return await asyncio.open_connection(self._host, self._port)
