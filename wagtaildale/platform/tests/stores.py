"""Stand-in for the platform's store that can be restored from a copy."""

from __future__ import annotations

import threading
import time
from base64 import b64encode
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from typing import Any, Final
from urllib.parse import parse_qs, urlsplit

from msgspec import Struct, json

from wagtaildale.testing.closing import Closing

STATUS_OK: Final = 200
STATUS_GONE: Final = 410
POLL_SECONDS: Final = 0.01
PIECE_SECONDS: Final = 0.02
MILLISECONDS: Final = 1000


class Change(Struct, frozen=True, kw_only=True):
    """A write of an item, or its removal."""

    key: str
    revision: int
    created: int
    payload: bytes | None


class StoreCopy(Struct, frozen=True, kw_only=True):
    """Contents of the store at one moment."""

    changes: tuple[Change, ...]


class StandInStore(Closing):
    """Store over HTTP; a test writes items and restores older copies.

    Attributes:
        era: era of the store; rises with each restore.
        pieces: number of pieces in which a body is sent, with a pause after
            each.
        stops_after: number of pieces after which a body stops half way; None
            to send all.
        paths: paths of the received requests, the latest last.
    """

    def __init__(self) -> None:
        self.era = 1
        self.pieces = 1
        self.stops_after: int | None = None
        self.paths: list[str] = []
        self._changes: tuple[Change, ...] = ()
        self._server = ThreadingHTTPServer(('127.0.0.1', 0), _RequestHandler)
        self._server.daemon_threads = True
        self._server.store = self  # type: ignore[attr-defined]
        self._thread = threading.Thread(
            target=self._server.serve_forever,
            args=(POLL_SECONDS,),
            daemon=True,
        )
        self._thread.start()

    @property
    def address(self) -> str:
        """Address on which the store listens, as ``host:port``."""
        host, port = self._server.server_address[:2]
        return f'{host!s}:{port}'

    @property
    def revision(self) -> int:
        """Revision of the last change; 0 if there is none."""
        return self._changes[-1].revision if self._changes else 0

    def write(self, key: str, entry: Any) -> None:
        """Write an item, or remove it if its value is None."""
        revision = self.revision + 1
        existing = self.list_items().get(key)
        change = Change(
            key=key,
            revision=revision,
            created=existing.created if existing else revision,
            payload=None if entry is None else json.encode(entry),
        )
        self._changes = (*self._changes, change)

    def make_copy(self) -> StoreCopy:
        """Copy the contents of the store."""
        return StoreCopy(changes=self._changes)

    def restore(self, copy: StoreCopy, *writes: tuple[str, Any]) -> None:
        """Restore a copy and write items in the same step."""
        previous = self._changes
        self._changes = copy.changes
        for key, entry in writes:
            self.write(key, entry)
        assert self._changes != previous
        self.era += 1

    def list_items(self) -> dict[str, Change]:
        """List the present items by key."""
        present: dict[str, Change] = {}
        for change in self._changes:
            present[change.key] = change
            if change.payload is None:
                present.pop(change.key)
        return present

    def answer_range(self, query: dict[str, list[str]]) -> tuple[int, Any]:
        answer = {
            'items': list(map(_encode_change, self.list_items().values())),
            'hasMore': False,
            'storeRevision': self.revision,
        }
        return STATUS_OK, answer

    def answer_watch(self, query: dict[str, list[str]]) -> tuple[int, Any]:
        after = int(query['after'][0])
        deadline = time.monotonic() + int(query['waitMs'][0]) / MILLISECONDS
        while self.revision <= after and time.monotonic() < deadline:
            if self.revision < after:
                return STATUS_GONE, {}
            time.sleep(POLL_SECONDS)
        events = [
            _encode_change(change)
            for change in self._changes
            if change.revision > after
        ]
        return STATUS_OK, {'events': events, 'storeRevision': self.revision}

    def close(self) -> None:
        self.stops_after = None
        self._server.shutdown()
        self._server.server_close()


class _RequestHandler(BaseHTTPRequestHandler):
    protocol_version = 'HTTP/1.1'

    def do_GET(self) -> None:
        store: StandInStore = self.server.store  # type: ignore[attr-defined]
        store.paths.append(self.path)
        url = urlsplit(self.path)
        answer_call = store.answer_watch
        if url.path == '/kv-range':
            answer_call = store.answer_range
        status, answer = answer_call(parse_qs(url.query))
        body = json.encode(answer)
        self.send_response(status)
        self.send_header('Store-Era', str(store.era))
        self.send_header('Content-Length', str(len(body)))
        self.end_headers()
        self._send_body(store, body)

    def log_message(self, format: str, *args: Any) -> None:
        """Write nothing."""

    def _send_body(self, store: StandInStore, body: bytes) -> None:
        size = -(-len(body) // store.pieces)
        offsets = range(0, len(body), size)[: store.stops_after]
        for offset in offsets:
            self.wfile.write(body[offset : offset + size])
            if store.pieces > 1:
                time.sleep(PIECE_SECONDS)
        while store.stops_after is not None:
            time.sleep(POLL_SECONDS)


def _encode_change(change: Change) -> dict[str, Any]:
    if change.payload is None:
        return {
            'key': change.key,
            'revision': change.revision,
            'tombstone': True,
        }
    return {
        'key': change.key,
        'revision': change.revision,
        'created': change.created,
        'value': b64encode(change.payload).decode(),
        'lease': 0,
    }
