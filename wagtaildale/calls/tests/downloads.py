"""Entries that ask for large responses, and servers that send them."""

from __future__ import annotations

import socket
from typing import TYPE_CHECKING, Final

from msgspec import structs

from standins.backend_thread import BackendThread
from wagtaildale.calls.tests.listeners import Listener
from wagtaildale.calls.tests.pairs import build_run
from wagtaildale.calls.tests.raw_entries import RawEntry
from wagtaildale.calls.wire.frames import (
    Answered,
    BodyPiece,
    Frame,
    LoadReport,
    Run,
    WindowUpdate,
)
from wagtaildale.testing.mesh import BACKEND_PORT
from wagtaildale.types import CallNumber, RequestId

if TYPE_CHECKING:
    from wagtaildale.calls.tests.pairs import Pair

SIZE: Final = 200_000
UNUSED_PORT: Final = BACKEND_PORT + 1000
CALL: Final = CallNumber(1)


class DownloadingEntry(RawEntry):
    """An entry that asks for large responses."""

    def ask(
        self,
        *,
        size: int = SIZE,
        bulk: bool = True,
        call: CallNumber = CALL,
        method: bytes = b'GET',
        within_ms: int = 4000,
        remaining_ms: int = 4000,
        headers: tuple[tuple[bytes, bytes], ...] = (),
    ) -> None:
        """Send a request whose response has somewhat more bytes than size."""
        run = build_run(idempotent=method == b'GET', remaining_ms=remaining_ms)
        fields = structs.replace(
            run.fields,
            bulk=bulk,
            within_ms=within_ms,
            request_id=RequestId(f'r{call}'),
        )
        target = b'/photos/%d' % size
        self.send(Run(call, fields, method, target, headers, b'', False, 0))

    def receive(self) -> Frame:
        """Receive the next message that belongs to a call."""
        frame = super().receive()
        while isinstance(frame, LoadReport):
            frame = super().receive()
        return frame

    def receive_response(self, *, acknowledges: bool = True) -> list[Frame]:
        """Receive messages up to the last one of a response."""
        frames = [self.receive()]
        while is_followed(frames[-1]):
            if acknowledges:
                self.acknowledge(frames[-1])
            frames.append(self.receive())
        return frames

    def acknowledge(self, frame: Frame) -> None:
        """Let the owner send as much again as came with a message."""
        assert isinstance(frame, Answered | BodyPiece)
        self.send(WindowUpdate(frame.call, len(frame.body)))


class ScriptedServer(Listener):
    """Sends the same bytes to each request and closes the connection."""

    def __init__(self, pair: Pair, response: bytes) -> None:
        host = pair.owner_node.record.host
        pair.backend.close()
        pair.backend = BackendThread('b', host=host, port=UNUSED_PORT)
        self._response = response
        super().__init__((host, BACKEND_PORT))

    def answer(self, sock: socket.socket) -> None:
        if sock.recv(65_536):
            sock.sendall(self._response)


def is_followed(frame: Frame) -> bool:
    """Tell whether more of the response follows a message."""
    return isinstance(frame, Answered | BodyPiece) and frame.more


def join_body(frames: list[Frame]) -> bytes:
    """Join the pieces of a response's body."""
    bodies: list[bytes] = []
    for frame in frames:
        assert isinstance(frame, Answered | BodyPiece)
        bodies.append(frame.body)
    return b''.join(bodies)
