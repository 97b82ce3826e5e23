"""State of a document store."""

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

HISTORY_VERSIONS: Final = 16
MAX_REFUSED_VERSIONS: Final = 64


class PendingVersion(Struct, kw_only=True):
    """A later version of which blobs are still missing.

    Attributes:
        outline: version and entries.
        digest: digest of the version.
        found: blobs that are available, by content hash.
    """

    outline: Outline
    digest: Digest
    found: dict[Digest, bytes]

    def list_missing(self) -> tuple[Digest, ...]:
        """List the blobs that are still missing.

        Returns:
            Content hashes of the blobs.
        """
        wanted = set(self.outline.entries.values())
        return tuple(sorted(wanted - self.found.keys()))


class StoreState(Struct, kw_only=True):
    """State of one document at a node.

    Attributes:
        held: version in force.
        check: validates a version as a whole.
        history: versions held earlier, for deltas to peers that are behind.
        refused: faults of the latest versions that failed validation, by
            version and digest.
        pending: later version that is not complete yet.
    """

    held: Document
    check: Callable[[Document], Result[None, Fault]]
    history: deque[Document] = field(
        default_factory=lambda: deque(maxlen=HISTORY_VERSIONS),
    )
    refused: dict[tuple[Version, Digest], Fault] = field(default_factory=dict)
    pending: PendingVersion | None = None

    def find_document(
        self, version: Version, digest: Digest
    ) -> Document | None:
        """Find the document of a version that is held or was held earlier.

        Args:
            version: version number.
            digest: digest of the version.

        Returns:
            The document, or nothing if it is not in the history.
        """
        for document in (self.held, *self.history):
            if (document.version, document.digest) == (version, digest):
                return document
        return None

    def find_blob(self, digest: Digest) -> bytes | None:
        """Find a blob by its content hash.

        Args:
            digest: content hash.

        Returns:
            The blob, or nothing if the held version does not have it.
        """
        for name, held in self.held.entries.items():
            if held == digest:
                return self.held.blobs[name]
        return None

    def note_refused(self, document: Document, fault: Fault) -> None:
        """Note a version that failed validation.

        Only the latest ``MAX_REFUSED_VERSIONS`` are kept.

        Args:
            document: version that failed.
            fault: reason.
        """
        self.refused[(document.version, document.digest)] = fault
        while len(self.refused) > MAX_REFUSED_VERSIONS:
            self.refused.pop(next(iter(self.refused)))


def make_store(
    kind: DocumentKind,
    *,
    check: Callable[[Document], Result[None, Fault]],
) -> StoreState:
    """Make the store of a new node.

    Args:
        kind: kind of the document.
        check: validates a version as a whole.

    Returns:
        A store that holds the empty document.
    """
    return StoreState(held=make_empty(kind), check=check)
