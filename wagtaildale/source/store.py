"""Interface of a platform that is a key-value store with one revision counter.

``Store`` hides the store's protocol and the meaning of its entries.
"""

from __future__ import annotations

from abc import ABC, abstractmethod
from typing import TYPE_CHECKING

from msgspec import Struct

from wagtaildale.document.eras import FIRST_ERA, Era
from wagtaildale.source.platform import ReadFailure
from wagtaildale.types import Version

if TYPE_CHECKING:
    from collections.abc import Mapping

    from result import Result

    from wagtaildale.types import DocumentKind


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
    def read_list(self) -> Result[StoreReading, ReadFailure]:
        """Read the entries that belong to the instance list.

        Returns:
            These entries, and possibly others, or why they were not read.
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
