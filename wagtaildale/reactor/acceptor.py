"""A listening port in a loop."""

from __future__ import annotations

import ctypes
import socket
import struct
from typing import TYPE_CHECKING, Final

from result import Err, Ok, Result

from wagtaildale.errors.codes import Code
from wagtaildale.errors.faults import Fault
from wagtaildale.reactor.loop import READABLE
from wagtaildale.reactor.stream import prepare

if TYPE_CHECKING:
    from collections.abc import Callable

    from wagtaildale.reactor.loop import Loop

BACKLOG: Final = 512
# Handshakes that had begun when the port was closed to new ones are over
# after this time; on a local network they take under a millisecond.
HANDSHAKE_SECONDS: Final = 0.05
ATTACH_FILTER: Final = 26
# A classic BPF program over the TCP header: drop a segment with SYN set. Its
# steps are: load the byte with the flags, test it, drop, or keep all of it.
INSTRUCTION: Final = struct.Struct('HBBI')
LOAD_BYTE: Final = 0x30
JUMP_IF_SET: Final = 0x45
RETURN: Final = 6
FLAGS_AT: Final = 13
SYN: Final = 2
WHOLE_SEGMENT: Final = 0xFFFFFFFF
DROP_SYN: Final = (
    (LOAD_BYTE, 0, 0, FLAGS_AT),
    (JUMP_IF_SET, 0, 1, SYN),
    (RETURN, 0, 0, 0),
    (RETURN, 0, 0, WHOLE_SEGMENT),
)
PROGRAM: Final = struct.Struct('HP')


class Acceptor:
    """Accepts connections and hands each to its owner."""

    def __init__(
        self,
        loop: Loop,
        *,
        on_accept: Callable[[socket.socket], None],
    ) -> None:
        """Prepare; ``bind`` opens the port.

        Args:
            loop: that waits for connections.
            on_accept: is given each new socket, prepared.
        """
        self._loop = loop
        self._on_accept = on_accept
        self._is_open = False
        self._is_watched = False
        self._sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)

    @property
    def is_closed(self) -> bool:
        """Whether every connection that can come has been handed over."""
        return not self._is_watched

    def bind(self, host: str, port: int) -> Result[None, Fault]:
        """Open the port; connections wait until ``start``.

        Args:
            host: IP number.
            port: to listen on.

        Returns:
            Nothing, or the fault.
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
        """Accept connections from now on; in the loop's thread."""
        self._is_open = True
        self._is_watched = True
        self._loop.watch(self._sock.fileno(), READABLE, self._accept_all)

    def close(self) -> None:
        """Accept nothing more; what has connected is still handed over.

        Failure guarded here: a caller connects just as the port closes, and
        its connection is reset with the request unread. New handshakes are
        dropped first, those under way end and are accepted, and only then
        the port closes; whoever was dropped asks again and is refused.
        """
        if not self._is_open:
            return
        self._is_open = False
        _refuse_handshakes(self._sock)
        self._loop.alarms.set(HANDSHAKE_SECONDS, self.close_now)

    def close_now(self) -> None:
        """Close the port at once."""
        self._is_open = False
        if self._is_watched:
            self._is_watched = False
            self._accept_all(READABLE)
            self._loop.forget(self._sock.fileno())
        self._sock.close()

    def _accept_all(self, events: int) -> None:
        while True:
            try:
                sock = self._sock.accept()[0]
            except OSError:
                # None waits any more, or the one that did is gone.
                return
            prepare(sock)
            self._on_accept(sock)


def _refuse_handshakes(sock: socket.socket) -> None:
    code = b''.join(INSTRUCTION.pack(*step) for step in DROP_SYN)
    buffer = ctypes.create_string_buffer(code)
    program = PROGRAM.pack(len(DROP_SYN), ctypes.addressof(buffer))
    try:
        sock.setsockopt(socket.SOL_SOCKET, ATTACH_FILTER, program)
    except OSError:
        # Where the system offers no filters the port closes without one:
        # a connection that comes in the same moment is reset unread.
        return
