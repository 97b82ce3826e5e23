"""HTTP server of the administration API, with few connections at once."""

from __future__ import annotations

import threading
from contextlib import ExitStack
from http.client import LineTooLong
from typing import Any, Final

from werkzeug.serving import ThreadedWSGIServer, WSGIRequestHandler

# Tools ask one request after the other; each connection has a thread.
MAX_CONNECTIONS: Final = 16
# Longest time for a client to send anything.
IDLE_SECONDS: Final = 2.0
# Largest head of a request; the library takes 100 lines of 64 KB.
MAX_HEAD_BYTES: Final = 65_536


class HeadLimiter:
    """Reads a connection, and rejects a head that is too large."""

    def __init__(self, source: Any) -> None:
        """Begin with the first head.

        Args:
            source: file of the connection.
        """
        self._source = source
        self._head_bytes = 0

    def __getattr__(self, name: str) -> Any:
        """Find what else the file can do.

        Args:
            name: name of an attribute.

        Returns:
            The attribute of the file.
        """
        return getattr(self._source, name)

    def begin_head(self) -> None:
        """Count from the beginning: another request follows."""
        self._head_bytes = 0

    def readline(self, limit: int = -1) -> bytes:
        """Read a line of a head.

        Args:
            limit: most bytes; negative for any number.

        Returns:
            The line, or the beginning of a longer one.

        Raises:
            LineTooLong: if the head exceeds ``MAX_HEAD_BYTES``.
        """
        line: bytes = self._source.readline(limit)
        self._head_bytes += len(line)
        if self._head_bytes > MAX_HEAD_BYTES:
            raise LineTooLong('head')
        return line


class AdminRequestHandler(WSGIRequestHandler):
    """Closes connections on which nothing arrives, and limits heads."""

    timeout = IDLE_SECONDS

    def setup(self) -> None:
        """Prepare to read a connection."""
        super().setup()
        self._limiter = HeadLimiter(self.rfile)
        self.rfile = self._limiter  # type: ignore[assignment]

    def handle_one_request(self) -> None:
        """Read and answer a request."""
        self._limiter.begin_head()
        try:
            super().handle_one_request()
        except LineTooLong:
            self.close_connection = True


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
