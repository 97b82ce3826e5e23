"""Port of the administration API, open before the HTTP server is loaded."""

from __future__ import annotations

import select
import socket
import time
from typing import TYPE_CHECKING, Final

from result import Err, Ok, Result

from wagtaildale.admin.scopes import TokenAuthenticator, make_authenticator
from wagtaildale.errors.codes import Code
from wagtaildale.errors.faults import Fault
from wagtaildale.telemetry.events import EventKind

if TYPE_CHECKING:
    from wagtaildale.admin.server import AdminServer
    from wagtaildale.node import Node

BACKLOG: Final = 128
RETRY_SECONDS: Final = 1.0


class AdminPort:
    """Owns the port and loads the HTTP server with the first request.

    Importing the HTTP server and the metrics takes a third of the import time
    of a node (0.74 s with them and 0.50 s without, on a busy machine) and a
    fifth of its memory at start (43.7 MB and 34.8 MB resident). Most nodes
    never get a request here, and none gets one while callers wait for the
    node to start.
    """

    def __init__(self, node: Node) -> None:
        """Create a closed port; ``bind`` opens it.

        Args:
            node: node that is administered.
        """
        self._node = node
        self._authenticator = TokenAuthenticator({})
        self._listener: socket.socket | None = None
        self._server: AdminServer | None = None
        sender, receiver = socket.socketpair()
        self._stop_sender = sender
        self._stop_receiver = receiver

    def bind(self) -> Result[None, Fault]:
        """Read the tokens and open the port.

        Returns:
            Nothing, or the fault of a token or the address.
        """
        settings = self._node.parts.settings
        authenticator = make_authenticator(settings.admin)
        if isinstance(authenticator, Err):
            return authenticator
        self._authenticator = authenticator.ok_value
        address = (settings.host, settings.admin_port)
        try:
            self._listener = socket.create_server(address, backlog=BACKLOG)
        except OSError as error:
            fault = Fault(
                code=Code.address_in_use,
                where=f'{settings.host}:{settings.admin_port}',
                got=str(error),
                expected='an address that is free',
            )
            return Err(fault)
        return Ok(None)

    def run(self) -> None:
        """Wait for the first request, then serve until ``stop`` is called."""
        listener = self._listener
        if listener is None:
            return
        while self._server is None:
            ready = select.select([listener, self._stop_receiver], [], [])[0]
            if self._stop_receiver in ready:
                return
            self._server = self._try_to_load(listener)
        self._server.run()

    def stop(self) -> None:
        """Make ``run`` return, without waiting for it."""
        self._stop_sender.send(b'\0')
        if self._server is not None:
            self._server.stop()

    def _try_to_load(self, listener: socket.socket) -> AdminServer | None:
        try:
            return self._load_server(listener)
        except OSError as error:
            # A node without descriptors to spare still carries calls.
            self._node.parts.recorder.record(
                EventKind.admin_failed,
                code=Code.admin_unreachable,
                detail=str(error),
            )
            time.sleep(RETRY_SECONDS)
            return None

    def _load_server(self, listener: socket.socket) -> AdminServer:
        # Imported with the first request, see the doc text of the class.
        from wagtaildale.admin.server import AdminServer

        return AdminServer(
            self._node,
            authenticator=self._authenticator,
            listener=listener,
        )
