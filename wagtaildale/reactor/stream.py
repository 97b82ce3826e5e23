"""TCP connection in a loop: buffered writes, pausable reads, clean close."""

from __future__ import annotations

import errno
import select
import socket
from typing import TYPE_CHECKING, Final, Protocol

from wagtaildale.reactor.loop import READABLE, WRITABLE
from wagtaildale.timers.service import read_clock

if TYPE_CHECKING:
    from collections.abc import Callable

    from wagtaildale.reactor.loop import Loop
    from wagtaildale.timers.alarms import Alarm

READ_BYTES: Final = 65_536
# Producers should wait while more than this is unsent.
HIGH_WATER_BYTES: Final = 262_144
LINGER_SECONDS: Final = 1.0
# When the peer loses power or the network drops all packets, a connection with
# sent data would wait for minutes. With these options the kernel closes it
# when data is unacknowledged for this time, and probes an idle peer after
# KEEPALIVE_IDLE_SECONDS.
UNACKNOWLEDGED_TIMEOUT_MS: Final = 3000
KEEPALIVE_IDLE_SECONDS: Final = 2
KEEPALIVE_PROBES: Final = 2
HANGUP_EVENTS: Final = select.EPOLLERR | select.EPOLLHUP
# Errors of sending that mean that the peer has closed the connection.
PEER_CLOSED_ERRORS: Final = frozenset((errno.EPIPE, errno.ECONNRESET))
CONNECTING_RESULTS: Final = frozenset((0, errno.EINPROGRESS))


class StreamReceiver(Protocol):
    """Receiver of the events of a stream."""

    def on_open(self) -> None:
        """Handle that a connection opened from this side is established."""

    def on_bytes(self, chunk: bytes) -> None:
        """Handle received bytes.

        Args:
            chunk: received bytes; not empty.
        """

    def on_end(self) -> None:
        """Handle that the peer has finished sending."""

    def on_lost(self, error: OSError) -> None:
        """Handle that the connection is lost; the stream is closed already.

        Args:
            error: error that ended the connection.
        """

    def on_drained(self) -> None:
        """Handle that all buffered bytes have been sent."""


class Stream:
    """One TCP connection.

    Attributes:
        sock: socket of the connection.
        is_closed: whether the stream is closed.
        on_closed: function that is called when the stream is closed.
        sent_at: time at which buffered bytes were last sent, or began to wait,
            seconds.
    """

    def __init__(
        self,
        loop: Loop,
        sock: socket.socket,
        receiver: StreamReceiver,
        *,
        is_open: bool = True,
    ) -> None:
        """Create a stream on a socket and start watching it.

        Args:
            loop: loop that waits for the socket.
            sock: connected or connecting socket.
            receiver: receiver of the stream's events.
            is_open: whether the connection is established already.
        """
        self.sock = sock
        self.is_closed = False
        self.on_closed: Callable[[], object] | None = None
        self.sent_at = float(0)
        self._loop = loop
        self._receiver = receiver
        self._descriptor = sock.fileno()
        self._unsent = bytearray()
        self._is_open = is_open
        self._is_reading = True
        self._linger_alarm: Alarm | None = None
        self._send_error: OSError | None = None
        self._events = READABLE if is_open else WRITABLE
        loop.watch(self._descriptor, self._events, self._on_events)

    @property
    def unsent_bytes(self) -> int:
        """Number of bytes that are buffered and not sent yet."""
        return len(self._unsent)

    @property
    def is_full(self) -> bool:
        """Whether producers should wait for ``on_drained``."""
        return len(self._unsent) > HIGH_WATER_BYTES

    def switch_receiver(self, receiver: StreamReceiver) -> None:
        """Replace the receiver of the stream's events.

        Args:
            receiver: receiver of all later events.
        """
        self._receiver = receiver

    def send(self, chunk: bytes) -> None:
        """Send bytes, and buffer what the kernel does not accept at once.

        Args:
            chunk: bytes to send.
        """
        if self.is_closed or self._send_error is not None:
            return
        sent = 0
        if self._is_open and not self._unsent:
            sent = self._try_send(chunk)
        if sent < len(chunk) and self._can_send():
            if not self._unsent:
                self.sent_at = read_clock()
            self._unsent += chunk[sent:]
            self._update_events()

    def pause(self) -> None:
        """Stop reading until ``resume`` is called."""
        self._is_reading = False
        self._update_events()

    def resume(self) -> None:
        """Start reading again."""
        self._is_reading = True
        self._update_events()

    def finish(self) -> None:
        """Close once everything is sent and the peer has closed its side.

        Closing a socket with unread bytes resets the connection, and an
        answer that was just sent would be lost with it. Therefore received
        bytes are discarded for up to ``LINGER_SECONDS`` before the close.
        """
        if self.is_closed or self._linger_alarm is not None:
            return
        self._receiver = _FinishingReceiver(self)
        self._linger_alarm = self._loop.alarms.set(LINGER_SECONDS, self.close)
        self._is_reading = True
        self._update_events()
        if not self._unsent:
            self.end_sending()

    def end_sending(self) -> None:
        """Shut down the sending side of the connection."""
        try:
            self.sock.shutdown(socket.SHUT_WR)
        except OSError:
            # The peer has closed the connection already.
            self.close()

    def fail(self, error_number: int) -> None:
        """Close at once and report the connection to the receiver as lost.

        Args:
            error_number: ``errno`` value of the error to report.
        """
        self._lose(OSError(error_number, 'connection failed'))

    def close(self) -> None:
        """Close at once; the receiver gets no further events."""
        if self.is_closed:
            return
        self.is_closed = True
        self._loop.unwatch(self._descriptor)
        self.sock.close()
        if self._linger_alarm is not None:
            self._linger_alarm.cancel()
        self._unsent = bytearray()
        # Stream and receiver refer to each other; without this, what both hold
        # stays in memory until the next collection of cycles.
        self._receiver = _DISCARDING
        on_closed = self.on_closed
        self.on_closed = None
        if on_closed is not None:
            on_closed()

    def _on_events(self, events: int) -> None:
        if not self._is_open:
            self._finish_connecting()
            return
        if events & WRITABLE and self._unsent:
            self._flush()
        if self.is_closed or not events & ~WRITABLE:
            return
        if self._is_reading:
            self._read()
        elif events & HANGUP_EVENTS:
            self._lose(
                OSError(errno.ECONNRESET, 'the peer closed the connection')
            )

    def _finish_connecting(self) -> None:
        error_number = self.sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if error_number:
            self._lose(OSError(error_number, 'could not connect'))
            return
        if not self._is_connected():
            # The event belongs to an earlier descriptor with the same number,
            # which was closed after the selector reported it.
            return
        self._is_open = True
        self._update_events()
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
        self.sent_at = read_clock()
        if not self._unsent:
            self._update_events()
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
        self._is_reading = False
        self._update_events()
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
        if error.errno not in PEER_CLOSED_ERRORS:
            self._lose(error)
            return
        # A peer may answer and close before it has read the whole request. Its
        # answer would be discarded because the rest cannot be sent, so the
        # received bytes are read first and then the connection counts as lost.
        # Its traceback refers to the stream.
        self._send_error = error.with_traceback(None)
        self._unsent.clear()
        self._update_events()

    def _lose(self, error: OSError) -> None:
        if self.is_closed:
            return
        receiver = self._receiver
        self.close()
        # The receiver is called later because it may be in its own call of
        # ``send``, in the middle of a change of its state.
        self._loop.call_soon(lambda: receiver.on_lost(error))

    def _update_events(self) -> None:
        if self.is_closed or not self._is_open:
            return
        events = READABLE if self._is_reading else 0
        if self._unsent:
            events |= WRITABLE
        if events != self._events:
            self._events = events
            self._loop.modify(self._descriptor, events)


