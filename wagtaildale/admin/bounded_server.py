"""HTTP server of the administration API, with few connections at once."""

from __future__ import annotations

import threading
from contextlib import ExitStack
from typing import Any, Final

from werkzeug.serving import ThreadedWSGIServer, WSGIRequestHandler

# Tools ask one request after the other; each connection has a thread.
MAX_CONNECTIONS: Final = 16
# Longest time for a client to send anything.
IDLE_SECONDS: Final = 2.0


class AdminRequestHandler(WSGIRequestHandler):
    """Closes connections on which nothing arrives."""

    timeout = IDLE_SECONDS


class BoundedServer(ThreadedWSGIServer):
    """Closes the connections beyond ``MAX_CONNECTIONS`` unread."""

    def __init__(self, *arguments: Any, **options: Any) -> None:
        """Create the server; see werkzeug's ``ThreadedWSGIServer``.

        Args:
            arguments: host, port, application and request handler.
            options: further options.
        """
        self._free_places = threading.BoundedSemaphore(MAX_CONNECTIONS)
        super().__init__(*arguments, **options)

    def process_request(self, request: Any, client_address: Any) -> None:
        """Serve a connection in a thread, or close it.

        Args:
            request: socket of the connection.
            client_address: address of the client.
        """
        if self._free_places.acquire(blocking=False):
            super().process_request(request, client_address)
        else:
            self.shutdown_request(request)

    def process_request_thread(self, request: Any, client_address: Any) -> None:
        """Serve a connection, then free its place.

        Args:
            request: socket of the connection.
            client_address: address of the client.
        """
        with ExitStack() as stack:
            stack.callback(self._free_places.release)
            super().process_request_thread(request, client_address)
