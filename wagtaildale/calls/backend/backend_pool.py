"""Pool of connections to one backend server."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from wagtaildale.calls.backend.backend_connection import BackendConnection
from wagtaildale.calls.backend.server_watch import ServerWatch
from wagtaildale.timers.service import read_clock

if TYPE_CHECKING:
    from collections.abc import Callable

    from wagtaildale.calls.addresses import Address
    from wagtaildale.calls.backend.backend_connection import (
        BackendReceiver,
        BackendRequest,
    )
    from wagtaildale.reactor.loop import Loop
    from wagtaildale.telemetry.events import EventRecorder

# A non-idempotent request reuses a connection only if its last use is this
# recent. Servers drop idle connections, and after a reset it is unknown
# whether the request was read.
SAFE_REUSE_SECONDS: Final = 0.5


class BackendPool:
    """Connections to one backend server, reused most recent first.

    Attributes:
        loop: event loop of the connections.
        request_id_field: header field in which responses echo their request.
        on_stray_response: called for each response to another request.
        opened_count: number of connections opened so far.
        address: address of the backend server.
        watch: monitor of whether the server accepts connections.
    """

    def __init__(
        self,
        loop: Loop,
        *,
        address: Address,
        request_id_field: bytes,
        on_stray_response: Callable[[], None],
        recorder: EventRecorder,
    ) -> None:
        """Create a pool without connections.

        Args:
            loop: event loop of the connections.
            address: address of the backend server.
            request_id_field: header field in which responses echo their
                request.
            on_stray_response: called for each response to another request.
            recorder: recorder of events when the server goes down or is up
                again.
        """
        self.loop = loop
        self.request_id_field = request_id_field
        self.on_stray_response = on_stray_response
        self.opened_count = 0
        self.address = address
        self.watch = ServerWatch(loop, address, recorder=recorder)
        self._contact_at = float(0)
        self._idle: list[BackendConnection] = []
        self._all: set[BackendConnection] = set()

    def send_request(
        self,
        request: BackendRequest,
        receiver: BackendReceiver,
    ) -> BackendConnection:
        """Send a request on an idle connection or a new one.

        Args:
            request: request to send.
            receiver: receiver of the response.

        Returns:
            The connection; closing it cancels the request.
        """
        connection = self._acquire(request)
        connection.send_request(request, receiver)
        return connection

    def release(self, connection: BackendConnection) -> None:
        """Return an idle connection to the pool.

        Args:
            connection: connection of this pool.
        """
        self._idle.append(connection)

    def discard(self, connection: BackendConnection) -> None:
        """Remove a closed connection from the pool.

        Args:
            connection: connection of this pool.
        """
        self._all.discard(connection)
        if connection in self._idle:
            self._idle.remove(connection)

    def has_open_connection(self) -> bool:
        """Tell whether any connection is open at both ends.

        Returns:
            Whether a connection is open, which proves that the server runs: a
            process that ends closes all of its connections. False proves
            nothing.
        """
        return any(connection.is_established for connection in self._all)

    def note_contact(self) -> None:
        """Record that the server has accepted a connection or answered."""
        self._contact_at = read_clock()

    def find_contact(self) -> float:
        """Find until when the server process is known to have run.

        Returns:
            Seconds on the clock; the current time if a connection is open,
            since a process that ends closes all of its connections.
        """
        if any(connection.is_alive for connection in self._all):
            self.note_contact()
        return self._contact_at

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
        self,
        request: BackendRequest,
    ) -> BackendConnection | None:
        now = read_clock()
        self._close_expired(now)
        while self._idle:
            latest = self._idle[-1]
            if (
                not request.idempotent
                and now - latest.used_at > SAFE_REUSE_SECONDS
            ):
                return None
            self._idle.pop()
            if latest.has_no_input:
                return latest
            # The server's close has arrived, but the loop has not handled it
            # yet. A request sent now would be lost, and whether it was read
            # would be unknown, so the connection is not reused.
            latest.close()
        return None

    def _close_expired(self, now: float) -> None:
        expired = [each for each in self._idle if each.idle_until <= now]
        for connection in expired:
            connection.close()
