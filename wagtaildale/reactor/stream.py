"""A TCP connection in a loop: buffered writes, paused reads, a quiet end."""

from __future__ import annotations

import errno
import select
import socket
from typing import TYPE_CHECKING, Final, Protocol

from wagtaildale.reactor.loop import READABLE, WRITABLE

if TYPE_CHECKING:
    from wagtaildale.reactor.loop import Loop
    from wagtaildale.timers.alarms import Alarm

READ_BYTES: Final = 65_536
# Above this much unsent, whoever produces more is asked to wait.
HIGH_WATER: Final = 262_144
LINGER_SECONDS: Final = 1.0
# Failure: the other side loses power or a line goes silent, and a connection
# that has sent waits for minutes. The kernel gives up on unacknowledged
# bytes after this time, and asks an idle other side after KEEPALIVE_SECONDS.
UNACKNOWLEDGED_MS: Final = 3000
KEEPALIVE_SECONDS: Final = 2
KEEPALIVE_PROBES: Final = 2
HUNG_UP: Final = select.EPOLLERR | select.EPOLLHUP
# What sending on a connection tells that the other side has closed.
CLOSED_THERE: Final = frozenset((errno.EPIPE, errno.ECONNRESET))
UNDER_WAY: Final = frozenset((0, errno.EINPROGRESS))


class StreamReceiver(Protocol):
    """Whoever uses a stream."""

    def on_open(self) -> None:
        """Learn that a connection that was begun here is open."""

    def on_bytes(self, chunk: bytes) -> None:
        """Take bytes that have come.

        Args:
            chunk: not empty.
        """

    def on_end(self) -> None:
        """Learn that the other side sends no more."""

    def on_lost(self, error: OSError) -> None:
        """Learn that the connection is gone; it is closed already.

        Args:
            error: why.
        """

    def on_drained(self) -> None:
        """Learn that what was buffered has been sent."""


