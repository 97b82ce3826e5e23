"""Stand-in of an upstream, and what it has run."""

from __future__ import annotations

import socket
import threading
import time
from collections.abc import Callable
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from typing import Any, Final, NamedTuple

STATUS_OK: Final = 200
STATUS_FOREIGN: Final = 421
READ_BYTES: Final = 65_536


class Run(NamedTuple):
    """One request that an upstream began to work on.

    Attributes:
        at: when it began, seconds since 1970.
        request_id: id of the request.
        method: HTTP method.
        path: path and query.
        caller_service: service that is named as the caller.
        instance: upstream that runs it.
        body: bytes of the body that came; more may follow.
    """

    at: float
    request_id: str
    method: str
    path: str
    caller_service: str
    instance: str
    body: bytearray

    def describe(self) -> str:
        """Describe the run for the record.

        Returns:
            One line.
        """
        return (
            f'upstream {self.instance} runs {self.request_id} {self.method}'
            f' {self.path} from {self.caller_service} at {self.at:.3f},'
            f' {len(self.body)} bytes of body'
        )


class Answer(NamedTuple):
    """What an upstream answers, and when.

    Attributes:
        body: the whole body.
        after_s: time that the work takes, seconds.
        is_lost: whether the connection ends in place of the answer.
    """

    body: bytes
    after_s: float = 0
    is_lost: bool = False


class Upstream:
    """Runs requests; ``make_answer`` decides what each gets.

    Attributes:
        instance: id of the present boot.
        runs: what it has run.
    """

    def __init__(
        self,
        host: str,
        port: int,
        *,
        instance: str,
        make_answer: Callable[[Run], Answer],
    ) -> None:
        """Listen.

        Args:
            host: loopback address.
            port: port.
            instance: id of the boot.
            make_answer: makes the answer to a request.
        """
        self.instance = instance
        self.runs: list[Run] = []
        self.make_answer = make_answer
        self._server = _Server((host, port), _Connection)
        self._server.upstream = self
        threading.Thread(target=self._server.serve_forever, daemon=True).start()

    def close(self) -> None:
        """Stop listening."""
        self._server.shutdown()
        self._server.server_close()


class _Server(ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 128
    upstream: Upstream

    def handle_error(self, request: Any, client_address: Any) -> None:
        """Write nothing: a node may close a connection at any time."""


class _Connection(BaseHTTPRequestHandler):
    protocol_version = 'HTTP/1.1'
    server: _Server

    def setup(self) -> None:
        super().setup()
        self.connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def do_GET(self) -> None:
        self._process()

    def do_POST(self) -> None:
        self._process()

    def log_message(self, format: str, *args: Any) -> None:
        """Write nothing."""

    def _process(self) -> None:
        upstream = self.server.upstream
        if self.path == '/health':
            self._answer(STATUS_OK, b'ok')
            return
        expected = self.headers.get('X-Expected-Instance')
        if expected not in {None, upstream.instance}:
            self._read_body(bytearray())
            self._answer(STATUS_FOREIGN, b'')
            return
        run = Run(
            at=time.time(),
            request_id=self.headers.get('X-Request-Id', ''),
            method=self.command,
            path=self.path,
            caller_service=self.headers.get('X-Caller-Service', ''),
            instance=upstream.instance,
            body=bytearray(),
        )
        upstream.runs.append(run)
        if not self._read_body(run.body):
            self.close_connection = True
            return
        answer = upstream.make_answer(run)
        time.sleep(answer.after_s)
        if answer.is_lost:
            self.close_connection = True
            return
        self._answer(STATUS_OK, answer.body)

    def _read_body(self, body: bytearray) -> bool:
        length = int(self.headers.get('Content-Length', 0))
        while len(body) < length:
            piece = self.rfile.read1(min(READ_BYTES, length - len(body)))
            if not piece:
                return False
            body += piece
        return True

    def _answer(self, status: int, body: bytes) -> None:
        upstream = self.server.upstream
        self.send_response(status)
        self.send_header('Content-Length', str(len(body)))
        self.send_header('X-Instance-Id', upstream.instance)
        self.send_header('X-Server-Load', '0,0,9')
        request_id = self.headers.get('X-Request-Id')
        if request_id:
            self.send_header('X-Request-Id', request_id)
            self.send_header('X-Response-Seal', f'seal-{request_id}')
        if status == STATUS_FOREIGN:
            self.send_header('X-Not-Executed', '1')
        self.end_headers()
        self.wfile.write(body)
