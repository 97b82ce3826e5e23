"""Connections of entries whose messages a test scripts."""

from __future__ import annotations

import socket
from typing import TYPE_CHECKING

from wagtaildale.calls.tests.pairs import TIMEOUT_SECONDS
from wagtaildale.calls.wire.frames import (
    PLAIN,
    Frame,
    FrameReader,
    encode_frame,
)

if TYPE_CHECKING:
    from wagtaildale.calls.tests.pairs import Pair


class RawEntry:
    """Connection of an entry to the owner of a pair."""

    def __init__(self, pair: Pair) -> None:
        record = pair.owner_node.record
        address = (record.host, record.owner_port)
        self._sock = socket.create_connection(address, TIMEOUT_SECONDS)
        self._sock.sendall(PLAIN)
        self._reader = FrameReader()
        self._frames: list[Frame] = []

    def close(self) -> None:
        self._sock.close()

    def send(self, frame: Frame) -> None:
        """Send a message."""
        self._sock.sendall(encode_frame(frame))

    def receive(self) -> Frame:
        """Receive the next message."""
        while not self._frames:
            chunk = self._sock.recv(65_536)
            assert chunk, 'the owner has closed the connection'
            self._frames = self._reader.feed(chunk)
        return self._frames.pop(0)
