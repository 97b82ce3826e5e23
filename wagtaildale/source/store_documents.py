"""Builds the documents of a feed from a copy of a store."""

from __future__ import annotations

from typing import TYPE_CHECKING

from result import Err

from wagtaildale.distribution.messages import EntryRefused, SourceConfirmed
from wagtaildale.source.feed import FeedReading, make_read
from wagtaildale.types import NO_VERSION, DocumentKind

if TYPE_CHECKING:
    from collections.abc import Collection, Iterator

    from wagtaildale.distribution.messages import (
        SourceContradicted,
        SourceRead,
    )
    from wagtaildale.source.platform import ReadFailure
    from wagtaildale.source.store import Store, StoredDocument
    from wagtaildale.source.store_copy import StoreCopy
    from wagtaildale.types import Version


class DocumentBuilder:
    """Builds documents, and reports each entry that cannot be read once."""

    def __init__(self, store: Store) -> None:
        """Create a builder that has built nothing yet.

        Args:
            store: store that knows the meaning of its entries.
        """
        self._store = store
        self._versions = dict.fromkeys(DocumentKind, NO_VERSION)
        self._known_failures: dict[DocumentKind, frozenset[str]] = {}

    def build_reading(
        self,
        copy: StoreCopy,
        *,
        changed: Collection[DocumentKind],
        is_whole: bool = False,
        contradicted: tuple[SourceContradicted, ...] = (),
    ) -> FeedReading:
        """Build the changed documents, and confirm the others.

        Args:
            copy: copy of the store.
            changed: kinds of documents to build.
            is_whole: whether the list was read as a whole; see ``Outline``.
            contradicted: contradictions of the store to report.

        Returns:
            The result of a read.
        """
        reads: list[SourceRead] = []
        refused: list[EntryRefused] = []
        for kind in changed:
            built = self._store.make_document(
                kind, entries=copy.entries, version=copy.version
            )
            if isinstance(built, Err):
                # Go on with the other document: an unreadable configuration
                # must not keep the instance list from every node, nor the
                # other way round.
                refused.extend(
                    self._list_new_failures(kind, (built.err_value,))
                )
                continue
            document = built.ok_value
            refused.extend(self._list_new_failures(kind, document.failures))
            if document.version != NO_VERSION:
                reads.append(self._make_read(kind, document, is_whole=is_whole))
        return FeedReading(
            changed=tuple(reads),
            confirmed=self._confirm(copy, changed),
            refused=tuple(refused),
            contradicted=contradicted,
        )

    def _confirm(
        self, copy: StoreCopy, changed: Collection[DocumentKind]
    ) -> tuple[SourceConfirmed, ...]:
        return tuple(
            SourceConfirmed(
                kind=kind, version=self._find_confirmed_version(kind, copy)
            )
            for kind in reversed(DocumentKind)
            if kind not in changed and self._versions[kind] != NO_VERSION
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
        self, kind: DocumentKind, document: StoredDocument, *, is_whole: bool
    ) -> SourceRead:
        self._versions[kind] = document.version
        return make_read(
            kind,
            version=document.version,
            blobs=document.blobs,
            # A configuration has a version of its own, which is never reused.
            is_whole=is_whole and kind is DocumentKind.instances,
        )

    def _find_confirmed_version(
        self, kind: DocumentKind, copy: StoreCopy
    ) -> Version:
        # The version of the instance list is the store's revision. An
        # unchanged list is valid for every revision since the last change.
        if kind is DocumentKind.instances:
            return copy.version
        return self._versions[kind]
