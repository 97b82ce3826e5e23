"""Writes the heads of HTTP messages that are forwarded."""

from __future__ import annotations

from http import HTTPStatus
from types import MappingProxyType
from typing import TYPE_CHECKING, Final

from wagtaildale.calls.http.parsing import UNKNOWN_LENGTH, Header, Message
from wagtaildale.calls.wire.fields import INTERNAL_HEADER_PREFIX

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

IDEMPOTENCY_KEY_HEADER: Final = b'idempotency-key'
CONNECTION_CLOSE: Final = (b'connection', b'close')
CHUNKED_ENCODING: Final = (b'transfer-encoding', b'chunked')
LAST_CHUNK: Final = b'0\r\n\r\n'
CONTINUE_RESPONSE: Final = b'HTTP/1.1 100 Continue\r\n\r\n'
HOP_BY_HOP_HEADERS: Final = frozenset(
    (
        b'connection',
        b'content-length',
        b'expect',
        b'keep-alive',
        b'proxy-authenticate',
        b'proxy-authorization',
        b'proxy-connection',
        b'te',
        b'trailer',
        b'transfer-encoding',
        b'upgrade',
    ),
)
NOTHING_KEPT: Final[frozenset[bytes]] = frozenset()
REASON_PHRASES: Final = MappingProxyType(
    {status.value: status.phrase for status in HTTPStatus},
)


def select_forwarded_headers(
    message: Message, *, kept: frozenset[bytes] = NOTHING_KEPT
) -> list[Header]:
    """Select the headers of a message that are forwarded to the next hop.

    Args:
        message: received message.
        kept: names of headers that the sender cannot declare as hop-by-hop.

    Returns:
        Its headers without hop-by-hop headers and without internal ones.
    """
    connection_header = message.find(b'connection')
    headers = [
        header
        for header in message.headers
        if header[0] not in HOP_BY_HOP_HEADERS
        and not header[0].startswith(INTERNAL_HEADER_PREFIX)
    ]
    if connection_header is None or connection_header in {
        b'keep-alive',
        b'close',
    }:
        return headers
    connection_options = {
        name.strip().lower() for name in connection_header.split(b',')
    }
    connection_options -= kept
    return [header for header in headers if header[0] not in connection_options]


def write_request_head(
    method: bytes,
    *,
    target: bytes,
    headers: Iterable[Header],
) -> bytes:
    """Write the head of a request.

    Args:
        method: HTTP method.
        target: path and query as received.
        headers: headers of the request.

    Returns:
        Head with the empty line at its end.
    """
    lines = [b'%b %b HTTP/1.1' % (method, target)]
    lines.extend(b'%b: %b' % header for header in headers)
    return b'\r\n'.join((*lines, b'', b''))


def write_response_head(status: int, *, headers: Iterable[Header]) -> bytes:
    """Write the head of a response.

    Args:
        status: HTTP status.
        headers: headers of the response.

    Returns:
        Head with the empty line at its end.
    """
    reason = REASON_PHRASES.get(status, '')
    lines = [f'HTTP/1.1 {status} {reason}'.encode()]
    lines.extend(b'%b: %b' % header for header in headers)
    return b'\r\n'.join((*lines, b'', b''))


def choose_body_framing(
    message: Message, *, complete_body: bytes | None
) -> Sequence[Header]:
    """Choose the header that tells where a body ends.

    Args:
        message: received message.
        complete_body: the body if all of it has arrived.

    Returns:
        Content-Length, or chunked Transfer-Encoding; empty for a request
        without a body.
    """
    if complete_body is not None:
        if not complete_body and message.method and message.length <= 0:
            return _choose_empty_framing(message)
        return ((b'content-length', b'%d' % len(complete_body)),)
    if message.length != UNKNOWN_LENGTH:
        return ((b'content-length', b'%d' % message.length),)
    return (CHUNKED_ENCODING,)


def write_chunk(piece: bytes) -> bytes:
    """Write one chunk of a chunked body.

    Args:
        piece: bytes of the body, not empty.

    Returns:
        The bytes with the chunk's size and line ends.
    """
    return b'%x\r\n%b\r\n' % (len(piece), piece)


def _choose_empty_framing(message: Message) -> Sequence[Header]:
    if message.length == UNKNOWN_LENGTH and not message.is_chunked:
        return ()
    return ((b'content-length', b'0'),)
