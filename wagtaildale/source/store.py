"""Feed of a platform that is a key-value store with one revision counter.

``Store`` hides the store's protocol. ``StoreFeed`` decides what to read, and
when to read everything again.
"""

from __future__ import annotations

from abc import ABC, abstractmethod
from functools import partial
from typing import TYPE_CHECKING, Final

from msgspec import Struct
from result import Err, Ok, Result

from wagtaildale.distribution.messages import EntryRefused, SourceConfirmed
from wagtaildale.document.eras import FIRST_ERA, Era, make_version
from wagtaildale.errors.codes import Code
from wagtaildale.source.feed import Feed, FeedReading, make_read
from wagtaildale.source.platform import ReadFailure
from wagtaildale.types import NO_VERSION, DocumentKind, Version

if TYPE_CHECKING:
    from collections.abc import Iterator, Mapping

    from wagtaildale.distribution.messages import SourceRead


class StoreEntry(Struct, frozen=True, kw_only=True):
    """The entry of one key.

    Attributes:
        key: key of the entry.
        payload: value of the entry; None if the key was removed.
        revision: revision of the last change.
        created: revision at which the key was created.
    """

    key: str
    payload: bytes | None
    revision: int
    created: int = 0


class StoreReading(Struct, frozen=True, kw_only=True):
    """Result of one call to a store.

    Attributes:
        entries: all entries, or those that have changed.
        revision: revision of the store, from which the next watch continues.
        is_snapshot: whether all entries are in their state at that revision.
        era: era of the store when it answered.
    """

    entries: tuple[StoreEntry, ...]
    revision: int
    is_snapshot: bool = True
    era: Era = FIRST_ERA


class StoredDocument(Struct, frozen=True, kw_only=True):
    """A document built from a store's entries.

    Attributes:
        version: version of the document.
        blobs: contents of the document's entries, by entry name.
        failures: why some entries could not be read; the document is built
            from the others.
    """

    version: Version
    blobs: dict[str, bytes]
    failures: tuple[ReadFailure, ...] = ()


class Store(ABC):
    """Protocol of a store, and the meaning of its entries."""

    @abstractmethod
    def read_all(self) -> Result[StoreReading, ReadFailure]:
        """Read all entries.

        Returns:
            The entries, or why they were not read.
        """

    @abstractmethod
    def watch(
        self,
        *,
        revision: int,
        wait: float,
    ) -> Result[StoreReading, ReadFailure]:
        """Wait for changes.

        Args:
            revision: revision after which changes are returned.
            wait: longest time that the store holds the call open, seconds.

        Returns:
            Entries that have changed, none after the longest time, or why
            the watch failed; code ``history_gone`` if the store has dropped
            changes after the revision.
        """

    @abstractmethod
    def is_part_of(self, key: str, kind: DocumentKind) -> bool:
        """Tell whether a key belongs to a document.

        Args:
            key: key of an entry.
            kind: the document.

        Returns:
            Whether a change of the entry changes the document.
        """

    @abstractmethod
    def make_document(
        self,
        kind: DocumentKind,
        *,
        entries: Mapping[str, StoreEntry],
        version: Version,
    ) -> Result[StoredDocument, ReadFailure]:
        """Build a document from the entries of the store.

        Args:
            kind: document to build.
            entries: all entries of the store, by key.
            version: version built from the store's revision, for a document
                that has no version of its own.

        Returns:
            The document, with version 0 if there is none yet, or why it
            cannot be built.
        """


# With these, no watch from the same revision can succeed.
UNWATCHABLE_CODES: Final = frozenset((Code.history_gone, Code.answer_too_large))


