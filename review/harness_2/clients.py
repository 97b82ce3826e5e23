"""A client that may send requests before the first is answered."""

from __future__ import annotations

import socket
import time
from typing import Final, NamedTuple

from review.harness_2.deployments import HOST, OUTBOUND_PORT

READ_BYTES: Final = 65_536
MILLISECONDS: Final = 1000
CONNECT_S: Final = 1.0
SHORTEST_S: Final = 0.001
PAUSE_AFTER_BYTES: Final = 100_000
HEAD_END: Final = b'\r\n\r\n'


class ClientAnswer(NamedTuple):
    """What a client received for one request.

    Attributes:
        status: status; 0 if no head came.
        headers: headers by name in lower case.
        body: bytes of the body that came.
        is_complete: whether all of it came.
        is_closed: whether the node closed the connection instead.
    """

    status: int
    headers: dict[str, str]
    body: bytes
    is_complete: bool
    is_closed: bool


class Client:
    """One connection to the outbound address of a machine."""

    def __init__(
        self, host: str, *, limit_s: float, authority: str = HOST
    ) -> None:
        """Connect.

        Args:
            host: address of the machine.
            limit_s: the client's time limit for each request.
            authority: what it sends as ``Host``.
        """
        self._sock = socket.create_connection((host, OUTBOUND_PORT), CONNECT_S)
        self._limit_s = limit_s
        self._authority = authority
        self._buffer = b''
        self._is_closed = False
        self._has_failed = False
        self._pause_s = float(0)
        self._ends_at = time.monotonic() + limit_s

    def send(
        self, method: str, path: str, *, request_id: str, body: bytes = b''
    ) -> None:
        """Send a request.

        Args:
            method: HTTP method.
            path: path.
            request_id: id of the request.
            body: body of the request.
        """
        self.send_head(method, path, request_id=request_id, length=len(body))
        self.send_bytes(body)

    def send_head(
        self, method: str, path: str, *, request_id: str, length: int
    ) -> None:
        """Send the head of a request.

        Args:
            method: HTTP method.
            path: path.
            request_id: id of the request.
            length: length of its body.
        """
        lines = [
            f'{method} {path} HTTP/1.1',
            f'Host: {self._authority}',
            f'X-Request-Id: {request_id}',
            'X-Deadline-Ms: {0}'.format(round(self._limit_s * MILLISECONDS)),
        ]
        if length:
            lines.append(f'Content-Length: {length}')
        self._ends_at = time.monotonic() + self._limit_s
        self.send_bytes('\r\n'.join((*lines, '', '')).encode())

    def send_bytes(self, piece: bytes) -> None:
        """Send bytes, until the time limit or until the node closes.

        Args:
            piece: the bytes.
        """
        self._sock.settimeout(max(SHORTEST_S, self._ends_at - time.monotonic()))
        try:
            self._sock.sendall(piece)
        except OSError:
            # What the node answered is read next.
            self._has_failed = True

    def receive(self, *, pause_s: float = 0) -> ClientAnswer:
        """Receive the next answer, until the time limit.

        Args:
            pause_s: time for which nothing is read in the middle of the body,
                seconds.

        Returns:
            What came.
        """
        self._pause_s = pause_s
        while HEAD_END not in self._buffer:
            if not self._read():
                return ClientAnswer(
                    status=0,
                    headers={},
                    body=b'',
                    is_complete=False,
                    is_closed=self._is_closed,
                )
        head, _end, rest = self._buffer.partition(HEAD_END)
        self._buffer = rest
        return self._receive_rest(head.decode('latin-1').split('\r\n'))

    def close(self) -> None:
        """Close the connection."""
        self._sock.close()

    def _receive_rest(self, lines: list[str]) -> ClientAnswer:
        headers = dict(map(_split_header, lines[1:]))
        length = int(headers.get('content-length', '0'))
        body = self._receive_body(length)
        return ClientAnswer(
            status=int(lines[0].split(' ')[1]),
            headers=headers,
            body=body,
            is_complete=len(body) == length,
            is_closed=self._is_closed,
        )

    def _receive_body(self, length: int) -> bytes:
        may_come = True
        while may_come and len(self._buffer) < length:
            if self._pause_s and len(self._buffer) > PAUSE_AFTER_BYTES:
                time.sleep(self._pause_s)
                self._pause_s = 0
            may_come = self._read()
        body = self._buffer[:length]
        self._buffer = self._buffer[length:]
        return body

    def _read(self) -> bool:
        left_s = self._ends_at - time.monotonic()
        if left_s <= 0 or self._is_closed:
            return False
        self._sock.settimeout(left_s)
        try:
            chunk = self._sock.recv(READ_BYTES)
        except TimeoutError:
            return False
        except OSError:
            chunk = b''
        self._is_closed = not chunk
        self._buffer += chunk
        return bool(chunk)


def _split_header(line: str) -> tuple[str, str]:
    name, _colon, text = line.partition(':')
    return name.lower(), text.strip()
