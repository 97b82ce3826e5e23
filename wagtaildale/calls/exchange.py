"""One request to the next hop, and the response that comes back."""

from __future__ import annotations

import select
import socket
from functools import partial
from typing import TYPE_CHECKING, Final, TypeVar

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
    from collections.abc import Callable, Sequence

    from wagtaildale.calls.addresses import Address
    from wagtaildale.calls.bodies import Body
    from wagtaildale.calls.parsing import Header

Given = TypeVar('Given')

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
    body: Body
    deadline: float


class Exchange:
    """A request that was sent on, once, and has no response yet.

    Attributes:
        connection: on which it was sent.
    """

    def __init__(
        self,
        call: Call,
        *,
        pool: Pool,
        address: Address,
        extra: Sequence[Header],
    ) -> None:
        """Send the request.

        Args:
            call: the request.
            pool: idle connections.
            address: of the next hop.
            extra: headers that this hop adds.

        Raises:
            CallFailed: with outcome ``not_run`` if nothing was sent, else
                ``unknown``.
        """
        self._call = call
        self._pool = pool
        self._address = address
        connection = pool.take(address)
        if connection is None:
            connection = open_connection(address, deadline=call.deadline)
        self.connection = connection
        # Failure: a paused process wakes and sends what nobody waits for
        # any more. The deadline is looked at last thing before the send.
        if read_clock() >= call.deadline:
            pool.give(address, connection)
            raise CallFailed(Code.past_deadline)
        self._guard(lambda: self._send(extra))

    def finish(self, *, is_ready: bool = False) -> Response:
        """Wait for the response and read it ahead.

        Args:
            is_ready: whether it was waited for already.

        Returns:
            The response; leaving it as a context gives its connection back
            to the pool.

        Raises:
            CallFailed: with outcome ``unknown``.
        """
        response = self._guard(partial(self._receive, is_ready))
        return response.kept_in(self._pool, self._address)

    def cancel(self) -> None:
        """Give up: the closed connection tells the next hop."""
        self.connection.close()

    def _send(self, extra: Sequence[Header]) -> None:
        call = self._call
        body = call.body
        head = write_request_head(
            call.method,
            target=call.target,
            headers=(*call.headers, *body.framing, *extra),
        )
        self.connection.send(head + body.first, deadline=call.deadline)
        if not body.is_complete:
            body.pass_rest(self.connection, deadline=call.deadline)

    def _receive(self, is_ready: bool) -> Response:
        call = self._call
        connection = self.connection
        if not is_ready:
            wait_for_one((self,), caller=call.caller, deadline=call.deadline)
        message = read_response(
            connection,
            method=call.method,
            deadline=call.deadline,
        )
        response = Response(connection, message=message, method=call.method)
        response.read_ahead(deadline=call.deadline)
        return response

    def _guard(self, step: Callable[[], Given]) -> Given:
        try:
            return step()
        except CallFailed as failure:
            self.cancel()
            # Failure: a body grows over the limit in the middle, and its
            # caller hears "not run" of what the backend server has begun.
            # Once anything was sent, nobody can say so.
            if failure.outcome is Outcome.not_run:
                failure.outcome = Outcome.unknown
            raise
        except TimeoutError:
            self.cancel()
            raise CallFailed(
                Code.timed_out,
                outcome=Outcome.unknown,
            ) from None
        except OSError as error:
            self.cancel()
            raise CallFailed(
                Code.backend_cut,
                outcome=Outcome.unknown,
                detail=str(error),
            ) from None


def exchange(
    call: Call,
    *,
    pool: Pool,
    address: Address,
    extra: Sequence[Header],
) -> Response:
    """Send a request on, once, and read its response ahead.

    Args:
        call: the request.
        pool: idle connections.
        address: of the next hop.
        extra: headers that this hop adds.

    Returns:
        The response.

    Raises:
        CallFailed: with outcome ``not_run`` if nothing was sent, else
            ``unknown``.
    """
    sent = Exchange(call, pool=pool, address=address, extra=extra)
    return sent.finish()


def wait_for_one(
    exchanges: Sequence[Exchange],
    *,
    caller: Connection,
    deadline: float,
) -> Exchange:
    """Wait until one of several responses comes, watching the caller.

    Failure guarded here: a caller gives up and its request still holds a
    slot at the backend server. Closing the connections to the next hop
    passes the cancellation on.

    Args:
        exchanges: sent already.
        caller: who waits for the answer.
        deadline: seconds on the clock.

    Returns:
        The first of which the response can be read.

    Raises:
        TimeoutError: when the time is up.
        CallFailed: when the caller has hung up.
    """
    poller = select.poll()
    by_number = {each.connection.sock.fileno(): each for each in exchanges}
    for number in (*by_number, caller.sock.fileno()):
        poller.register(number, select.POLLIN)
    while True:
        seconds = max(0, deadline - read_clock())
        ready = {event[0] for event in poller.poll(seconds * MILLISECONDS)}
        answered = ready & by_number.keys()
        if answered:
            return by_number[answered.pop()]
        _check_caller(caller.sock, ready)
        # Another request is waiting behind this one: look at the responses
        # alone from here on.
        poller.unregister(caller.sock)


def _check_caller(caller: socket.socket, ready: set[int]) -> None:
    if not ready:
        raise TimeoutError
    if _has_hung_up(caller):
        raise CallFailed(Code.caller_gone, outcome=Outcome.unknown)


def _has_hung_up(caller: socket.socket) -> bool:
    try:
        return not caller.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
    except BlockingIOError:
        return False
    except OSError:
        return True
