"""Tests of what the connections of a port may hold in the kernel."""

from __future__ import annotations

import socket
from contextlib import suppress
from typing import Final

from wagtaildale.reactor.acceptor import Acceptor
from wagtaildale.reactor.loop import Loop
from wagtaildale.testing.loopback import make_host

HOST: Final = make_host(9)
PORT: Final = 8081
LIMIT: Final = 65_536
# Beside the limit: what the peer takes, and a last piece that is begun.
SLACK: Final = 262_144
MOST: Final = 10_000_000
SMALL_BUFFER_BYTES: Final = 4096


def accept_unread(loop: Loop, peer: socket.socket) -> socket.socket:
    """Accept the connection of a peer that does not read."""
    accepted: list[socket.socket] = []
    acceptor = Acceptor(
        loop, on_accept=accepted.append, max_waiting_bytes=LIMIT
    )
    acceptor.bind(HOST, PORT).unwrap()
    acceptor.start()
    peer.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER_BYTES)
    peer.connect((HOST, PORT))
    while not accepted:
        loop.step(1)
    acceptor.close_now()
    return accepted[0]


def test_unread_answer_does_not_fill_the_kernel() -> None:
    """Long answers to a crowd that does not read take gigabytes there."""
    loop = Loop(on_defect=print, on_late=lambda _seconds: None)
    sent = 0
    with socket.socket() as peer, accept_unread(loop, peer) as sock:
        with suppress(BlockingIOError):
            while sent <= MOST:
                sent += sock.send(bytes(LIMIT))
    loop.close()
    assert sent <= LIMIT + SLACK
