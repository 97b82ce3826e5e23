"""HTTP server of the stand-ins, with one thread for each connection."""

from __future__ import annotations

from http.server import ThreadingHTTPServer
from typing import Any


class StandInServer(ThreadingHTTPServer):
    """Serves until the case ends; clients may reset their connections."""

    daemon_threads = True
    request_queue_size = 128

    def handle_error(self, request: Any, client_address: Any) -> None:
        """Write nothing: a reset by a client is no fault of the stand-in."""
