"""One HTTP exchange of a stand-in with a node, on a connection that is kept."""

from __future__ import annotations

import asyncio
from typing import Final

from msgspec import Struct

from standins.deployment.model import HOST_NAME, RequestKind, WorkClass

HEAD_END: Final = b'\r\n\r\n'
LINE_END: Final = b'\r\n'
CONTENT_LENGTH: Final = b'content-length:'
RETRY_AFTER: Final = b'retry-after:'
CLOSE: Final = b'connection: close'

Streams = tuple[asyncio.StreamReader, asyncio.StreamWriter]


class Answer(Struct, frozen=True, kw_only=True):
    """Answer of a node.

    Attributes:
        status: HTTP status.
        keeps_open: whether the connection stays open.
        retry_after: seconds after which the request may come again; 0 if
            nothing is said.
    """

    status: int
    keeps_open: bool
    retry_after: float = 0


def write_request(
    work_class: WorkClass,
    request_id: str,
    *,
    work_ms: int,
    deadline_ms: int,
) -> bytes:
    """Write a request.

    Args:
        work_class: class of the request.
        request_id: id of the request.
        work_ms: time that its work takes, milliseconds.
        deadline_ms: time for which the caller waits, milliseconds.

    Returns:
        Head and body.
    """
    is_safe = work_class.kind is RequestKind.safe
    head = (
        f'{"GET" if is_safe else "POST"} /{work_class.name}/{work_ms} '
        f'HTTP/1.1\r\nHost: {HOST_NAME}\r\nX-Request-Id: {request_id}\r\n'
        f'X-Deadline-Ms: {deadline_ms}\r\n'
    )
    if work_class.body_bytes:
        head += f'Content-Length: {work_class.body_bytes}\r\n'
    return f'{head}\r\n'.encode() + bytes(work_class.body_bytes)


async def exchange(streams: Streams, request: bytes) -> Answer:
    """Send a request and read its answer.

    Args:
        streams: connection to the node.
        request: head and body.

    Returns:
        The answer, without its body.

    Raises:
        OSError: if the connection is lost.
        EOFError: if it ends before the answer is complete.
    """
    reader, writer = streams
    writer.write(request)
    head = (await reader.readuntil(HEAD_END)).lower()
    lines = head.split(LINE_END)
    await reader.readexactly(int(_find(lines, CONTENT_LENGTH)))
    return Answer(
        status=int(head.split(b' ')[1]),
        keeps_open=CLOSE not in lines,
        retry_after=_find(lines, RETRY_AFTER),
    )


def _find(lines: list[bytes], name: bytes) -> float:
    for line in lines:
        if line.startswith(name):
            return float(line.removeprefix(name))
    return 0