class _DiscardingReceiver:
    """Discards everything: the receiver of a closed stream."""

    def on_open(self) -> None:
        """Do nothing."""

    def on_bytes(self, chunk: bytes) -> None:
        """Discard the bytes."""

    def on_end(self) -> None:
        """Do nothing."""

    def on_lost(self, error: OSError) -> None:
        """Do nothing: the stream is closed already."""

    def on_drained(self) -> None:
        """Do nothing."""


_DISCARDING: Final = _DiscardingReceiver()


class _FinishingReceiver(_DiscardingReceiver):
    """Discards received bytes until the peer closes the connection."""

    def __init__(self, stream: Stream) -> None:
        self._stream = stream

    def on_end(self) -> None:
        if not self._stream.unsent_bytes:
            self._stream.close()

    def on_drained(self) -> None:
        self._stream.end_sending()


def open_stream(
    loop: Loop,
    address: tuple[str, int],
    receiver: StreamReceiver,
) -> Stream:
    """Start opening a connection; the receiver is called with the result.

    Args:
        loop: loop that waits for the connection.
        address: IP address and port of the peer.
        receiver: receiver of the stream's events.

    Returns:
        Stream that buffers what is sent before the connection is open.
    """
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    set_socket_options(sock)
    error_number = sock.connect_ex(address)
    stream = Stream(loop, sock, receiver, is_open=False)
    if error_number not in CONNECTING_RESULTS:
        stream.fail(error_number)
    return stream


def set_socket_options(
    sock: socket.socket, *, timeout_ms: int = UNACKNOWLEDGED_TIMEOUT_MS
) -> None:
    """Set the options that every connection has.

    Args:
        sock: new socket.
        timeout_ms: time after which the kernel ends a connection whose peer
            acknowledges nothing, or has no room for more, milliseconds.
    """
    sock.setblocking(False)
    tcp = socket.IPPROTO_TCP
    sock.setsockopt(tcp, socket.TCP_NODELAY, 1)
    sock.setsockopt(tcp, socket.TCP_USER_TIMEOUT, timeout_ms)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(tcp, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_SECONDS)
    sock.setsockopt(tcp, socket.TCP_KEEPINTVL, 1)
    sock.setsockopt(tcp, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
