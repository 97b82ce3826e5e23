"""Clients of a node, as PROTOCOL.md describes them."""

from __future__ import annotations

import itertools
from http.client import HTTPConnection, HTTPException, RemoteDisconnected
from typing import Final

from harness.record import Record, read_clock

MILLISECONDS: Final = 1000
CONNECT_SECONDS: Final = 1
STATUS_OK: Final = 200
# Result of a request whose connection ended before its answer.
CUT: Final = 'connection closed without an answer'
NO_CONNECTION: Final = 'no connection'
LATE: Final = 'time limit reached'
HOST: Final = 'ficu95.example'

_numbers = itertools.count(1)


class Request:
    """A request with its result."""

    def __init__(self, path: str, *, limit_ms: int, method: str) -> None:
        self.request_id = f'r{next(_numbers):05d}'
        self.path = path
        self.limit_ms = limit_ms
        self.method = method
        self.sent_at = float(0)
        self.ended_at = float(0)
        self.status = 0
        self.retry_after_seconds = float(0)
        self.ending = ''

    @property
    def is_served(self) -> bool:
        """Whether the request was answered with success."""
        return self.status == STATUS_OK


class Client:
    """Sends requests to one node, on a connection that is kept."""

    def __init__(self, address: tuple[str, int], *, record: Record) -> None:
        self._address = address
        self._record = record
        self._connection: HTTPConnection | None = None

    def send(self, path: str, *, limit_ms: int, method: str = 'GET') -> Request:
        """Send a request and wait for its answer."""
        request = Request(path, limit_ms=limit_ms, method=method)
        try:
            request.ending = self._exchange(request)
        except TimeoutError:
            request.ending = LATE
        except (RemoteDisconnected, ConnectionError, HTTPException):
            request.ending = CUT if request.sent_at else NO_CONNECTION
        request.ended_at = read_clock()
        if not request.status:
            self.close()
        self._record.note(
            f'client of {self._address[0]}: {request.request_id} '
            f'{request.path}: {request.ending}'
        )
        return request

    def close(self) -> None:
        """Close the connection."""
        if self._connection is not None:
            self._connection.close()
        self._connection = None

    def _exchange(self, request: Request) -> str:
        connection = self._connect()
        assert connection.sock is not None
        connection.sock.settimeout(request.limit_ms / MILLISECONDS)
        self._record.note(
            f'client of {self._address[0]}: {request.request_id} '
            f'{request.path} is sent'
        )
        headers = {
            'Host': HOST,
            'X-Request-Id': request.request_id,
            'X-Deadline-Ms': str(request.limit_ms),
        }
        connection.request(request.method, request.path, headers=headers)
        request.sent_at = read_clock()
        response = connection.getresponse()
        response.read()
        request.status = response.status
        retry_after = response.getheader('Retry-After', '0')
        request.retry_after_seconds = float(retry_after)
        if response.will_close:
            self.close()
        return f'status {response.status}'

    def _connect(self) -> HTTPConnection:
        if self._connection is None:
            connection = HTTPConnection(*self._address, timeout=CONNECT_SECONDS)
            connection.connect()
            self._connection = connection
        return self._connection