class Stream:
    """One connection.

    Attributes:
        sock: the socket.
        is_closed: whether it is of no more use.
    """

    def __init__(
        self,
        loop: Loop,
        sock: socket.socket,
        receiver: StreamReceiver,
        *,
        is_open: bool = True,
    ) -> None:
        """Take a socket.

        Args:
            loop: that waits for it.
            sock: connected, or connecting.
            receiver: uses it.
            is_open: whether the connection stands already.
        """
        self.sock = sock
        self.is_closed = False
        self._loop = loop
        self._receiver = receiver
        self._number = sock.fileno()
        self._unsent = bytearray()
        self._is_open = is_open
        self._reads = True
        self._lingering: Alarm | None = None
        self._send_error: OSError | None = None
        self._events = READABLE if is_open else WRITABLE
        loop.watch(self._number, self._events, self._on_events)

    @property
    def unsent_bytes(self) -> int:
        """How many bytes wait to be sent."""
        return len(self._unsent)

    @property
    def is_full(self) -> bool:
        """Whether whoever produces more should wait for ``on_drained``."""
        return len(self._unsent) > HIGH_WATER

    def use(self, receiver: StreamReceiver) -> None:
        """Hand the connection to another receiver.

        Args:
            receiver: uses it from now on.
        """
        self._receiver = receiver

    def send(self, chunk: bytes) -> None:
        """Send bytes, now or as soon as the other side takes them.

        Args:
            chunk: what to send.
        """
        if self.is_closed or self._send_error is not None:
            return
        sent = 0
        if self._is_open and not self._unsent:
            sent = self._try_send(chunk)
        if sent < len(chunk) and self._can_send():
            self._unsent += chunk[sent:]
            self._change()

    def pause(self) -> None:
        """Read nothing until ``resume``."""
        self._reads = False
        self._change()

    def resume(self) -> None:
        """Read again."""
        self._reads = True
        self._change()

    def finish(self) -> None:
        """Close once everything is sent and the other side has read it.

        Failure guarded here: closing with bytes unread resets the
        connection, and an answer that was just sent is lost with them. What
        still comes is thrown away for a moment.
        """
        if self.is_closed or self._lingering is not None:
            return
        self._receiver = _Lingering(self)
        self._lingering = self._loop.alarms.set(LINGER_SECONDS, self.close)
        self._reads = True
        self._change()
        if not self._unsent:
            self.end_sending()

    def end_sending(self) -> None:
        """Tell the other side that nothing more comes."""
        try:
            self.sock.shutdown(socket.SHUT_WR)
        except OSError:
            # The other side is gone already: nothing is left to tell it.
            self.close()

    def fail(self, number: int) -> None:
        """Close at once; the receiver hears that the connection is lost.

        Args:
            number: of the system's error.
        """
        self._lose(OSError(number, 'connection failed'))

    def close(self) -> None:
        """Close at once; the receiver hears nothing more."""
        if self.is_closed:
            return
        self.is_closed = True
        self._loop.forget(self._number)
        self.sock.close()
        if self._lingering is not None:
            self._lingering.cancel()

    def _on_events(self, events: int) -> None:
        if not self._is_open:
            self._finish_connecting()
            return
        if events & WRITABLE and self._unsent:
            self._flush()
        if self.is_closed or not events & ~WRITABLE:
            return
        if self._reads:
            self._read()
        elif events & HUNG_UP:
            self._lose(OSError(errno.ECONNRESET, 'the other side hung up'))

    def _finish_connecting(self) -> None:
        number = self.sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if number:
            self._lose(OSError(number, 'connecting failed'))
            return
        if not self._is_connected():
            # The event was of a descriptor with this number that has been
            # closed since the selector looked.
            return
        self._is_open = True
        self._change()
        self._receiver.on_open()
        if self._unsent and not self.is_closed:
            self._flush()

    def _is_connected(self) -> bool:
        try:
            self.sock.getpeername()
        except OSError:
            return False
        return True

    def _flush(self) -> None:
        sent = self._try_send(self._unsent)
        if not self._can_send():
            return
        self._unsent = self._unsent[sent:]
        if not self._unsent:
            self._change()
            self._receiver.on_drained()

    def _read(self) -> None:
        try:
            chunk = self.sock.recv(READ_BYTES)
        except BlockingIOError:
            return
        except OSError as error:
            self._lose(error)
            return
        if chunk:
            self._receiver.on_bytes(chunk)
            return
        if self._send_error is not None:
            self._lose(self._send_error)
            return
        self._reads = False
        self._change()
        self._receiver.on_end()

    def _try_send(self, chunk: bytes | bytearray) -> int:
        try:
            return self.sock.send(chunk)
        except BlockingIOError:
            return 0
        except OSError as error:
            self._fail_sending(error)
            return 0

    def _can_send(self) -> bool:
        return not self.is_closed and self._send_error is None

    def _fail_sending(self, error: OSError) -> None:
        if error.errno not in CLOSED_THERE:
            self._lose(error)
            return
        # Failure: the other side answers before it has read all and closes,
        # and its answer is thrown away since the rest cannot be sent. What
        # has come is read; the connection is lost at the end of that.
        self._send_error = error
        self._unsent.clear()
        self._change()

    def _lose(self, error: OSError) -> None:
        if self.is_closed:
            return
        receiver = self._receiver
        self.close()
        # A receiver is never called from within its own call of ``send``:
        # it would find itself half-way through a change of its state.
        self._loop.call_soon(lambda: receiver.on_lost(error))

    def _change(self) -> None:
        if self.is_closed or not self._is_open:
            return
        events = READABLE if self._reads else 0
        if self._unsent:
            events |= WRITABLE
        if events != self._events:
            self._events = events
            self._loop.change(self._number, events)


class _Lingering:
    """Throws away what comes until the other side closes."""

    def __init__(self, stream: Stream) -> None:
        self._stream = stream

    def on_open(self) -> None:
        """Do nothing."""

    def on_bytes(self, chunk: bytes) -> None:
        """Throw bytes away."""

    def on_end(self) -> None:
        if not self._stream.unsent_bytes:
            self._stream.close()

    def on_lost(self, error: OSError) -> None:
        """Do nothing: the stream is closed."""

    def on_drained(self) -> None:
        self._stream.end_sending()


def open_stream(
    loop: Loop,
    address: tuple[str, int],
    receiver: StreamReceiver,
) -> Stream:
    """Begin to open a connection; the receiver hears how it went.

    Args:
        loop: that waits for it.
        address: IP number and port.
        receiver: uses it.

    Returns:
        The stream; what is sent before it is open waits.
    """
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    prepare(sock)
    number = sock.connect_ex(address)
    stream = Stream(loop, sock, receiver, is_open=False)
    if number not in UNDER_WAY:
        stream.fail(number)
    return stream


def prepare(sock: socket.socket) -> None:
    """Set the options of every connection.

    Args:
        sock: new.
    """
    sock.setblocking(False)
    tcp = socket.IPPROTO_TCP
    sock.setsockopt(tcp, socket.TCP_NODELAY, 1)
    sock.setsockopt(tcp, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_MS)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(tcp, socket.TCP_KEEPIDLE, KEEPALIVE_SECONDS)
    sock.setsockopt(tcp, socket.TCP_KEEPINTVL, 1)
    sock.setsockopt(tcp, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
