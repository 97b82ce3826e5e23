"""Checks for unread input of a connection without reading it.

The event loop handles its sockets one after another: input of a connection may
have arrived but not be handled yet when a decision depends on it.
"""

from __future__ import annotations

import socket
from enum import Enum
from typing import TYPE_CHECKING, final

if TYPE_CHECKING:
    from wagtaildale.reactor.stream import Stream


@final
class PendingInput(Enum):
    """Kind of unread input on a connection."""

    nothing = 'nothing'
    bytes_came = 'bytes_came'
    ended = 'ended'


def peek_input(stream: Stream) -> PendingInput:
    """Check for unread input on a connection.

    Args:
        stream: connection to check.

    Returns:
        Whether bytes are waiting, or the connection has ended.
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
