"""A relay between two nodes that a test can pause."""

from __future__ import annotations

import socket
import threading

from wagtaildale.calls.tests.listeners import Listener
from wagtaildale.calls.tests.pairs import TIMEOUT_SECONDS

READ_BYTES = 65_536


class Relay(Listener):
    """Forwards one connection of an entry to its owner.

    Attributes:
        held_bytes: bytes to the owner that were delayed by a pause.
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
        self._resumed = threading.Event()
        self._resumed.set()
        super().__init__(address)

    def pause(self) -> None:
        self._resumed.clear()

    def resume(self) -> None:
        self._resumed.set()

    def answer(self, sock: socket.socket) -> None:
        with socket.create_connection(
            self._owner, TIMEOUT_SECONDS
        ) as connection:
            connection.settimeout(None)
            return_thread = threading.Thread(
                target=self._forward_back, args=(connection, sock)
            )
            return_thread.start()
            self._forward(sock, connection)
            return_thread.join(TIMEOUT_SECONDS)

    def _forward(self, sock: socket.socket, connection: socket.socket) -> None:
        while chunk := _read(sock):
            if not self._resumed.is_set():
                self.held_bytes += len(chunk)
                self._resumed.wait(TIMEOUT_SECONDS)
            _write(connection, chunk)
        _end_output(connection)

    def _forward_back(
        self, connection: socket.socket, sock: socket.socket
    ) -> None:
        while chunk := _read(connection):
            self.returned_bytes += len(chunk)
            _write(sock, chunk)
        _end_output(sock)


def _read(sock: socket.socket) -> bytes:
    try:
        return sock.recv(READ_BYTES)
    except OSError:
        return b''


def _write(sock: socket.socket, chunk: bytes) -> None:
    try:
        sock.sendall(chunk)
    except OSError:
        # The other side is disconnected: what it would have received is lost.
        return


def _end_output(sock: socket.socket) -> None:
    try:
        sock.shutdown(socket.SHUT_WR)
    except OSError:
        return
