"""Stand-in of an application upstream, as PROTOCOL.md describes it.

The last part of a path is the time that the request's work takes, in
milliseconds.
"""

from __future__ import annotations

import threading
from hashlib import blake2b
from http.server import BaseHTTPRequestHandler
from typing import Any, Final

from harness.record import Record, read_clock
from harness.servers import StandInServer

MILLISECONDS: Final = 1000
QUEUE_LENGTH: Final = 48
IDLE_SECONDS: Final = 10
STATUS_OK: Final = 200
STATUS_INVALID: Final = 400
STATUS_MISDIRECTED: Final = 421
STATUS_FULL: Final = 503
STATUS_LATE: Final = 504
HEALTH_PATH: Final = '/health'
NOT_EXECUTED: Final = ('X-Not-Executed', '1')


class Run:
    """One run of a request."""

    def __init__(self, request_id: str, work_seconds: float) -> None:
        self.request_id = request_id
        self.work_seconds = work_seconds
        self.begun_at = read_clock()
        self.is_answered = False


class Upstream:
    """One upstream with a number of slots."""

    def __init__(
        self, instance: str, host: str, *, port: int, slots: int, record: Record
    ) -> None:
        self.instance = instance
        self.slots = slots
        self.runs: list[Run] = []
        self.waiting = 0
        self.running = 0
        self.changed = threading.Condition()
        self.has_ended = threading.Event()
        self._record = record
        self._server = _Server((host, port), _RequestHandler)
        self._server.upstream = self
        threading.Thread(target=self._server.serve_forever, daemon=True).start()

    @property
    def load(self) -> str:
        """Value of the header that tells the load."""
        return f'{self.running},{self.waiting},{self.slots}'

    def take_slot(self, seconds: float) -> bool:
        """Wait for a slot; tell whether there was one in time."""
        with self.changed:
            if self.waiting >= QUEUE_LENGTH:
                return False
            self.waiting += 1
            has_slot = self.changed.wait_for(self._has_slot, timeout=seconds)
            self.waiting -= 1
            self.running += int(has_slot)
        return has_slot

    def return_slot(self) -> None:
        """Return a slot."""
        with self.changed:
            self.running -= 1
            self.changed.notify_all()

    def begin(self, request_id: str, work_seconds: float) -> Run:
        """Note that the work on a request begins."""
        run = Run(request_id, work_seconds)
        self.runs.append(run)
        self._record.note(f'{self.instance} runs {request_id}')
        return run

    def end(self, run: Run, *, is_answered: bool) -> None:
        """Note that a run has ended."""
        run.is_answered = is_answered
        how = 'answered' if is_answered else 'broke off or could not answer'
        self._record.note(f'{self.instance} {how} {run.request_id}')

    def close(self) -> None:
        """End: stop listening, and break off what is running."""
        self.has_ended.set()
        self._server.shutdown()
        self._server.server_close()

    def _has_slot(self) -> bool:
        return self.running < self.slots


class _Server(StandInServer):
    upstream: Upstream


class _RequestHandler(BaseHTTPRequestHandler):
    protocol_version = 'HTTP/1.1'
    timeout = IDLE_SECONDS
    disable_nagle_algorithm = True
    server: _Server

    def do_GET(self) -> None:
        self._answer()

    def do_POST(self) -> None:
        self._answer()

    def log_message(self, format: str, *args: Any) -> None:
        """Write nothing."""

    def _answer(self) -> None:
        length = int(self.headers.get('Content-Length', 0))
        self.rfile.read(length)
        upstream = self.server.upstream
        request_id = self.headers.get('X-Request-Id')
        named = self.headers.get('X-Expected-Instance', upstream.instance)
        try:
            if self.path == HEALTH_PATH:
                self._respond(STATUS_OK, ())
            elif request_id is None:
                self._respond(STATUS_INVALID, (NOT_EXECUTED,))
            elif named == upstream.instance:
                self._run(upstream, request_id)
            else:
                self._respond(STATUS_MISDIRECTED, (NOT_EXECUTED,))
        except OSError:
            self.close_connection = True

    def _run(self, upstream: Upstream, request_id: str) -> None:
        seconds = int(self.headers['X-Deadline-Ms']) / MILLISECONDS
        deadline = read_clock() + seconds
        if upstream.take_slot(seconds):
            self._work(upstream, request_id, deadline)
        else:
            self._respond(STATUS_FULL, (NOT_EXECUTED,))

    def _work(
        self, upstream: Upstream, request_id: str, deadline: float
    ) -> None:
        work = int(self.path.rpartition('/')[2]) / MILLISECONDS
        run = upstream.begin(request_id, work)
        left = deadline - read_clock()
        has_ended = upstream.has_ended.wait(min(work, left))
        upstream.return_slot()
        try:
            self._finish(work <= left, has_ended=has_ended)
        except OSError:
            upstream.end(run, is_answered=False)
            raise
        upstream.end(run, is_answered=True)

    def _finish(self, is_in_time: bool, *, has_ended: bool) -> None:
        if has_ended:
            raise ConnectionAbortedError
        self._respond(STATUS_OK if is_in_time else STATUS_LATE, ())

    def _respond(
        self, status: int, headers: tuple[tuple[str, str], ...]
    ) -> None:
        upstream = self.server.upstream
        request_id = self.headers.get('X-Request-Id', '')
        body = f'{upstream.instance} {request_id}'.encode()
        own = (
            ('X-Request-Id', request_id),
            ('X-Response-Seal', blake2b(body, digest_size=8).hexdigest()),
            ('X-Instance-Id', upstream.instance),
            ('X-Server-Load', upstream.load),
            ('Keep-Alive', f'timeout={IDLE_SECONDS}'),
            ('Content-Length', str(len(body))),
        )
        self.send_response(status)
        for name, text in (*own, *headers):
            self.send_header(name, text)
        self.end_headers()
        self.wfile.write(body)
