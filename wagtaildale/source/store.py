"""A platform that is a store of keys with one revision counter.

The store's protocol stands behind ``Store``; what to read, and when to read
all of it again, is decided here.
"""

from __future__ import annotations

from abc import ABC, abstractmethod
from functools import partial
from typing import TYPE_CHECKING

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
    """What stands under one key.

    Attributes:
        key: its key.
        payload: its bytes; nothing where the key was removed.
        revision: of its last change.
        created: revision with which the key was first written.
    """

    key: str
    payload: bytes | None
    revision: int
    created: int = 0


class StoreReading(Struct, frozen=True, kw_only=True):
    """What a call to a store gave.

    Attributes:
        entries: everything, or what has changed.
        revision: of the store; the next watch goes on from it.
        is_snapshot: whether the entries all stood so at that revision.
        era: in which the store gave it.
    """

    entries: tuple[StoreEntry, ...]
    revision: int
    is_snapshot: bool = True
    era: Era = FIRST_ERA


class StoredDocument(Struct, frozen=True, kw_only=True):
    """A document as a store's entries give it.

    Attributes:
        version: its version.
        blobs: by name, the bytes of its entries.
        flaws: why some entries could not be read; the rest stands without
            them.
    """

    version: Version
    blobs: dict[str, bytes]
    flaws: tuple[ReadFailure, ...] = ()


class Store(ABC):
    """The calls of a store, and what its entries mean."""

    @abstractmethod
    def read_all(self) -> Result[StoreReading, ReadFailure]:
        """Read every entry.

        Returns:
            The entries, or why not.
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
            revision: after which changes are wanted.
            wait: seconds that the store may hold the call.

        Returns:
            What has changed, nothing if the time was up, or why not; code
            ``history_gone`` if the store has dropped what came after the
            revision.
        """

    @abstractmethod
    def is_part_of(self, key: str, kind: DocumentKind) -> bool:
        """Tell whether a key belongs to a document.

        Args:
            key: of an entry.
            kind: the document.

        Returns:
            Whether a change of it changes the document.
        """

    @abstractmethod
    def make_document(
        self,
        kind: DocumentKind,
        *,
        entries: Mapping[str, StoreEntry],
        version: Version,
    ) -> Result[StoredDocument, ReadFailure]:
        """Make a document from the entries that stand in the store.

        Args:
            kind: which document.
            entries: by key, everything.
            version: of the store, for a document that has none of its own.

        Returns:
            The document; version 0 if there is none yet.
        """


