"""Tests of connections that end while both sides have something to say."""

from __future__ import annotations

import socket
import struct
from typing import TYPE_CHECKING, Final

import pytest

from wagtaildale.calls.tests.pairs import wait_until
from wagtaildale.reactor.loop import Loop
from wagtaildale.reactor.stream import open_stream

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

ADDRESS: Final = ('127.0.9.8', 8081)
STEP_SECONDS: Final = 0.01
# Closing sends a reset.
RESET: Final = struct.pack('ii', 1, 0)


class Listening:
    """Keeps what comes on a stream."""

    def __init__(self) -> None:
        self.is_open = False
        self.came = b''
        self.ends: list[str] = []

    def on_open(self) -> None:
        self.is_open = True

    def on_bytes(self, chunk: bytes) -> None:
        self.came += chunk

    def on_end(self) -> None:
        self.ends.append('ended')

    def on_lost(self, error: OSError) -> None:
        self.ends.append('lost')

    def on_drained(self) -> None:
        """Do nothing."""


@pytest.fixture
def loop() -> Iterator[Loop]:
    defects: list[BaseException] = []
    made = Loop(on_defect=defects.append, on_late=lambda _seconds: None)
    yield made
    made.close()
    assert not defects


def move_until(loop: Loop, condition: Callable[[], bool]) -> None:
    """Let the loop work until something is so."""
    wait_until(lambda: step(loop, condition))


def step(loop: Loop, condition: Callable[[], bool]) -> bool:
    loop.step(STEP_SECONDS)
    return condition()


def test_what_has_come_is_read_first(loop: Loop) -> None:
    """A caller hears 502 though the answer has come to this machine.

    The owner of its call answers, stops, and resets the connection, since
    something sent to it was not read any more. This node has a message to
    send before it looks at the socket; sending fails, and the answer that
    waits there was thrown away. It is read first, and the connection still
    counts as lost and not as ended in order.
    """
    listening = Listening()
    with socket.create_server(ADDRESS) as server:
        stream = open_stream(loop, ADDRESS, listening)
        other = server.accept()[0]
        move_until(loop, lambda: listening.is_open)
        other.sendall(b'the answer')
        other.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
        other.close()
        stream.send(b'a question')
        move_until(loop, lambda: bool(listening.ends))
        stream.close()
    assert listening.came == b'the answer'
    assert listening.ends == ['lost']
