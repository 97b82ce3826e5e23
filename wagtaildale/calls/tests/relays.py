"""A line between two nodes on which a test can hold messages up."""

from __future__ import annotations

import socket
import threading

from wagtaildale.calls.tests.listeners import Listener
from wagtaildale.calls.tests.pairs import TIMEOUT_SECONDS

READ_BYTES = 65_536


class Relay(Listener):
    """Passes one connection of an entry on to its owner.

    Attributes:
        held_bytes: bytes on the way to the owner that are held up.
        returned_bytes: bytes that the owner has sent back.
    """

    def __init__(
        self,
        address: tuple[str, int],
        *,
        owner: tuple[str, int],
    ) -> None:
        self.held_bytes = 0
        self.returned_bytes = 0
        self._owner = owner
        self._flows = threading.Event()
        self._flows.set()
        super().__init__(address)

    def pause(self) -> None:
        self._flows.clear()

    def resume(self) -> None:
        self._flows.set()

    def answer(self, sock: socket.socket) -> None:
        with socket.create_connection(self._owner, TIMEOUT_SECONDS) as line:
            line.settimeout(None)
            back = threading.Thread(target=self._pass_back, args=(line, sock))
            back.start()
            self._pass_on(sock, line)
            back.join(TIMEOUT_SECONDS)

    def _pass_on(self, sock: socket.socket, line: socket.socket) -> None:
        while chunk := _read(sock):
            if not self._flows.is_set():
                self.held_bytes += len(chunk)
                self._flows.wait(TIMEOUT_SECONDS)
            _write(line, chunk)
        _end(line)

    def _pass_back(self, line: socket.socket, sock: socket.socket) -> None:
        while chunk := _read(line):
            self.returned_bytes += len(chunk)
            _write(sock, chunk)
        _end(sock)


def _read(sock: socket.socket) -> bytes:
    try:
        return sock.recv(READ_BYTES)
    except OSError:
        return b''


def _write(sock: socket.socket, chunk: bytes) -> None:
    try:
        sock.sendall(chunk)
    except OSError:
        # The other side has gone: what it would have got is lost.
        return


def _end(sock: socket.socket) -> None:
    try:
        sock.shutdown(socket.SHUT_WR)
    except OSError:
        return
