"""HTTP/1.1 messages as the C parser of ``httptools`` gives them.

The parser refuses what is ambiguous: both Content-Length and
Transfer-Encoding, two lengths, bare line feeds, blanks before a colon.
"""

from __future__ import annotations

from collections import deque
from typing import Any, Final

import httptools

from wagtaildale.calls.failures import CallFailed
from wagtaildale.errors.codes import Code

CONTENT_LENGTH: Final = b'content-length'
UNKNOWN_LENGTH: Final = -1

Header = tuple[bytes, bytes]


class Message:
    """One request or response, as far as it has come.

    Attributes:
        target: of a request, as it came.
        method: of a request.
        status: of a response.
        headers: names in lower case, with their texts.
        pieces: of the body, not yet taken.
        has_head: whether all headers are here.
        head_bytes: size of target and headers so far.
        is_complete: whether the body's end is here.
        keep_alive: whether the connection may carry another message.
        length: of the body if its head says so, else ``UNKNOWN_LENGTH``.
        is_chunked: whether the body comes in chunks.
    """

    __slots__ = (
        'has_head',
        'head_bytes',
        'headers',
        'is_chunked',
        'is_complete',
        'keep_alive',
        'length',
        'method',
        'pieces',
        'status',
        'target',
    )

    def __init__(self) -> None:
        """Begin with nothing."""
        self.target = b''
        self.method = b''
        self.status = 0
        self.headers: list[Header] = []
        self.pieces: deque[bytes] = deque()
        self.has_head = False
        self.head_bytes = 0
        self.is_complete = False
        self.keep_alive = False
        self.length = UNKNOWN_LENGTH
        self.is_chunked = False

    def find(self, name: bytes) -> bytes | None:
        """Find a header.

        Args:
            name: in lower case.

        Returns:
            Its text, or nothing.
        """
        for known_name, header_value in self.headers:
            if known_name == name:
                return header_value
        return None

    def take_body(self) -> bytes:
        """Take what is here of the body.

        Returns:
            Its bytes; empty if none are waiting.
        """
        pieces = self.pieces
        if not pieces:
            return b''
        body = pieces[0] if len(pieces) == 1 else b''.join(pieces)
        pieces.clear()
        return body


class MessageParser:
    """Turns bytes into messages; several may come in one read.

    The methods whose names begin with ``on_`` are called by httptools.
    """

    def __init__(self, *, of_requests: bool, head_bytes: int) -> None:
        """Begin at the start of a connection.

        Args:
            of_requests: whether requests or responses come.
            head_bytes: largest head.
        """
        self._messages: deque[Message] = deque()
        self._of_requests = of_requests
        self._head_bytes = head_bytes
        self._pending_head_bytes = 0
        self._parser: Any = (
            httptools.HttpRequestParser(self)
            if of_requests
            else httptools.HttpResponseParser(self)
        )

    def feed(self, chunk: bytes) -> None:
        """Parse more bytes.

        Args:
            chunk: as read.

        Raises:
            CallFailed: when they are not valid HTTP or the head is too long.
        """
        try:
            self._parser.feed_data(chunk)
        except httptools.HttpParserUpgrade:
            # An offer to change the protocol is not taken; the request
            # itself is answered and the connection closed after it.
            self._messages[-1].keep_alive = False
        except httptools.HttpParserError as error:
            raise CallFailed(
                Code.request_malformed,
                detail=str(error),
            ) from None
        self._check_head(len(chunk))

    def peek(self) -> Message | None:
        """Give the message that comes next.

        Returns:
            The message once its head is here, else nothing.
        """
        if self._messages and self._messages[0].has_head:
            return self._messages[0]
        return None

    def drop(self) -> None:
        """Put the message that comes next aside: it is dealt with."""
        self._messages.popleft()

    def has_more(self) -> bool:
        """Tell whether bytes of another message are here.

        Returns:
            Whether anything follows the message at hand.
        """
        return bool(self._messages)

    def on_message_begin(self) -> None:
        """Begin a message."""
        self._messages.append(Message())
        self._pending_head_bytes = 0

    def on_url(self, target: bytes) -> None:
        """Take a piece of the target.

        Args:
            target: bytes as they came.
        """
        message = self._messages[-1]
        message.target += target
        message.head_bytes += len(target)

    def on_header(self, name: bytes, header_value: bytes) -> None:
        """Take a header; those of a trailer are left out.

        Args:
            name: as it came.
            header_value: as it came.
        """
        message = self._messages[-1]
        if not message.has_head:
            message.headers.append((name.lower(), header_value))
            message.head_bytes += len(name) + len(header_value)

    def on_headers_complete(self) -> None:
        """Close the head."""
        message = self._messages[-1]
        parser = self._parser
        message.keep_alive = parser.should_keep_alive()
        if self._of_requests:
            message.method = parser.get_method()
        else:
            message.status = parser.get_status_code()
        length = message.find(CONTENT_LENGTH)
        if length is not None:
            message.length = int(length)
        message.is_chunked = message.find(b'transfer-encoding') is not None
        message.has_head = True

    def on_body(self, piece: bytes) -> None:
        """Take a piece of the body.

        Args:
            piece: bytes as they came, without the marks of chunks.
        """
        self._messages[-1].pieces.append(piece)

    def on_message_complete(self) -> None:
        """Close the message."""
        self._messages[-1].is_complete = True

    def _check_head(self, size: int) -> None:
        if not self._messages:
            return
        latest = self._messages[-1]
        if not latest.has_head:
            # A field of which the end is not here yet is not counted by the
            # callbacks; what was read bounds it.
            self._pending_head_bytes += size
        if max(self._pending_head_bytes, latest.head_bytes) > self._head_bytes:
            # Those before it are whole and stay.
            self._messages.pop()
            raise CallFailed(
                Code.request_too_large,
                detail=f'head over {self._head_bytes} bytes',
            )
