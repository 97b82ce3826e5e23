"""The connections to one backend server that wait for a request."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from wagtaildale.calls.backend_connection import BackendConnection
from wagtaildale.calls.server_watch import ServerWatch
from wagtaildale.timers.service import read_clock

if TYPE_CHECKING:
    from collections.abc import Callable

    from wagtaildale.calls.addresses import Address
    from wagtaildale.calls.backend_connection import (
        BackendReceiver,
        BackendRequest,
    )
    from wagtaildale.reactor.loop import Loop
    from wagtaildale.telemetry.events import EventRecorder

# A request that must not run twice goes out only on a connection that was
# used this lately: servers forget idle ones, and a reset then leaves open
# whether the request was read.
FRESH_SECONDS: Final = 0.5


class BackendPool:
    """Connections to one backend server, the one used last taken first.

    Attributes:
        watch: whether the server takes connections.
    """

    def __init__(
        self,
        loop: Loop,
        *,
        address: Address,
        request_id_field: bytes,
        note_stray: Callable[[], None],
        recorder: EventRecorder,
    ) -> None:
        """Begin with none.

        Args:
            loop: carries the connections.
            address: of the backend server.
            request_id_field: by which responses name their request.
            note_stray: is told of a response to another request.
            recorder: gets an event when the server goes down, or is up again.
        """
        self.loop = loop
        self.request_id_field = request_id_field
        self.note_stray = note_stray
        self.opened_count = 0
        self.address = address
        self.watch = ServerWatch(loop, address, recorder=recorder)
        self._idle: list[BackendConnection] = []
        self._all: set[BackendConnection] = set()

    def send_request(
        self,
        request: BackendRequest,
        receiver: BackendReceiver,
    ) -> BackendConnection:
        """Send a request on an idle connection or a new one.

        Args:
            request: what to send.
            receiver: gets the response.

        Returns:
            The connection; closing it cancels the request.
        """
        connection = self._acquire(request)
        connection.send_request(request, receiver)
        return connection

    def release(self, connection: BackendConnection) -> None:
        """Keep an idle connection.

        Args:
            connection: of this pool.
        """
        self._idle.append(connection)

    def discard(self, connection: BackendConnection) -> None:
        """Forget a connection that is closed.

        Args:
            connection: of this pool.
        """
        self._all.discard(connection)
        if connection in self._idle:
            self._idle.remove(connection)

    def has_open_connection(self) -> bool:
        """Tell whether any connection is open at both ends.

        Returns:
            Whether the server runs: one that ends closes all of them.
        """
        return any(connection.is_established for connection in self._all)

    def close(self) -> None:
        """Close every connection."""
        for connection in tuple(self._all):
            connection.close()

    def _acquire(self, request: BackendRequest) -> BackendConnection:
        idle = self._acquire_idle(request)
        if idle is not None:
            return idle
        self.opened_count += 1
        connection = BackendConnection(self, self.address)
        self._all.add(connection)
        return connection

    def _acquire_idle(
        self, request: BackendRequest
    ) -> BackendConnection | None:
        now = read_clock()
        self._close_expired(now)
        while self._idle:
            latest = self._idle[-1]
            if not request.idempotent and now - latest.used_at > FRESH_SECONDS:
                return None
            self._idle.pop()
            if latest.is_quiet:
                return latest
            # Failure: a server's close has come and is not handled yet, and
            # a request that goes out behind it is lost: nobody can say
            # whether it was read. Such a connection is not used again.
            latest.close()
        return None

    def _close_expired(self, now: float) -> None:
        expired = [each for each in self._idle if each.idle_until <= now]
        for connection in expired:
            connection.close()
