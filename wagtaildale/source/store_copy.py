"""This node's copy of the entries of a store."""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING

from result import Err, Ok, Result

from wagtaildale.document.eras import FIRST_ERA, make_version
from wagtaildale.errors.codes import Code
from wagtaildale.source.platform import ReadFailure
from wagtaildale.source.store import StoreEntry, StoreReading
from wagtaildale.types import DocumentKind

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from wagtaildale.document.eras import Era
    from wagtaildale.source.store import Store
    from wagtaildale.types import Version


class StoreCopy:
    """Entries of a store up to a revision.

    Attributes:
        entries: entries by key; replaced, never changed in place.
        revision: revision from which the next watch continues; None before
            the first full read.
        era: era of the store at the last full read.
    """

    def __init__(self, store: Store) -> None:
        """Create an empty copy.

        Args:
            store: store to read from; used by this copy only.
        """
        self.entries: Mapping[str, StoreEntry] = {}
        self.revision: int | None = None
        self.era = FIRST_ERA
        self._store = store

    @property
    def version(self) -> Version:
        """Version of a document that has none of its own."""
        assert self.revision is not None
        return make_version(self.era, revision=self.revision)

    def load(self) -> Result[None, ReadFailure]:
        """Read all entries.

        Returns:
            Nothing, or why the copy is as it was or needs a further full read.
        """
        read = self._check(self._store.read_all())
        if isinstance(read, Err):
            return read
        reading = read.ok_value
        self.entries = _apply({}, reading)
        self.revision = reading.revision
        self.era = reading.era
        return Ok(None) if reading.is_snapshot else self._load_changes(reading)

    def read_list(self) -> Result[StoreReading, ReadFailure]:
        """Read the entries of the instance list; the copy stays as it is.

        Returns:
            The entries, or why they were not read.
        """
        return self._check(self._store.read_list())

    def watch(self, wait: float) -> Result[StoreReading, ReadFailure]:
        """Wait for changes; the copy stays as it is.

        Args:
            wait: longest time that the store holds the call open, seconds.

        Returns:
            The changes, or why there are none.
        """
        assert self.revision is not None
        return self._check(self._store.watch(revision=self.revision, wait=wait))

    def apply(self, changes: StoreReading) -> None:
        """Apply changes without moving the revision.

        Args:
            changes: answer to a watch.
        """
        self.entries = _apply(self.entries, changes)

    def is_replaced(self, reading: StoreReading) -> bool:
        """Tell whether the store was restored from a copy, or set up anew.

        Without a full read, entries that it has lost would stay in use, and
        revisions that it assigns a second time would be taken for the earlier
        ones.

        Args:
            reading: later answer of the store.

        Returns:
            Whether the store does not continue from this copy.
        """
        assert self.revision is not None
        return reading.era > self.era or reading.revision < self.revision

    def pick_list(
        self, entries: Iterable[StoreEntry] | None = None
    ) -> dict[str, StoreEntry]:
        """Pick the entries that belong to the instance list.

        Args:
            entries: entries to pick from; those of this copy if left out.

        Returns:
            The entries by key.
        """
        known = self.entries.values() if entries is None else entries
        return {
            entry.key: entry
            for entry in known
            if self._store.is_part_of(entry.key, DocumentKind.instances)
        }

    def list_kinds(self, keys: Iterable[str]) -> tuple[DocumentKind, ...]:
        """List the documents that keys belong to.

        Args:
            keys: keys of entries.

        Returns:
            Kinds of the documents.
        """
        known = tuple(keys)
        return tuple(
            kind
            for kind in DocumentKind
            if any(self._store.is_part_of(key, kind) for key in known)
        )

    def _load_changes(self, first: StoreReading) -> Result[None, ReadFailure]:
        # The store changed between two pages, so that the entries were never
        # in this state together. Applying the changes since the first page
        # makes them consistent.
        watched = self._store.watch(revision=first.revision, wait=0)
        changes = watched.and_then(
            partial(_check_era, held=self.era, may_rise=False)
        )
        if isinstance(changes, Err):
            self.revision = None
            return changes
        self.apply(changes.ok_value)
        self.revision = changes.ok_value.revision
        return Ok(None)

    def _check(
        self, read: Result[StoreReading, ReadFailure]
    ) -> Result[StoreReading, ReadFailure]:
        return read.and_then(partial(_check_era, held=self.era))


def _apply(
    entries: Mapping[str, StoreEntry], reading: StoreReading
) -> dict[str, StoreEntry]:
    applied = dict(entries)
    for entry in sorted(reading.entries, key=_get_revision):
        if entry.payload is None:
            applied.pop(entry.key, None)
        else:
            applied[entry.key] = entry
    return applied


def _get_revision(entry: StoreEntry) -> int:
    return entry.revision


def _check_era(
    reading: StoreReading,
    *,
    held: Era,
    may_rise: bool = True,
) -> Result[StoreReading, ReadFailure]:
    # Rejects an answer of an earlier era that arrives late. Also rejects
    # changes from after a restore of the store that follow pages from before
    # it.
    if reading.era == held or (may_rise and reading.era > held):
        return Ok(reading)
    detail = f'got an answer of era {reading.era}, expected era {held}'
    return Err(ReadFailure(code=Code.version_older, detail=detail))
