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
class Glance(Enum):
    """What waits to be read on a connection."""

    nothing = 'nothing'
    bytes_came = 'bytes_came'
    ended = 'ended'


def glance(stream: Stream) -> Glance:
    """Look at what waits to be read on a connection.

    Args:
        stream: the connection.

    Returns:
        Whether bytes have come, or the connection has ended.
    """
    if stream.is_closed:
        return Glance.ended
    try:
        came = stream.sock.recv(1, socket.MSG_PEEK)
    except BlockingIOError:
        return Glance.nothing
    except OSError:
        return Glance.ended
    return Glance.bytes_came if came else Glance.ended
