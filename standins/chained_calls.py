"""Onward calls that the stand-in of a backend server makes to the mesh."""

from __future__ import annotations

import asyncio
from typing import Final

CHAIN_PREFIX: Final = b'/chain/'
CONTENT_LENGTH: Final = b'content-length:'
HEAD_END: Final = b'\r\n\r\n'
# Headers that a backend server copies from a request to its onward calls.
CONTEXT_HEADERS: Final = (
    b'wagtaildale-deadline-ms',
    b'wagtaildale-depth',
    b'wagtaildale-retries',
)

Connection = tuple[asyncio.StreamReader, asyncio.StreamWriter]


def parse_remaining_calls(target: bytes) -> int:
    """Parse how many calls follow in the chain.

    Args:
        target: request target.

    Returns:
        N of ``/chain/N``; 0 for any other target.
    """
    if not target.startswith(CHAIN_PREFIX):
        return 0
    return int(target.removeprefix(CHAIN_PREFIX))


class ChainedCaller:
    """Makes calls on kept-alive connections to the adjacent node."""

    def __init__(self, host: str, port: int) -> None:
        """Create the caller without opening a connection.

        Args:
            host: IP address of the node.
            port: entry port of the node.
        """
        self._host = host
        self._port = port
        self._idle: list[Connection] = []

    def close(self) -> None:
        """Close the idle connections."""
        for _reader, writer in self._idle:
            writer.close()
        self._idle.clear()

    async def call(
        self, remaining_calls: int, headers: dict[bytes, bytes]
    ) -> None:
        """Make the next call of a chain, if any remains.

        Args:
            remaining_calls: number of calls that follow.
            headers: headers of the request being served.

        Raises:
            OSError: if the node cannot be reached.
            EOFError: if the node closes the connection without a response.
        """
        if not remaining_calls:
            return
        connection = self._idle.pop() if self._idle else await self._open()
        reader, writer = connection
        context = b''.join(
            b'%b: %b\r\n' % (name, headers[name])
            for name in CONTEXT_HEADERS
            if name in headers
        )
        writer.write(
            b'GET /chain/%d HTTP/1.1\r\nhost: mesh\r\n%b\r\n'
            % (remaining_calls - 1, context),
        )
        head = await reader.readuntil(HEAD_END)
        await reader.readexactly(_parse_content_length(head))
        self._idle.append(connection)

    async def _open(self) -> Connection:
        return await asyncio.open_connection(self._host, self._port)


def _parse_content_length(head: bytes) -> int:
    for header in head.lower().split(b'\r\n'):
        if header.startswith(CONTENT_LENGTH):
            return int(header.removeprefix(CONTENT_LENGTH))
    return 0
