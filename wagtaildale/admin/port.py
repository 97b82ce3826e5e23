"""The port of the administration API, open before anybody answers on it."""

from __future__ import annotations

import select
import socket
from typing import TYPE_CHECKING, Final

from result import Err, Ok, Result

from wagtaildale.admin.scopes import TokenAuthenticator, make_authenticator
from wagtaildale.errors.codes import Code
from wagtaildale.errors.faults import Fault

if TYPE_CHECKING:
    from wagtaildale.admin.server import AdminServer
    from wagtaildale.node import Node

BACKLOG: Final = 128


class AdminPort:
    """Holds the port; what answers on it is loaded with the first request.

    The HTTP server and the metrics took a third of the time that a node's
    imports take (0.74 s with them and 0.50 s without, on a busy machine), and
    a fifth of the memory that it starts with (43.7 and 34.8 MB resident).
    Most nodes are never asked, and none is while callers wait for its start.
    """

    def __init__(self, node: Node) -> None:
        """Prepare; ``bind`` opens the port.

        Args:
            node: that is administered.
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
            Nothing, or the fault.
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
        """Wait for the first request, then serve until stopped."""
        listener = self._listener
        if listener is None:
            return
        ready = select.select([listener, self._stop_receiver], [], [])[0]
        if self._stop_receiver in ready:
            return
        self._server = self._load_server(listener)
        self._server.run()

    def stop(self) -> None:
        """End ``run``; waits for nobody."""
        self._stop_sender.send(b'\0')
        if self._server is not None:
            self._server.stop()

    def _load_server(self, listener: socket.socket) -> AdminServer:
        # Imported late: see the class.
        from wagtaildale.admin.server import AdminServer

        return AdminServer(
            self._node,
            authenticator=self._authenticator,
            listener=listener,
        )
