"""HTTP/1.1 messages, parsed with the C parser of ``httptools``.

The parser rejects ambiguous messages: both Content-Length and
Transfer-Encoding, two lengths, bare line feeds, spaces before a colon.
"""

from __future__ import annotations

from collections import deque
from typing import Any, Final

import httptools

from wagtaildale.calls.failures import CallFailed
from wagtaildale.errors.codes import Code

CONTENT_LENGTH: Final = b'content-length'
END_OF_HEAD: Final = b'\r\n\r\n'
UNKNOWN_LENGTH: Final = -1
# Memory of a message without headers, and of a header beside its text.
MESSAGE_BYTES: Final = 1024
HEADER_BYTES: Final = 140
# A colon and the end of the line; a space after the colon is optional.
LINE_BYTES: Final = 3
# Headers and pieces of bodies in one read; ordinary requests have fewer.
DENSE_PARTS: Final = 256

Header = tuple[bytes, bytes]


class Message:
    """One request or response, as far as it has arrived.

    Attributes:
        target: path and query of a request as received.
        method: HTTP method of a request.
        status: HTTP status of a response.
        headers: pairs of a name in lower case and its value.
        pieces: pieces of the body that were not taken yet.
        has_head: whether all headers have arrived.
        head_bytes: size of target and headers so far.
        body_bytes: size of the pieces that were not taken yet.
        is_complete: whether the end of the body has arrived.
        keep_alive: whether the connection may carry another message.
        length: announced length of the body in bytes, or ``UNKNOWN_LENGTH``.
        is_chunked: whether the body is sent in chunks.
    """

    __slots__ = (
        'body_bytes',
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
        """Create an empty message."""
        self.target = b''
        self.method = b''
        self.status = 0
        self.headers: list[Header] = []
        self.pieces: deque[bytes] = deque()
        self.has_head = False
        self.head_bytes = 0
        self.body_bytes = 0
        self.is_complete = False
        self.keep_alive = False
        self.length = UNKNOWN_LENGTH
        self.is_chunked = False

    @property
    def parts(self) -> int:
        """Number of headers, and of pieces that were not taken yet."""
        return len(self.headers) + len(self.pieces)

    @property
    def held_bytes(self) -> int:
        """Memory that the message takes, bytes."""
        return (
            MESSAGE_BYTES
            + HEADER_BYTES * len(self.headers)
            + self.head_bytes
            + self.body_bytes
        )

    def find(self, name: bytes) -> bytes | None:
        """Find a header.

        Args:
            name: name in lower case.

        Returns:
            Value of the first such header, or None.
        """
        for known_name, header_value in self.headers:
            if known_name == name:
                return header_value
        return None

    def find_all(self, name: bytes) -> list[bytes]:
        """Find all headers of a name.

        Args:
            name: name in lower case.

        Returns:
            Their values in the order in which they were sent.
        """
        return [header[1] for header in self.headers if header[0] == name]

    def take_body(self) -> bytes:
        """Remove and return what has arrived of the body.

        Returns:
            Bytes of the body; empty if there are none.
        """
        pieces = self.pieces
        if not pieces:
            return b''
        body = pieces[0] if len(pieces) == 1 else b''.join(pieces)
        pieces.clear()
        self.body_bytes = 0
        return body


class MessageParser:
    """Parses bytes into messages; one read may contain several.

    The methods whose names begin with ``on_`` are called by httptools.
    """

    def __init__(self, *, parses_requests: bool, max_head_bytes: int) -> None:
        """Start at the beginning of a connection.

        Args:
            parses_requests: whether the messages are requests, not responses.
            max_head_bytes: largest head.
        """
        self._messages: deque[Message] = deque()
        self._of_requests = parses_requests
        self._max_head_bytes = max_head_bytes
        self._pending_head_bytes = 0
        self._fed_body_bytes = 0
        self._has_fed_head = False
        self._parser: Any = (
            httptools.HttpRequestParser(self)
            if parses_requests
            else httptools.HttpResponseParser(self)
        )

    @property
    def held_bytes(self) -> int:
        """Memory of the messages that were not removed yet, bytes."""
        return self._pending_head_bytes + sum(
            message.held_bytes for message in self._messages
        )

    @property
    def is_dense(self) -> bool:
        """Whether little was parsed into many parts, which takes long."""
        parts = sum(message.parts for message in self._messages)
        return parts > DENSE_PARTS

    def feed(self, chunk: bytes) -> None:
        """Parse more bytes.

        Args:
            chunk: bytes that were read.

        Raises:
            CallFailed: if they are not valid HTTP or the head or a trailer is
                too large.
        """
        self._fed_body_bytes = 0
        self._has_fed_head = False
        malformation = self._feed(chunk)
        if malformation is not None:
            raise CallFailed(Code.request_malformed, detail=malformation)
        self._check_head(chunk)

    def peek(self) -> Message | None:
        """Return the next message without removing it.

        Returns:
            The message once its head has arrived, otherwise None.
        """
        if self._messages and self._messages[0].has_head:
            return self._messages[0]
        return None

    def drop(self) -> None:
        """Remove the next message, which has been processed."""
        self._messages.popleft()

    def clear(self) -> None:
        """Remove all messages; the parser is not used any more."""
        self._messages.clear()
        self._pending_head_bytes = 0
        # Both refer to each other, which keeps them in memory for a while.
        self._parser = None

    def has_more(self) -> bool:
        """Check whether anything of another message has arrived.

        Returns:
            Whether there is a message, complete or not.
        """
        return bool(self._messages)

    def on_message_begin(self) -> None:
        """Start a message."""
        self._messages.append(Message())
        self._pending_head_bytes = 0

    def on_url(self, target: bytes) -> None:
        """Append a part of the target.

        Args:
            target: bytes as received.
        """
        message = self._messages[-1]
        message.target += target
        message.head_bytes += len(target)

    def on_header(self, name: bytes, header_value: bytes) -> None:
        """Add a header; trailer fields are dropped.

        Args:
            name: name as received.
            header_value: value as received.
        """
        message = self._messages[-1]
        if not message.has_head:
            message.headers.append((name.lower(), header_value))
            message.head_bytes += len(name) + len(header_value) + LINE_BYTES

    def on_headers_complete(self) -> None:
        """Finish the head."""
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
        self._has_fed_head = True
        self._pending_head_bytes = 0

    def on_body(self, piece: bytes) -> None:
        """Append a piece of the body.

        Args:
            piece: bytes as received, without chunk sizes.
        """
        message = self._messages[-1]
        message.pieces.append(piece)
        message.body_bytes += len(piece)
        self._fed_body_bytes += len(piece)

    def on_message_complete(self) -> None:
        """Finish the message."""
        self._messages[-1].is_complete = True

    def _feed(self, chunk: bytes) -> str | None:
        # Returns what is wrong. The error itself would, as the context of
        # another one, keep the connection in memory.
        try:
            self._parser.feed_data(chunk)
        except httptools.HttpParserUpgrade:
            # Protocol upgrades are not supported: the request itself is
            # answered, and the connection closes after it.
            self._messages[-1].keep_alive = False
        except httptools.HttpParserError as error:
            return str(error)
        return None

    def _check_head(self, chunk: bytes) -> None:
        if not self._messages:
            return
        latest = self._messages[-1]
        if not latest.has_head:
            # The callbacks do not count a header that is still incomplete; the
            # number of bytes read limits it.
            self._pending_head_bytes += self._count_head_bytes(chunk)
        elif not latest.is_complete:
            self._check_trailer(chunk)
        if (
            max(self._pending_head_bytes, latest.head_bytes)
            > self._max_head_bytes
        ):
            # Earlier messages are complete and stay.
            self._messages.pop()
            raise CallFailed(
                Code.request_too_large,
                detail=(
                    f'head exceeds the limit of {self._max_head_bytes} bytes'
                ),
            )

    def _check_trailer(self, chunk: bytes) -> None:
        # Between pieces of a body are only sizes of chunks, and behind the last
        # one a trailer; the parser holds a line of it until it ends.
        if self._fed_body_bytes or self._has_fed_head:
            self._pending_head_bytes = 0
            return
        self._pending_head_bytes += len(chunk)
        if self._pending_head_bytes > self._max_head_bytes:
            raise CallFailed(
                Code.request_too_large,
                detail=(
                    f'trailer exceeds the limit of {self._max_head_bytes} bytes'
                ),
            )

    def _count_head_bytes(self, chunk: bytes) -> int:
        # The head that is incomplete begins after the end of the one before
        # it, and after that one's body.
        begin = chunk.rfind(END_OF_HEAD) + len(END_OF_HEAD)
        if begin < len(END_OF_HEAD):
            begin = 0
        return max(0, len(chunk) - begin - self._fed_body_bytes)
