"""Backend server that sends bytes until its connection is closed."""

from __future__ import annotations

import re
import socket
import threading
from pathlib import Path
from typing import Final

from wagtaildale.calls.tests.listeners import Listener
from wagtaildale.testing.mesh import BACKEND_PORT

PAGE_BYTES: Final = 4096
READ_BYTES: Final = 65_536
REQUEST_ID_PATTERN: Final = re.compile(rb'x-request-id: (\S+)', re.IGNORECASE)
REQUEST_ID_MARK: Final = b'%id%'


def read_resident_bytes() -> int:
    """Return the resident memory of this process."""
    return int(Path('/proc/self/statm').read_text().split()[1]) * PAGE_BYTES


class EndlessBackend(Listener):
    """Sends a beginning once, and then the same bytes again and again.

    Attributes:
        was_closed: set once the connection was closed at the other end.
        grown_bytes: most memory that the process has grown by meanwhile.
    """

    def __init__(self, host: str, *, begin: bytes, repeated: bytes) -> None:
        self.was_closed = threading.Event()
        self.grown_bytes = 0
        self._begin = begin
        self._repeated = repeated
        super().__init__((host, BACKEND_PORT))

    def answer(self, sock: socket.socket) -> None:
        head = sock.recv(READ_BYTES)
        request_id = b''.join(REQUEST_ID_PATTERN.findall(head))
        resident = read_resident_bytes()
        begin = self._begin.replace(REQUEST_ID_MARK, request_id)
        try:
            self._send_until_closed(sock, begin, resident)
        except OSError:
            self.was_closed.set()

    def _send_until_closed(
        self, sock: socket.socket, begin: bytes, resident: int
    ) -> None:
        sock.sendall(begin)
        while not self.was_closed.is_set():
            sock.sendall(self._repeated)
            grown = read_resident_bytes() - resident
            self.grown_bytes = max(self.grown_bytes, grown)
