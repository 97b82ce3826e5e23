"""What a document store holds."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING, Final

from msgspec import Struct, field

from wagtaildale.document.model import Document, Outline, make_empty
from wagtaildale.types import Digest, DocumentKind, Version

if TYPE_CHECKING:
    from collections.abc import Callable

    from result import Result

    from wagtaildale.errors.faults import Fault

HISTORY: Final = 16
REFUSED_KEPT: Final = 64


class Pending(Struct, kw_only=True):
    """A later version of which blobs are still missing.

    Attributes:
        outline: its entries.
        digest: its digest.
        found: blobs that are here, by content hash.
    """

    outline: Outline
    digest: Digest
    found: dict[Digest, bytes]

    def list_missing(self) -> tuple[Digest, ...]:
        """List the blobs that are not here yet.

        Returns:
            Their content hashes.
        """
        wanted = set(self.outline.entries.values())
        return tuple(sorted(wanted - self.found.keys()))


class StoreState(Struct, kw_only=True):
    """One document as a node holds it.

    Attributes:
        held: the version in force here.
        check: judges a version as a whole.
        history: versions held before, for deltas to those behind.
        refused: versions that failed, by version and digest.
        pending: a later version that is not whole yet.
    """

    held: Document
    check: Callable[[Document], Result[None, Fault]]
    history: deque[Document] = field(
        default_factory=lambda: deque(maxlen=HISTORY),
    )
    refused: dict[tuple[Version, Digest], Fault] = field(default_factory=dict)
    pending: Pending | None = None

    def find_version(self, version: Version, digest: Digest) -> Document | None:
        """Find a version held before.

        Args:
            version: its number.
            digest: its digest.

        Returns:
            The document, or nothing if it is not remembered.
        """
        for document in (self.held, *self.history):
            if (document.version, document.digest) == (version, digest):
                return document
        return None

    def find_blob(self, digest: Digest) -> bytes | None:
        """Find a blob by its content hash.

        Args:
            digest: the content hash.

        Returns:
            The bytes, or nothing if no held version has them.
        """
        for name, held in self.held.entries.items():
            if held == digest:
                return self.held.blobs[name]
        return None

    def remember_refused(self, document: Document, fault: Fault) -> None:
        """Remember a version that failed, the latest few only.

        Args:
            document: that failed.
            fault: why.
        """
        self.refused[(document.version, document.digest)] = fault
        while len(self.refused) > REFUSED_KEPT:
            self.refused.pop(next(iter(self.refused)))


def make_store(
    kind: DocumentKind,
    *,
    check: Callable[[Document], Result[None, Fault]],
) -> StoreState:
    """Make the store of a new node.

    Args:
        kind: which document.
        check: judges a version as a whole.

    Returns:
        A store that holds the empty document.
    """
    return StoreState(held=make_empty(kind), check=check)
