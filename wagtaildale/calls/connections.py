"""Connections that carry HTTP messages, and the pool of idle ones.

Why not libcurl on this path: it repeats a request by itself when a reused
connection dies before an answer, whatever the method, so that one booking
runs twice. Here nothing is ever sent again but by a decision of
``attempts``. Figures of both are in docs/design/path-of-calls.md.
"""

from __future__ import annotations

import select
import socket
from collections import deque
from typing import TYPE_CHECKING, Final

from wagtaildale.calls.failures import CallFailed
from wagtaildale.calls.parsing import Message, MessageParser
from wagtaildale.errors.codes import Code
from wagtaildale.timers.service import read_clock
from wagtaildale.types import Outcome

if TYPE_CHECKING:
    from wagtaildale.calls.addresses import Address

READ_BYTES: Final = 65_536
HEAD_BYTES: Final = 65_536
CONNECT_SECONDS: Final = 1.0
LEAST_TIMEOUT: Final = 0.001
LINGER_SECONDS: Final = 1.0
MILLISECONDS: Final = 1000
IDLE_SECONDS: Final = 20.0
IDLE_MOST: Final = 64
STATUS_FINAL: Final = 200


class Connection:
    """One TCP connection with a parser for what comes on it.

    Attributes:
        sock: the socket.
        parser: of what comes.
        idle_since: when the last message was done, seconds on the clock.
        closing: whether the message that is sent next is the last one.
    """

    def __init__(
        self,
        sock: socket.socket,
        *,
        of_requests: bool,
        head_bytes: int = HEAD_BYTES,
    ) -> None:
        """Take a connected socket.

        Args:
            sock: connected.
            of_requests: whether requests come on it, or responses.
            head_bytes: largest head.
        """
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.setblocking(False)
        self.sock = sock
        self.parser = MessageParser(
            of_requests=of_requests,
            head_bytes=head_bytes,
        )
        self.idle_since = read_clock()
        self.closing = False

    def send(self, chunk: bytes, *, deadline: float) -> None:
        """Send bytes, all of them.

        Args:
            chunk: what to send.
            deadline: seconds on the clock.

        Raises:
            OSError: when the connection fails or the time is up.
        """
        sent = self._try_send(chunk)
        while sent < len(chunk):
            self._await(select.POLLOUT, deadline)
            sent += self._try_send(chunk[sent:])

    def read(self, *, deadline: float) -> bool:
        """Read and parse what comes next.

        Args:
            deadline: seconds on the clock.

        Returns:
            Whether anything came; if not, the other side has closed.

        Raises:
            OSError: when the connection fails or the time is up.
            CallFailed: when it is not HTTP.
        """
        chunk = self._try_read()
        while chunk is None:
            self._await(select.POLLIN, deadline)
            chunk = self._try_read()
        if not chunk:
            return False
        self.parser.feed(chunk)
        return True

    def read_head(self, *, deadline: float) -> Message | None:
        """Read until the head of the next message is here.

        Args:
            deadline: seconds on the clock.

        Returns:
            The message, or nothing if the other side closed before it.

        Raises:
            OSError: when the connection fails or the time is up.
            CallFailed: when it is not HTTP.
        """
        message = self.parser.peek()
        while message is None:
            if not self.read(deadline=deadline):
                return None
            message = self.parser.peek()
        return message

    def is_silent(self) -> bool:
        """Tell whether nothing waits to be read, not even the end.

        Returns:
            Whether an idle connection is still good, as far as is known.
        """
        poller = select.poll()
        poller.register(self.sock, select.POLLIN)
        return not poller.poll(0)

    def linger(self) -> None:
        """Let the other side read the answer before the end.

        Failure guarded here: a caller is still sending when its request is
        refused; closing with bytes unread resets the connection, and the
        refusal is lost with it. What comes is thrown away for a moment.
        """
        try:
            self._throw_away(read_clock() + LINGER_SECONDS)
        except OSError:
            return

    def close(self) -> None:
        """Close at once."""
        self.sock.close()

    def _throw_away(self, deadline: float) -> None:
        self.sock.shutdown(socket.SHUT_WR)
        chunk = self._try_read()
        while chunk != b'' and read_clock() < deadline:
            if chunk is None:
                self._await(select.POLLIN, deadline)
            chunk = self._try_read()

    # The socket never blocks: what can be sent or read at once costs one
    # system call, where a socket with a timeout costs three.

    def _try_send(self, chunk: bytes) -> int:
        try:
            return self.sock.send(chunk)
        except BlockingIOError:
            return 0

    def _try_read(self) -> bytes | None:
        try:
            return self.sock.recv(READ_BYTES)
        except BlockingIOError:
            return None

    def _await(self, event: int, deadline: float) -> None:
        seconds = max(LEAST_TIMEOUT, deadline - read_clock())
        poller = select.poll()
        poller.register(self.sock, event)
        if not poller.poll(seconds * MILLISECONDS):
            raise TimeoutError


