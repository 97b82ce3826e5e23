"""One request to the next hop, and the response that comes back."""

from __future__ import annotations

import select
import socket
from typing import TYPE_CHECKING, Final

from msgspec import Struct

from wagtaildale.calls.connections import (
    Connection,
    Pool,
    open_connection,
    read_response,
)
from wagtaildale.calls.failures import CallFailed
from wagtaildale.calls.heads import write_request_head
from wagtaildale.calls.responses import Response
from wagtaildale.errors.codes import Code
from wagtaildale.timers.service import read_clock
from wagtaildale.types import Outcome

if TYPE_CHECKING:
    from collections.abc import Sequence

    from wagtaildale.calls.addresses import Address
    from wagtaildale.calls.bodies import RequestBody
    from wagtaildale.calls.parsing import Header

MILLISECONDS: Final = 1000


class Call(Struct, kw_only=True):
    """A request on its way through a node.

    Attributes:
        caller: on which it came.
        method: HTTP method.
        target: path and query as they came.
        headers: those that go on.
        body: passed on as it comes.
        deadline: seconds on the clock.
    """

    caller: Connection
    method: bytes
    target: bytes
    headers: Sequence[Header]
    body: RequestBody
    deadline: float


def exchange(
    call: Call,
    *,
    pool: Pool,
    address: Address,
    extra: Sequence[Header],
) -> Response:
    """Send a request on, once, and read the head of its response.

    Args:
        call: the request.
        pool: idle connections.
        address: of the next hop.
        extra: headers that this hop adds.

    Returns:
        The response, read ahead; leaving it as a context gives its
        connection back to the pool.

    Raises:
        CallFailed: with outcome ``not_run`` if nothing was sent, else
            ``unknown``.
    """
    connection = pool.take(address)
    if connection is None:
        connection = open_connection(address, deadline=call.deadline)
    try:
        return _run(call, connection, extra).kept_in(pool, address)
    except CallFailed:
        connection.close()
        raise
    except TimeoutError:
        connection.close()
        raise CallFailed(
            Code.timed_out,
            outcome=Outcome.unknown,
        ) from None
    except OSError as error:
        connection.close()
        raise CallFailed(
            Code.backend_cut,
            outcome=Outcome.unknown,
            detail=str(error),
        ) from None


def _run(
    call: Call,
    connection: Connection,
    extra: Sequence[Header],
) -> Response:
    body = call.body
    head = write_request_head(
        call.method,
        target=call.target,
        headers=(*call.headers, *body.framing, *extra),
    )
    connection.send(head + body.first, deadline=call.deadline)
    if not body.is_complete:
        body.pass_rest(connection, deadline=call.deadline)
    _wait_watching(connection.sock, call.caller.sock, call.deadline)
    message = read_response(
        connection,
        method=call.method,
        deadline=call.deadline,
    )
    response = Response(connection, message=message, method=call.method)
    response.read_ahead(deadline=call.deadline)
    return response


def _wait_watching(
    sock: socket.socket,
    caller: socket.socket,
    deadline: float,
) -> None:
    """Wait for a response, and see when the caller hangs up.

    Failure guarded here: a caller gives up and its request still holds a
    slot at the backend server. Closing the connection to the next hop
    passes the cancellation on.
    """
    poller = select.poll()
    poller.register(sock, select.POLLIN)
    poller.register(caller, select.POLLIN)
    while True:
        seconds = deadline - read_clock()
        ready = {
            entry[0] for entry in poller.poll(max(0, seconds) * MILLISECONDS)
        }
        if sock.fileno() in ready:
            return
        if not ready:
            raise TimeoutError
        if _has_hung_up(caller):
            raise CallFailed(Code.caller_gone, outcome=Outcome.unknown)
        # Another request is waiting behind this one: look at the response
        # alone from here on.
        poller.unregister(caller)


def _has_hung_up(caller: socket.socket) -> bool:
    try:
        return not caller.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
    except BlockingIOError:
        return False
    except OSError:
        return True
