"""A line between two nodes that a test holds up."""

from __future__ import annotations

import select
import socket
import threading

from wagtaildale.calls.tests.listeners import Listener
from wagtaildale.calls.tests.pairs import TIMEOUT_SECONDS

LOOK_SECONDS = 0.02


class PausableProxy(Listener):
    """Passes bytes on both ways; what comes while it is held waits."""

    def __init__(
        self,
        address: tuple[str, int],
        *,
        beyond: tuple[str, int],
    ) -> None:
        self._beyond = beyond
        self._moves = threading.Event()
        self._moves.set()
        self._over = False
        super().__init__(address)

    def pause(self) -> None:
        self._moves.clear()

    def resume(self) -> None:
        self._moves.set()

    def close(self) -> None:
        self._over = True
        self.resume()
        super().close()

    def answer(self, sock: socket.socket) -> None:
        with socket.create_connection(self._beyond, TIMEOUT_SECONDS) as beyond:
            others = {sock: beyond, beyond: sock}
            is_whole = True
            while is_whole and not self._over:
                is_whole = self._pass_on(others)

    def _pass_on(self, others: dict[socket.socket, socket.socket]) -> bool:
        ready, _writable, _failed = select.select(
            list(others),
            [],
            [],
            LOOK_SECONDS,
        )
        for side in ready:
            # What came in while the line is held waits here.
            self._moves.wait(TIMEOUT_SECONDS)
            piece = side.recv(65536)
            if not piece:
                return False
            others[side].sendall(piece)
        return True
