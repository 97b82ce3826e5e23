"""HTTP client of a simulated store, whose watches may be wrong."""

from __future__ import annotations

from base64 import b64encode
from typing import Any, Final
from urllib.parse import parse_qs, urlsplit

from msgspec import json
from result import Err, Ok, Result

from wagtaildale.errors.codes import Code
from wagtaildale.platform.store import PlatformStore
from wagtaildale.platform.tests.builders import build_settings
from wagtaildale.source.curl import Answer
from wagtaildale.source.platform import ReadFailure
from wagtaildale.source.store_feed import StoreFeed

STATUS_OK: Final = 200
SILENCE: Final = ReadFailure(
    code=Code.source_unreachable, detail='no byte', is_silent=True
)


class SimulatedStore:
    """A store with one revision counter that answers at once.

    Attributes:
        hidden: revisions of changes that no watch returns.
        is_silent: whether no watch is answered.
        merges_changes: whether watches return only the last change of a key.
        most_changes: most changes in an answer to a watch.
        refuses_ranges: whether all reads but watches fail.
        urls: requested URLs, the latest last.
    """

    def __init__(self) -> None:
        self.hidden: set[int] = set()
        self.is_silent = False
        self.merges_changes = False
        self.most_changes = 1000
        self.refuses_ranges = False
        self.urls: list[str] = []
        self._changes: list[dict[str, Any]] = []

    @property
    def revision(self) -> int:
        """Revision of the last change."""
        return len(self._changes)

    def write(self, key: str, entry: Any, *, hides: bool = False) -> None:
        """Write an item, or remove it if its value is None.

        Args:
            key: key of the item.
            entry: value, not yet encoded.
            hides: whether no watch returns the change.
        """
        change = {'key': key, 'revision': self.revision + 1}
        if entry is None:
            change['tombstone'] = True
        else:
            change['value'] = b64encode(json.encode(entry)).decode()
        self._changes.append(change)
        if hides:
            self.hidden.add(self.revision)

    def get(
        self,
        url: str,
        *,
        hold_seconds: float,
        idle_timeout_seconds: float,
    ) -> Result[Answer, ReadFailure]:
        self.urls.append(url)
        parts = urlsplit(url)
        after = parse_qs(parts.query).get('after', [''])[0]
        if parts.path == '/kv-range':
            if self.refuses_ranges:
                return Err(SILENCE)
            return _answer(self._read_range(after))
        if self.is_silent:
            return Err(SILENCE)
        return _answer(self._read_changes(int(after)))

    def _read_range(self, after: str) -> dict[str, Any]:
        present = {change['key']: change for change in self._changes}
        return {
            'items': [
                change
                for key, change in sorted(present.items())
                if key > after and 'value' in change
            ],
            'hasMore': False,
            'storeRevision': self.revision,
        }

    def _read_changes(self, after: int) -> dict[str, Any]:
        told = self._changes[after : after + self.most_changes]
        events = [
            change for change in told if change['revision'] not in self.hidden
        ]
        if self.merges_changes:
            events = list({each['key']: each for each in events}.values())
        return {'events': events, 'storeRevision': after + len(told)}


def build_simulated_feed(store: SimulatedStore) -> StoreFeed:
    """Build a feed of a simulated store.

    Args:
        store: the store.

    Returns:
        A feed that has read nothing yet.
    """
    return StoreFeed(
        PlatformStore(
            build_settings(),
            regions={'derby': 'midlands'},
            client=store,
        ),
    )


def _answer(body: dict[str, Any]) -> Result[Answer, ReadFailure]:
    answer = Answer(status=STATUS_OK, headers=(), body=json.encode(body))
    return Ok(answer)
