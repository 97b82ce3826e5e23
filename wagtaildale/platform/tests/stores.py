"""Stand-in of the platform's store, that may come back from a copy."""

from __future__ import annotations

import threading
import time
from base64 import b64encode
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from typing import Any, Final
from urllib.parse import parse_qs, urlsplit

from msgspec import Struct, json

from wagtaildale.testing.closing import Closing

OK: Final = 200
GONE: Final = 410
LOOK_SECONDS: Final = 0.01
MILLISECONDS: Final = 1000


class Change(Struct, frozen=True, kw_only=True):
    """A write of an item, or its removal."""

    key: str
    revision: int
    created: int
    payload: bytes | None


class Copy(Struct, frozen=True, kw_only=True):
    """All that the store held at one moment."""

    changes: tuple[Change, ...]


class StandInStore(Closing):
    """Answers reads and watches; a test writes and takes it back.

    Attributes:
        era: how often it came back from a copy.
        asked: paths of the calls, the latest last.
    """

    def __init__(self) -> None:
        self.era = 1
        self.asked: list[str] = []
        self._changes: tuple[Change, ...] = ()
        self._server = ThreadingHTTPServer(('127.0.0.1', 0), _Answerer)
        self._server.daemon_threads = True
        self._server.store = self  # type: ignore[attr-defined]
        self._thread = threading.Thread(
            target=self._server.serve_forever,
            args=(LOOK_SECONDS,),
            daemon=True,
        )
        self._thread.start()

    @property
    def address(self) -> str:
        """Where it listens."""
        host, port = self._server.server_address[:2]
        return f'{host!s}:{port}'

    @property
    def revision(self) -> int:
        """Of its last change."""
        return self._changes[-1].revision if self._changes else 0

    def write(self, key: str, entry: Any) -> None:
        """Write an item; nothing removes it."""
        revision = self.revision + 1
        known = self.list_items().get(key)
        change = Change(
            key=key,
            revision=revision,
            created=known.created if known else revision,
            payload=None if entry is None else json.encode(entry),
        )
        self._changes = (*self._changes, change)

    def copy(self) -> Copy:
        """Copy what it holds."""
        return Copy(changes=self._changes)

    def come_back(self, copy: Copy, *writes: tuple[str, Any]) -> None:
        """Come back from a copy, with what is written in that moment."""
        held = self._changes
        self._changes = copy.changes
        for key, entry in writes:
            self.write(key, entry)
        assert self._changes != held
        self.era += 1

    def list_items(self) -> dict[str, Change]:
        """List what stands in it."""
        held: dict[str, Change] = {}
        for change in self._changes:
            held[change.key] = change
            if change.payload is None:
                held.pop(change.key)
        return held

    def answer_range(self, query: dict[str, list[str]]) -> tuple[int, Any]:
        answer = {
            'items': list(map(_describe, self.list_items().values())),
            'hasMore': False,
            'storeRevision': self.revision,
        }
        return OK, answer

    def answer_watch(self, query: dict[str, list[str]]) -> tuple[int, Any]:
        after = int(query['after'][0])
        until = time.monotonic() + int(query['waitMs'][0]) / MILLISECONDS
        while self.revision <= after and time.monotonic() < until:
            if self.revision < after:
                return GONE, {}
            time.sleep(LOOK_SECONDS)
        events = [
            _describe(change)
            for change in self._changes
            if change.revision > after
        ]
        return OK, {'events': events, 'storeRevision': self.revision}

    def close(self) -> None:
        self._server.shutdown()
        self._server.server_close()


class _Answerer(BaseHTTPRequestHandler):
    protocol_version = 'HTTP/1.1'

    def do_GET(self) -> None:
        store: StandInStore = self.server.store  # type: ignore[attr-defined]
        store.asked.append(self.path)
        asked = urlsplit(self.path)
        answer_call = store.answer_watch
        if asked.path == '/kv-range':
            answer_call = store.answer_range
        status, answer = answer_call(parse_qs(asked.query))
        body = json.encode(answer)
        self.send_response(status)
        self.send_header('Store-Era', str(store.era))
        self.send_header('Content-Length', str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    def log_message(self, format: str, *args: Any) -> None:
        """Write nothing."""


def _describe(change: Change) -> dict[str, Any]:
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
