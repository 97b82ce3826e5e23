"""A proxy between two nodes that a test can pause."""

from __future__ import annotations

import select
import socket
import threading

from wagtaildale.calls.tests.listeners import Listener
from wagtaildale.calls.tests.pairs import TIMEOUT_SECONDS

POLL_MILLISECONDS = 20


class PausableProxy(Listener):
    """Forwards bytes in both directions; they wait while it is paused."""

    def __init__(
        self,
        address: tuple[str, int],
        *,
        target: tuple[str, int],
    ) -> None:
        self._target = target
        self._resumed = threading.Event()
        self._resumed.set()
        self._is_closed = False
        super().__init__(address)

    def pause(self) -> None:
        self._resumed.clear()

    def resume(self) -> None:
        self._resumed.set()

    def close(self) -> None:
        self._is_closed = True
        self.resume()
        super().close()

    def answer(self, sock: socket.socket) -> None:
        with socket.create_connection(self._target, TIMEOUT_SECONDS) as target:
            opposite_sides = {sock: target, target: sock}
            is_connected = True
            while is_connected and not self._is_closed:
                is_connected = self._forward(opposite_sides)

    def _forward(
        self, opposite_sides: dict[socket.socket, socket.socket]
    ) -> bool:
        # Not ``select``, which cannot watch descriptors above 1,023.
        poller = select.poll()
        sides = {side.fileno(): side for side in opposite_sides}
        for descriptor in sides:
            poller.register(descriptor, select.POLLIN)
        for descriptor, _events in poller.poll(POLL_MILLISECONDS):
            side = sides[descriptor]
            # Input that arrives during a pause waits here.
            self._resumed.wait(TIMEOUT_SECONDS)
            piece = side.recv(65536)
            if not piece:
                return False
            opposite_sides[side].sendall(piece)
        return True
