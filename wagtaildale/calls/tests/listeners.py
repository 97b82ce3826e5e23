"""Servers that a test scripts, one connection at a time."""

from __future__ import annotations

import socket
import threading
from abc import ABC, abstractmethod

from wagtaildale.calls.tests.pairs import TIMEOUT_SECONDS


class Listener(ABC):
    """Accepts connections in its own thread, one after another."""

    def __init__(self, address: tuple[str, int]) -> None:
        self._listener = socket.create_server(address)
        self._thread = threading.Thread(target=self._serve, daemon=True)
        self._thread.start()

    def close(self) -> None:
        self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()
        self._thread.join(TIMEOUT_SECONDS)

    @abstractmethod
    def answer(self, sock: socket.socket) -> None:
        """Handle a connection; it is closed afterwards."""

    def _serve(self) -> None:
        while True:
            try:
                sock, _peer = self._listener.accept()
            except OSError:
                return
            with sock:
                self.answer(sock)
