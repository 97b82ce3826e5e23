"""The port that accepts connections of callers."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from msgspec import Struct

from wagtaildale.admission.memory import MemoryAccount, find_memory_limit
from wagtaildale.calls.failures import CallFailed
from wagtaildale.calls.http.caller_connection import CallerConnection
from wagtaildale.errors.codes import Code
from wagtaildale.reactor.acceptor import Acceptor
from wagtaildale.reactor.lingering import LingeringStreams
from wagtaildale.settings.model import MEMORY_MB
from wagtaildale.timers.service import read_clock

if TYPE_CHECKING:
    import socket
    from collections.abc import Callable

    from result import Result

    from wagtaildale.calls.addresses import Address
    from wagtaildale.calls.http.exchanges import RequestHandler
    from wagtaildale.errors.faults import Fault
    from wagtaildale.reactor.loop import Loop
    from wagtaildale.reactor.stream import Stream

# Interval between checks for idle connections and incomplete heads.
TIMEOUT_CHECK_SECONDS: Final = 1.0
# Descriptors for refusals beyond the largest number of connections, as a part
# of it: their callers are to read the response.
REFUSAL_SHARE: Final = 0.125
# As long as an idle connection stays open: a caller may pause as it reads.
UNREAD_TIMEOUT_MS: Final = 60_000
# Quiet connections that are closed together, as a part of the largest number,
# so that they are not searched for each new one.
CLOSED_SHARE: Final = 0.03125


class CallerLimits(Struct, frozen=True, kw_only=True):
    """Limits on what callers send and on how long they take.

    Attributes:
        max_head_bytes: largest request head.
        max_body_bytes: largest request body.
        head_timeout_seconds: longest time from the first byte of a head to its
            last.
        idle_timeout_seconds: longest time that a connection stays open without
            a request.
        max_connections: largest number of open connections.
    """

    max_head_bytes: int
    max_body_bytes: int
    head_timeout_seconds: float = 10.0
    idle_timeout_seconds: float = 60.0
    max_connections: int = 512


class CallerPort:
    """The port that accepts connections of callers.

    Attributes:
        loop: event loop of the connections.
        request_handler: answers the requests.
        read_limits: returns the limits that are in force.
        memory: account of what the process holds for its callers.
        is_draining: whether connections close once their requests are
            answered.
    """

    def __init__(
        self,
        loop: Loop,
        *,
        request_handler: RequestHandler,
        read_limits: Callable[[], CallerLimits],
        memory: MemoryAccount | None = None,
        max_waiting_bytes: int = 0,
    ) -> None:
        """Prepare the port; ``bind`` opens it.

        Args:
            loop: event loop of the connections.
            request_handler: answers the requests.
            read_limits: returns the limits that are in force.
            memory: account of what the process holds for its callers; one
                of usual size if left out.
            max_waiting_bytes: most bytes that wait in the kernel on a
                connection; 0 to leave that to the kernel.
        """
        self.loop = loop
        self.request_handler = request_handler
        self.read_limits = read_limits
        self.memory = memory or MemoryAccount(find_memory_limit(MEMORY_MB))
        self.is_draining = False
        self._connections: set[CallerConnection] = set()
        self._lingering = LingeringStreams()
        self._acceptor = Acceptor(
            loop,
            on_accept=self._accept,
            max_waiting_bytes=max_waiting_bytes,
            timeout_ms=UNREAD_TIMEOUT_MS,
        )

    @property
    def open_connections(self) -> int:
        """Number of open connections."""
        return len(self._connections)

    @property
    def active_calls(self) -> int:
        """Number of requests in progress, with unsent responses counted."""
        return sum(each.active_calls for each in tuple(self._connections))

    @property
    def is_closed(self) -> bool:
        """Whether the port accepts no new connections."""
        return self._acceptor.is_closed

    def bind(self, address: Address) -> Result[None, Fault]:
        """Open the port.

        Args:
            address: address to listen on.

        Returns:
            None, or the fault that prevented it.
        """
        return self._acceptor.bind(address.host, address.port)

    def start(self) -> None:
        """Start to accept connections; call it in the loop's thread."""
        self._acceptor.start()
        self._check_timeouts()

    def drain(self) -> None:
        """Close each connection once its requests are answered.

        New connections are still accepted: a caller that does not know yet that
        the node leaves gets a response that asks it to close the connection.
        """
        self.is_draining = True

    def close_port(self) -> None:
        """Accept no more connections; open ones stay open."""
        self._acceptor.close()

    def close_idle(self) -> None:
        """Close connections that were answered and have no open request.

        Without this, while the node waits for a long response to one caller,
        another one would send a request on its open connection, and the
        connection would close without a response when the stop ends.
        """
        for connection in tuple(self._connections):
            connection.close_idle()

    def stop(self) -> None:
        """Close the port and all its connections at once."""
        self._acceptor.close_now()
        for connection in tuple(self._connections):
            connection.close_now()
        self._lingering.close_all()

    def forget(self, connection: CallerConnection, stream: Stream) -> None:
        """Remove a connection that is closed or lingers.

        Args:
            connection: connection of this port.
            stream: its stream.
        """
        self._connections.discard(connection)
        self._lingering.add(stream)

    def _accept(self, sock: socket.socket) -> None:
        most = self.read_limits().max_connections
        if self._open_sockets >= most and not self._make_room(most):
            # Nothing of it was read, so its caller may go elsewhere.
            sock.close()
            return
        connection = CallerConnection(self, sock)
        self._connections.add(connection)
        if len(self._connections) > most:
            connection.refuse(
                CallFailed(Code.overloaded, detail='too many connections'),
            )

    @property
    def _open_sockets(self) -> int:
        return len(self._connections) + len(self._lingering)

    def _make_room(self, most: int) -> bool:
        if len(self._connections) >= most:
            self._close_quiet(most)
        with_refusals = round(most * (1 + REFUSAL_SHARE))
        if self._open_sockets < with_refusals:
            return True
        return self._lingering.close_oldest()

    def _close_quiet(self, most: int) -> None:
        quiet = [each for each in self._connections if each.is_replaceable]
        quiet.sort(key=lambda each: each.replacement_order)
        for connection in quiet[: 1 + int(most * CLOSED_SHARE)]:
            connection.make_room()

    def _check_timeouts(self) -> None:
        now = read_clock()
        for connection in tuple(self._connections):
            connection.check_timeouts(now)
        self.loop.alarms.set(TIMEOUT_CHECK_SECONDS, self._check_timeouts)