class Pool:
    """Idle connections by address.

    Workers take a connection out and give it back; while out it belongs to
    that worker alone.
    """

    def __init__(self) -> None:
        """Begin with none."""
        self._idle: dict[Address, deque[Connection]] = {}

    def take(self, address: Address) -> Connection | None:
        """Take an idle connection that still seems good.

        Failure guarded here: the other side closed the connection while it
        was idle, and the request goes into the void. A connection on which
        the end can be read, or that was idle for long, is not used. What
        remains is the moment between this look and the send; a request
        that may have been read is never sent again, whatever happens.

        Args:
            address: of the other side.

        Returns:
            A connection, or nothing if a new one must be opened.
        """
        idle = self._idle.get(address)
        while idle:
            try:
                connection = idle.pop()
            except IndexError:
                return None
            fresh = read_clock() - connection.idle_since < IDLE_SECONDS
            if fresh and connection.is_silent():
                return connection
            connection.close()
        return None

    def give(self, address: Address, connection: Connection) -> None:
        """Give back a connection that may carry another request.

        Args:
            address: of the other side.
            connection: with no message under way.
        """
        idle = self._idle.setdefault(address, deque())
        if len(idle) >= IDLE_MOST or connection.parser.has_more():
            connection.close()
            return
        connection.idle_since = read_clock()
        idle.append(connection)

    def drop(self, address: Address) -> None:
        """Close the idle connections to an address.

        Args:
            address: of a side that is gone.
        """
        for connection in self._idle.pop(address, ()):
            connection.close()


def open_connection(address: Address, *, deadline: float) -> Connection:
    """Open a connection for requests.

    Args:
        address: of the other side.
        deadline: seconds on the clock.

    Returns:
        The connection.

    Raises:
        CallFailed: when none can be had; nothing was sent.
    """
    seconds = min(CONNECT_SECONDS, deadline - read_clock())
    try:
        sock = socket.create_connection(
            (address.host, address.port),
            timeout=max(LEAST_TIMEOUT, seconds),
        )
    except OSError as error:
        raise CallFailed(
            Code.backend_unreachable,
            detail=f'{address.host}:{address.port} {error}',
        ) from None
    return Connection(sock, of_requests=False)


def read_response(
    connection: Connection,
    *,
    method: bytes,
    deadline: float,
) -> Message:
    """Read the head of the final response.

    Args:
        connection: on which a request was sent.
        method: of that request.
        deadline: seconds on the clock.

    Returns:
        The response; its body may still be coming.

    Raises:
        OSError: when the connection fails or the time is up.
        CallFailed: when it closes before a response, or sends no HTTP.
    """
    response = connection.read_head(deadline=deadline)
    while response is not None and response.status < STATUS_FINAL:
        connection.parser.drop()
        response = connection.read_head(deadline=deadline)
    if response is None:
        raise CallFailed(Code.backend_cut, outcome=Outcome.unknown)
    if method == b'HEAD':
        # The parser waits for a body that a response to HEAD has not; the
        # connection cannot be used again with this parser.
        response.keep_alive = response.length == 0 and response.keep_alive
        response.is_complete = True
    return response