class StoreFeed(Feed):
    """Both documents from one watch over all keys of a store."""

    def __init__(self, store: Store) -> None:
        """Begin with nothing read.

        Args:
            store: read from; belongs to this feed.
        """
        self.kinds = tuple(DocumentKind)
        self._store = store
        self._entries: dict[str, StoreEntry] = {}
        self._revision: int | None = None
        self._era = FIRST_ERA
        self._versions = dict.fromkeys(DocumentKind, NO_VERSION)
        self._flaws: dict[DocumentKind, frozenset[str]] = {}

    def read(self, *, wait: float) -> Result[FeedReading, ReadFailure]:
        """Read what has changed; see ``Feed``.

        Failure guarded here: the store drops its history, and a watch from
        an older revision would miss changes. It says so, and everything is
        read anew at once.

        Args:
            wait: seconds that the store may hold the read.

        Returns:
            The documents that have changed, or why not.
        """
        if self._revision is None:
            return self._read_all()
        watched = self._store.watch(revision=self._revision, wait=wait)
        changes = watched.and_then(partial(_check_era, held=self._era))
        if isinstance(changes, Err):
            is_gone = changes.err_value.code is Code.history_gone
            return self._read_all() if is_gone else changes
        reading = changes.ok_value
        if reading.era > self._era or reading.revision < self._revision:
            # Failure: the store came back from an older copy, or was set up
            # anew. What it has lost stays in use, and revisions that it has
            # given out again are taken for those of before.
            return self._read_all()
        self._revision = reading.revision
        self._note(reading)
        return self._give(
            tuple(
                kind for kind in DocumentKind if self._concerns(reading, kind)
            ),
        )

    def restart(self) -> None:
        """Keep the cursor; see ``Feed``.

        Failure guarded here: a node that takes turns at reading, or whose
        line to the store fails, reads everything anew each time, and on a
        slow line that holds up calls: half a megabyte for 1,600 routes is
        0.7 s at 5 Mbit/s. A store with revisions tells what has changed
        since, and says so if it no longer can.
        """

    def _read_all(self) -> Result[FeedReading, ReadFailure]:
        whole = self._store.read_all()
        read = whole.and_then(partial(_check_era, held=self._era))
        if isinstance(read, Err):
            return read
        reading = read.ok_value
        self._entries = {}
        self._note(reading)
        self._revision = reading.revision
        self._era = reading.era
        if reading.is_snapshot:
            return self._give(tuple(DocumentKind))
        # Failure: the entries came on several pages, and the store changed
        # between two of them: together they never stood so. The changes
        # since the first page settle it.
        watched = self._store.watch(revision=reading.revision, wait=0)
        changes = watched.and_then(
            partial(_check_era, held=self._era, may_rise=False),
        )
        if isinstance(changes, Err):
            self._revision = None
            return changes
        self._note(changes.ok_value)
        self._revision = changes.ok_value.revision
        return self._give(tuple(DocumentKind))

    def _concerns(self, reading: StoreReading, kind: DocumentKind) -> bool:
        return any(
            self._store.is_part_of(entry.key, kind) for entry in reading.entries
        )

    def _note(self, reading: StoreReading) -> None:
        for entry in reading.entries:
            if entry.payload is None:
                self._entries.pop(entry.key, None)
            else:
                self._entries[entry.key] = entry

    def _give(
        self,
        changed: tuple[DocumentKind, ...],
    ) -> Result[FeedReading, ReadFailure]:
        assert self._revision is not None
        reads: list[SourceRead] = []
        flawed: list[EntryRefused] = []
        for kind in changed:
            made = self._store.make_document(
                kind,
                entries=self._entries,
                version=make_version(self._era, revision=self._revision),
            )
            if isinstance(made, Err):
                # Failure: a configuration that cannot be read keeps the
                # instance list from every node, or the other way round.
                flawed.extend(self._tell(kind, (made.err_value,)))
                continue
            flawed.extend(self._tell(kind, made.ok_value.flaws))
            if made.ok_value.version != NO_VERSION:
                reads.append(self._offer(kind, made.ok_value))
        same = set(DocumentKind) - set(changed)
        confirmed = tuple(
            SourceConfirmed(kind=each, version=self._confirm(each))
            for each in reversed(DocumentKind)
            if each in same and self._versions[each] != NO_VERSION
        )
        return Ok(
            FeedReading(
                changed=tuple(reads),
                confirmed=confirmed,
                flawed=tuple(flawed),
            ),
        )

    def _tell(
        self,
        kind: DocumentKind,
        flaws: tuple[ReadFailure, ...],
    ) -> Iterator[EntryRefused]:
        # Each is told once, and not with every change of another entry.
        told = self._flaws.get(kind, frozenset())
        self._flaws[kind] = frozenset(flaw.detail for flaw in flaws)
        for flaw in flaws:
            if flaw.detail not in told:
                yield EntryRefused(
                    kind=kind,
                    code=flaw.code,
                    detail=flaw.detail,
                )

    def _offer(
        self, kind: DocumentKind, document: StoredDocument
    ) -> SourceRead:
        self._versions[kind] = document.version
        return make_read(
            kind,
            version=document.version,
            blobs=document.blobs,
        )

    def _confirm(self, kind: DocumentKind) -> Version:
        # The instance list's version is the store's revision: with nothing
        # of it changed, it stands as it did at every revision since.
        if kind is DocumentKind.instances and self._revision is not None:
            return Version(self._revision)
        return self._versions[kind]


def _check_era(
    reading: StoreReading,
    *,
    held: Era,
    may_rise: bool = True,
) -> Result[StoreReading, ReadFailure]:
    # Failure: an answer from before the store's return comes late; or pages
    # are from before it, and what has changed since them is from after it.
    if reading.era == held or (may_rise and reading.era > held):
        return Ok(reading)
    detail = f'got an answer of era {reading.era}, expected era {held}'
    return Err(ReadFailure(code=Code.version_older, detail=detail))
