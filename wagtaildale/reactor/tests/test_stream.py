"""Tests of connections that end while both sides have data to send."""

from __future__ import annotations

import socket
import struct
from typing import TYPE_CHECKING, Final

import pytest

from wagtaildale.calls.tests.pairs import wait_until
from wagtaildale.reactor.loop import Loop
from wagtaildale.reactor.stream import open_stream
from wagtaildale.testing.loopback import make_host

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

ADDRESS: Final = (make_host(8), 8081)
STEP_SECONDS: Final = 0.01
# Makes closing the socket send a reset.
LINGER_RESET: Final = struct.pack('ii', 1, 0)


class RecordingReceiver:
    """Records the events of a stream."""

    def __init__(self) -> None:
        self.is_open = False
        self.received = b''
        self.ends: list[str] = []

    def on_open(self) -> None:
        self.is_open = True

    def on_bytes(self, chunk: bytes) -> None:
        self.received += chunk

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


def run_until(loop: Loop, condition: Callable[[], bool]) -> None:
    """Run the loop until a condition is true."""
    wait_until(lambda: run_step(loop, condition))


def run_step(loop: Loop, condition: Callable[[], bool]) -> bool:
    loop.step(STEP_SECONDS)
    return condition()


def test_received_bytes_are_read_before_a_reset(
    loop: Loop,
) -> None:
    """Prevents a 502 to the caller when the answer has already arrived.

    The owner of a call answers, stops, and resets the connection because it
    did not read everything sent to it. If this node sends a message before it
    reads the socket, sending fails, and the received answer would be
    discarded. Now the answer is read first, and the connection still counts
    as lost, not as cleanly ended.
    """
    receiver = RecordingReceiver()
    with socket.create_server(ADDRESS) as server:
        stream = open_stream(loop, ADDRESS, receiver)
        peer = server.accept()[0]
        run_until(loop, lambda: receiver.is_open)
        peer.sendall(b'the answer')
        peer.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
        peer.close()
        stream.send(b'a question')
        run_until(loop, lambda: bool(receiver.ends))
        stream.close()
    assert receiver.received == b'the answer'
    assert receiver.ends == ['lost']
