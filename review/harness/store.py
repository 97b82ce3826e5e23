"""Stand-in of the platform's metadata store, as PROTOCOL.md describes it."""

from __future__ import annotations

import json
import threading
from base64 import b64encode
from http.server import BaseHTTPRequestHandler
from typing import Any, Final
from urllib.parse import parse_qs, urlsplit

from harness.history import History
from harness.servers import StandInServer

MILLISECONDS: Final = 1000
STATUS_OK: Final = 200
STATUS_MISSING: Final = 404
STATUS_GONE: Final = 410


class Store:
    """Items with one revision counter, and a history of some seconds."""

    def __init__(self) -> None:
        self._changed = threading.Condition()
        self._history = History()
        self._present: dict[str, dict[str, Any]] = {}
        self._server = StandInServer(('127.0.0.1', 0), _RequestHandler)
        self._server.store = self  # type: ignore[attr-defined]
        threading.Thread(target=self._server.serve_forever, daemon=True).start()

    @property
    def address(self) -> str:
        """Address of the store, as host and port."""
        host, port = self._server.server_address[:2]
        return f'{host!s}:{port}'

    def write(self, key: str, payload: bytes) -> None:
        """Write an item."""
        with self._changed:
            revision = self._history.next_revision
            known = self._present.get(key, {'created': revision})
            written = {
                'key': key,
                'value': b64encode(payload).decode(),
                'revision': revision,
                'created': known['created'],
                'lease': 0,
            }
            self._present[key] = written
            self._history.append(written)
            self._changed.notify_all()

    def write_json(self, key: str, entry: Any) -> None:
        """Write an item whose value is JSON."""
        self.write(key, json.dumps(entry).encode())

    def remove(self, key: str) -> None:
        """Remove an item."""
        with self._changed:
            revision = self._history.next_revision
            self._present.pop(key)
            self._history.append(
                {'key': key, 'revision': revision, 'tombstone': True}
            )
            self._changed.notify_all()

    def answer(self, path: str) -> tuple[int, Any]:
        """Answer a call."""
        url = urlsplit(path)
        query = {name: each[0] for name, each in parse_qs(url.query).items()}
        if url.path == '/kv-range':
            return self._read_range(query)
        if url.path == '/kv-watch':
            return self._watch(query)
        return self._read_key(query)

    def close(self) -> None:
        """Stop answering."""
        self._server.shutdown()
        self._server.server_close()

    def _read_key(self, query: dict[str, str]) -> tuple[int, Any]:
        with self._changed:
            found = self._present.get(query['key'])
        return (STATUS_MISSING, {}) if found is None else (STATUS_OK, found)

    def _read_range(self, query: dict[str, str]) -> tuple[int, Any]:
        prefix = query.get('prefix', '')
        after = query.get('after', '')
        with self._changed:
            found = [
                self._present[key]
                for key in sorted(self._present)
                if key.startswith(prefix) and key > after
            ]
            revision = self._history.revision
        answer = {'items': found, 'hasMore': False, 'storeRevision': revision}
        return STATUS_OK, answer

    def _watch(self, query: dict[str, str]) -> tuple[int, Any]:
        after = int(query['after'])
        prefix = query.get('prefix', '')
        with self._changed:
            if self._history.is_dropped(after):
                return STATUS_GONE, {}
            self._changed.wait_for(
                lambda: self._history.find(prefix, after),
                timeout=int(query['waitMs']) / MILLISECONDS,
            )
            answer = {
                'events': self._history.find(prefix, after),
                'storeRevision': self._history.revision,
            }
        return STATUS_OK, answer


class _RequestHandler(BaseHTTPRequestHandler):
    protocol_version = 'HTTP/1.1'

    def do_GET(self) -> None:
        status, answer = self.server.store.answer(  # type: ignore[attr-defined]
            self.path
        )
        body = json.dumps(answer).encode()
        try:
            self._respond(status, body)
        except OSError:
            self.close_connection = True

    def log_message(self, format: str, *args: Any) -> None:
        """Write nothing."""

    def _respond(self, status: int, body: bytes) -> None:
        self.send_response(status)
        self.send_header('Content-Type', 'application/json')
        self.send_header('Content-Length', str(len(body)))
        self.end_headers()
        self.wfile.write(body)