class StoreFeed(Feed):
    """Feed of both documents, from one watch over all keys of a store."""

    def __init__(self, store: Store) -> None:
        """Create a feed that has read nothing yet.

        Args:
            store: store to read from; used by this feed only.
        """
        self.kinds = tuple(DocumentKind)
        self._store = store
        self._entries: dict[str, StoreEntry] = {}
        self._revision: int | None = None
        self._era = FIRST_ERA
        self._versions = dict.fromkeys(DocumentKind, NO_VERSION)
        self._known_failures: dict[DocumentKind, frozenset[str]] = {}

    def read(self, *, wait: float) -> Result[FeedReading, ReadFailure]:
        """Read what has changed; see ``Feed``.

        If the store has dropped the history after the last revision, a watch
        from that revision would miss changes; the store reports this, and
        everything is read again at once. The same is done if the changes are
        too large for one answer, since each further watch would fail, too.

        Args:
            wait: longest time that the store holds the read open, seconds.

        Returns:
            The documents that have changed, or why nothing was read.
        """
        if self._revision is None:
            return self._read_all()
        watched = self._store.watch(revision=self._revision, wait=wait)
        changes = watched.and_then(partial(_check_era, held=self._era))
        if isinstance(changes, Err):
            needs_all = changes.err_value.code in UNWATCHABLE_CODES
            return self._read_all() if needs_all else changes
        reading = changes.ok_value
        if reading.era > self._era or reading.revision < self._revision:
            # The store was restored from an older copy, or was set up anew.
            # Without a full read, entries that it has lost would stay in
            # use, and revisions that it assigns a second time would be taken
            # for the earlier ones.
            return self._read_all()
        self._revision = reading.revision
        self._apply(reading)
        return self._make_reading(
            tuple(
                kind for kind in DocumentKind if self._is_changed(reading, kind)
            ),
        )

    def restart(self) -> None:
        """Keep the cursor; see ``Feed``.

        A reset would make a node read everything again whenever it becomes
        a reader or its connection to the store fails, and on a slow line
        that delays calls: half a megabyte for 1,600 routes takes 0.7 s at
        5 Mbit/s. A store with revisions reports what has changed since the
        cursor, or that it no longer can.
        """

    def forget(self) -> None:
        """Reset the cursor; see ``Feed``."""
        self._revision = None

    def _read_all(self) -> Result[FeedReading, ReadFailure]:
        full_read = self._store.read_all()
        read = full_read.and_then(partial(_check_era, held=self._era))
        if isinstance(read, Err):
            return read
        reading = read.ok_value
        self._entries = {}
        self._apply(reading)
        self._revision = reading.revision
        self._era = reading.era
        if reading.is_snapshot:
            return self._make_reading(tuple(DocumentKind))
        # The store changed between two pages, so that the entries were never
        # in this state together. Applying the changes since the first page
        # makes them consistent.
        watched = self._store.watch(revision=reading.revision, wait=0)
        changes = watched.and_then(
            partial(_check_era, held=self._era, may_rise=False),
        )
        if isinstance(changes, Err):
            self._revision = None
            return changes
        self._apply(changes.ok_value)
        self._revision = changes.ok_value.revision
        return self._make_reading(tuple(DocumentKind))

    def _is_changed(self, reading: StoreReading, kind: DocumentKind) -> bool:
        return any(
            self._store.is_part_of(entry.key, kind) for entry in reading.entries
        )

    def _apply(self, reading: StoreReading) -> None:
        for entry in reading.entries:
            if entry.payload is None:
                self._entries.pop(entry.key, None)
            else:
                self._entries[entry.key] = entry

    def _make_reading(
        self,
        changed: tuple[DocumentKind, ...],
    ) -> Result[FeedReading, ReadFailure]:
        assert self._revision is not None
        reads: list[SourceRead] = []
        refused: list[EntryRefused] = []
        for kind in changed:
            built = self._store.make_document(
                kind,
                entries=self._entries,
                version=make_version(self._era, revision=self._revision),
            )
            if isinstance(built, Err):
                # Go on with the other document: an unreadable configuration
                # must not keep the instance list from every node, nor the
                # other way round.
                refused.extend(
                    self._list_new_failures(kind, (built.err_value,))
                )
                continue
            refused.extend(
                self._list_new_failures(kind, built.ok_value.failures)
            )
            if built.ok_value.version != NO_VERSION:
                reads.append(self._make_read(kind, built.ok_value))
        unchanged = set(DocumentKind) - set(changed)
        confirmed = tuple(
            SourceConfirmed(
                kind=each, version=self._find_confirmed_version(each)
            )
            for each in reversed(DocumentKind)
            if each in unchanged and self._versions[each] != NO_VERSION
        )
        return Ok(
            FeedReading(
                changed=tuple(reads),
                confirmed=confirmed,
                refused=tuple(refused),
            ),
        )

    def _list_new_failures(
        self,
        kind: DocumentKind,
        failures: tuple[ReadFailure, ...],
    ) -> Iterator[EntryRefused]:
        # Each failure is reported once, not again with every change of
        # another entry.
        known = self._known_failures.get(kind, frozenset())
        self._known_failures[kind] = frozenset(
            failure.detail for failure in failures
        )
        for failure in failures:
            if failure.detail not in known:
                yield EntryRefused(
                    kind=kind,
                    code=failure.code,
                    detail=failure.detail,
                )

    def _make_read(
        self, kind: DocumentKind, document: StoredDocument
    ) -> SourceRead:
        self._versions[kind] = document.version
        return make_read(
            kind,
            version=document.version,
            blobs=document.blobs,
        )

    def _find_confirmed_version(self, kind: DocumentKind) -> Version:
        # The version of the instance list is the store's revision. An
        # unchanged list is valid for every revision since the last change.
        if kind is DocumentKind.instances and self._revision is not None:
            return Version(self._revision)
        return self._versions[kind]


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
