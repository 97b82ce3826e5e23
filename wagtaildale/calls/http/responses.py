"""Writes responses to callers, at once or in pieces."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from msgspec import Struct

from wagtaildale.calls.http.heads import (
    CHUNKED_ENCODING,
    CONNECTION_CLOSE,
    LAST_CHUNK,
    write_chunk,
    write_response_head,
)
from wagtaildale.calls.http.parsing import UNKNOWN_LENGTH, Header

if TYPE_CHECKING:
    from collections.abc import Sequence

BODILESS_STATUSES: Final = frozenset((204, 304))


class ResponseHead(Struct, frozen=True, kw_only=True, gc=False):
    """The head of a response to a caller.

    Attributes:
        status: HTTP status.
        headers: headers without those that frame the body.
        length: announced length of the body in bytes, or ``UNKNOWN_LENGTH``.
    """

    status: int
    headers: Sequence[Header]
    length: int = UNKNOWN_LENGTH


class ResponseWriter:
    """Writes one response, piece by piece.

    Example:
        >>> writer = ResponseWriter(b'GET', closes_connection=False)
        >>> head = ResponseHead(status=200, headers=())
        >>> writer.begin(head, body=b'hi', more=False).split()[-1]
        b'hi'
    """

    def __init__(self, method: bytes, *, closes_connection: bool) -> None:
        """Start a response.

        Args:
            method: HTTP method of the request; HEAD gets no body.
            closes_connection: whether the connection closes after the response.
        """
        self._has_body = method != b'HEAD'
        self._closes_connection = closes_connection
        self._is_chunked = False

    def begin(self, head: ResponseHead, *, body: bytes, more: bool) -> bytes:
        """Write the head and the beginning of the body.

        Args:
            head: head of the response.
            body: the whole body, or its beginning.
            more: whether more of the body follows.

        Returns:
            Bytes to send.
        """
        if head.status in BODILESS_STATUSES:
            self._has_body = False
        headers = [*head.headers, *self._choose_framing(head, body, more)]
        if self._closes_connection:
            headers.append(CONNECTION_CLOSE)
        output = write_response_head(head.status, headers=headers)
        return output + self.add(body, more=more) if body else output

    def add(self, piece: bytes, *, more: bool) -> bytes:
        """Write a piece of the body.

        Args:
            piece: bytes of the body; may be empty if they only mark the end.
            more: whether more of the body follows.

        Returns:
            Bytes to send.
        """
        if not self._has_body:
            return b''
        if not self._is_chunked:
            return piece
        chunk = write_chunk(piece) if piece else b''
        return chunk if more else chunk + LAST_CHUNK

    def _choose_framing(
        self,
        head: ResponseHead,
        body: bytes,
        more: bool,
    ) -> Sequence[Header]:
        if not self._has_body:
            if head.length == UNKNOWN_LENGTH:
                return ()
            return ((b'content-length', b'%d' % head.length),)
        if not more:
            return ((b'content-length', b'%d' % len(body)),)
        if head.length == UNKNOWN_LENGTH:
            self._is_chunked = True
            return (CHUNKED_ENCODING,)
        return ((b'content-length', b'%d' % head.length),)
