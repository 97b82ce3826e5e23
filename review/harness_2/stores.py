"""Stand-in of the platform's store: reads and watches over HTTP."""

from __future__ import annotations

import json
import threading
import time
from base64 import b64encode
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from typing import Any, Final
from urllib.parse import parse_qs, urlsplit

STATUS_OK: Final = 200
STATUS_BUSY: Final = 503
STATUS_UNKNOWN: Final = 404
STATUS_GONE: Final = 410
HISTORY_S: Final = 20.0
MILLISECONDS: Final = 1000


class Store:
    """Holds items with one revision counter; answers are linearizable.

    Attributes:
        is_down: whether every call gets 503.

    It drops changes after ``HISTORY_S``; a watch from before gets 410.
    """

    def __init__(self, host: str) -> None:
        """Listen on a free port.

        Args:
            host: loopback address.
        """
        self.is_down = False
        self._changes: list[dict[str, Any]] = []
        self._written_at: list[float] = []
        self._changed = threading.Condition()
        self._server = _Server((host, 0), _Connection)
        self._server.store = self
        threading.Thread(target=self._server.serve_forever, daemon=True).start()

    @property
    def address(self) -> str:
        """Address on which the store listens, as ``host:port``."""
        host, port = self._server.server_address[:2]
        return f'{host!s}:{port}'

    def write(self, key: str, entry: Any) -> None:
        """Write an item, or remove it if the value is None.

        Args:
            key: key of the item.
            entry: value of the item, encoded as JSON.
        """
        with self._changed:
            existing = self.list_items().get(key)
            revision = len(self._changes) + 1
            change: dict[str, Any] = {'key': key, 'revision': revision}
            if entry is None:
                change['tombstone'] = True
            else:
                change['created'] = (existing or change).get(
                    'created', revision
                )
                encoded = json.dumps(entry).encode()
                change['value'] = b64encode(encoded).decode()
                change['lease'] = 0
            self._changes.append(change)
            self._written_at.append(time.monotonic())
            self._changed.notify_all()

    def list_items(self) -> dict[str, dict[str, Any]]:
        """List the present items.

        Returns:
            The items by key.
        """
        present: dict[str, dict[str, Any]] = {}
        for change in self._changes:
            present[change['key']] = change
            if 'tombstone' in change:
                present.pop(change['key'])
        return present

    def answer(self, path: str) -> tuple[int, dict[str, Any]]:
        """Answer a call.

        Args:
            path: path and query.

        Returns:
            Status and body.
        """
        if self.is_down:
            return STATUS_BUSY, {}
        url = urlsplit(path)
        query = {name: found[0] for name, found in parse_qs(url.query).items()}
        prefix = query.get('prefix', '')
        if url.path == '/kv-range':
            return STATUS_OK, self._read_range(prefix)
        if url.path == '/kv-watch':
            after = int(query['after'])
            if self._is_dropped(after):
                return STATUS_GONE, {}
            return STATUS_OK, self._watch(prefix, query)
        return STATUS_UNKNOWN, {}

    def close(self) -> None:
        """Stop listening."""
        self._server.shutdown()
        self._server.server_close()

    def _read_range(self, prefix: str) -> dict[str, Any]:
        with self._changed:
            found = [
                each
                for key, each in sorted(self.list_items().items())
                if key.startswith(prefix)
            ]
            revision = len(self._changes)
        return {'items': found, 'hasMore': False, 'storeRevision': revision}

    def _is_dropped(self, after: int) -> bool:
        if after >= len(self._changes):
            return False
        return time.monotonic() - self._written_at[after] > HISTORY_S

    def _watch(self, prefix: str, query: dict[str, str]) -> dict[str, Any]:
        after = int(query['after'])
        end = time.monotonic() + int(query['waitMs']) / MILLISECONDS
        with self._changed:
            while True:
                events = [
                    each
                    for each in self._changes[after:]
                    if each['key'].startswith(prefix)
                ]
                left = end - time.monotonic()
                if events or left <= 0:
                    return {
                        'events': events,
                        'storeRevision': len(self._changes),
                    }
                self._changed.wait(left)


class _Server(ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 128
    store: Store

    def handle_error(self, request: Any, client_address: Any) -> None:
        """Write nothing: a node may close a connection at any time."""


class _Connection(BaseHTTPRequestHandler):
    protocol_version = 'HTTP/1.1'
    server: _Server

    def do_GET(self) -> None:
        status, answer = self.server.store.answer(self.path)
        body = json.dumps(answer).encode()
        self.send_response(status)
        self.send_header('Content-Type', 'application/json')
        self.send_header('Content-Length', str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    def log_message(self, format: str, *args: Any) -> None:
        """Write nothing."""
