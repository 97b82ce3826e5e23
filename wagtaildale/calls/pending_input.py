"""Looks at what has come on a connection without taking it.

A task looks at its sockets one after the other: what came on a connection a
moment ago may not have been handled yet when something is decided on it.
"""

from __future__ import annotations

import socket
from enum import Enum
from typing import TYPE_CHECKING, final

if TYPE_CHECKING:
    from wagtaildale.reactor.stream import Stream


@final
class PendingInput(Enum):
    """What waits to be read on a connection."""

    nothing = 'nothing'
    bytes_came = 'bytes_came'
    ended = 'ended'


def peek_input(stream: Stream) -> PendingInput:
    """Look at what waits to be read on a connection.

    Args:
        stream: the connection.

    Returns:
        Whether bytes have come, or the connection has ended.
    """
    if stream.is_closed:
        return PendingInput.ended
    try:
        peeked = stream.sock.recv(1, socket.MSG_PEEK)
    except BlockingIOError:
        return PendingInput.nothing
    except OSError:
        return PendingInput.ended
    return PendingInput.bytes_came if peeked else PendingInput.ended
