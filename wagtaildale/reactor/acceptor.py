"""Listening port whose connections are accepted in a loop."""

from __future__ import annotations

import ctypes
import socket
import struct
from typing import TYPE_CHECKING, Final

from result import Err, Ok, Result

from wagtaildale.errors.codes import Code
from wagtaildale.errors.faults import Fault
from wagtaildale.reactor.loop import READABLE
from wagtaildale.reactor.stream import (
    UNACKNOWLEDGED_TIMEOUT_MS,
    set_socket_options,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from wagtaildale.reactor.loop import Loop

BACKLOG: Final = 512
# Time for the handshakes in progress to complete before the port closes; on a
# local network they take less than a millisecond.
HANDSHAKE_TIMEOUT_SECONDS: Final = 0.05
SO_ATTACH_FILTER: Final = 26
# Classic BPF program on the TCP header that drops segments with SYN set. Its
# instructions load the byte with the flags, test it, and return either zero
# (drop) or the whole segment (keep).
BPF_INSTRUCTION: Final = struct.Struct('HBBI')
LOAD_BYTE: Final = 0x30
JUMP_IF_SET: Final = 0x45
RETURN: Final = 6
FLAGS_OFFSET: Final = 13
SYN: Final = 2
WHOLE_SEGMENT: Final = 0xFFFFFFFF
DROP_SYN: Final = (
    (LOAD_BYTE, 0, 0, FLAGS_OFFSET),
    (JUMP_IF_SET, 0, 1, SYN),
    (RETURN, 0, 0, 0),
    (RETURN, 0, 0, WHOLE_SEGMENT),
)
BPF_PROGRAM: Final = struct.Struct('HP')


class Acceptor:
    """Accepts connections and passes each to a function."""

    def __init__(
        self,
        loop: Loop,
        *,
        on_accept: Callable[[socket.socket], None],
        max_waiting_bytes: int = 0,
        timeout_ms: int = UNACKNOWLEDGED_TIMEOUT_MS,
    ) -> None:
        """Create an acceptor; ``bind`` opens the port.

        Args:
            loop: loop that waits for connections.
            on_accept: function that is called with each new socket, whose
                options are set.
            max_waiting_bytes: most bytes that wait in the kernel on a
                connection to be read or to be sent; 0 to leave that to the
                kernel.
            timeout_ms: time after which the kernel ends a connection whose
                peer reads nothing, milliseconds.
        """
        self._timeout_ms = timeout_ms
        self._loop = loop
        self._on_accept = on_accept
        self._is_open = False
        self._is_watching = False
        self._sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        if max_waiting_bytes:
            _limit_waiting(self._sock, max_waiting_bytes)

    @property
    def is_closed(self) -> bool:
        """Whether the port is closed and no further connection can arrive."""
        return not self._is_watching

    def bind(self, host: str, port: int) -> Result[None, Fault]:
        """Open the port; connections queue in the kernel until ``start``.

        Args:
            host: IP address to listen on.
            port: port to listen on.

        Returns:
            Nothing, or the fault if the address is not available.
        """
        self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            self._sock.bind((host, port))
        except OSError as error:
            fault = Fault(
                code=Code.address_in_use,
                where=f'{host}:{port}',
                got=str(error),
                expected='an address that is free',
            )
            return Err(fault)
        self._sock.listen(BACKLOG)
        self._sock.setblocking(False)
        return Ok(None)

    def start(self) -> None:
        """Start accepting connections; call it in the loop's thread."""
        self._is_open = True
        self._is_watching = True
        self._loop.watch(self._sock.fileno(), READABLE, self._accept_all)

    def close(self) -> None:
        """Refuse new connections and close the port after a delay.

        A caller that connects just while the port closes would get a reset
        with its request unread. To prevent this, new handshakes are dropped
        first, the handshakes in progress complete and are accepted, and only
        then the port closes. A client whose handshake was dropped sends it
        again and is refused.
        """
        if not self._is_open:
            return
        self._is_open = False
        _drop_handshakes(self._sock)
        self._loop.alarms.set(HANDSHAKE_TIMEOUT_SECONDS, self.close_now)

    def close_now(self) -> None:
        """Close the port at once."""
        self._is_open = False
        if self._is_watching:
            self._is_watching = False
            self._accept_all(READABLE)
            self._loop.unwatch(self._sock.fileno())
        self._sock.close()

    def _accept_all(self, events: int) -> None:
        while True:
            try:
                sock = self._sock.accept()[0]
            except OSError:
                # No connection is left in the queue, or the client has
                # already closed the next one.
                return
            set_socket_options(sock, timeout_ms=self._timeout_ms)
            self._on_accept(sock)


def _limit_waiting(sock: socket.socket, max_bytes: int) -> None:
    # Accepted connections inherit both limits.
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, max_bytes)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NOTSENT_LOWAT, max_bytes)


def _drop_handshakes(sock: socket.socket) -> None:
    code = b''.join(BPF_INSTRUCTION.pack(*step) for step in DROP_SYN)
    buffer = ctypes.create_string_buffer(code)
    program = BPF_PROGRAM.pack(len(DROP_SYN), ctypes.addressof(buffer))
    try:
        sock.setsockopt(socket.SOL_SOCKET, SO_ATTACH_FILTER, program)
    except OSError:
        # Without socket filters in the kernel the port closes without one; a
        # connection that arrives at that moment is reset unread.
        return
