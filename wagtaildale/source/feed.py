"""What one watch on a platform tells of: the plug point of the watch tasks.

Where a platform has a key for each document, a feed covers one of them;
where one watch sees both, one feed covers both and costs one waiting call.
"""

from __future__ import annotations

from abc import ABC, abstractmethod
from typing import TYPE_CHECKING, Any, Final

from msgspec import Struct
from result import Err, Ok, Result

from wagtaildale.configuration.compiled import hash_part
from wagtaildale.distribution.messages import (
    EntryRefused,
    SourceConfirmed,
    SourceRead,
)
from wagtaildale.document.model import Outline
from wagtaildale.membership.records import InstanceList, encode_list
from wagtaildale.source.platform import Platform, ReadFailure, Reading
from wagtaildale.types import NO_VERSION, Digest, DocumentKind, Version

if TYPE_CHECKING:
    from collections.abc import Mapping

    from wagtaildale.configuration.model import Manifest

FIRST_INDEX: Final = 0


class FeedReading(Struct, frozen=True, kw_only=True):
    """What a read of a feed gave.

    Attributes:
        changed: documents that have changed since the read before.
        confirmed: documents that are known not to have changed, the
            configuration last: with it the reader tells the others, and
            what it tells them of the list should not be a read older.
        flawed: what could not be read, and was not told before.
    """

    changed: tuple[SourceRead, ...] = ()
    confirmed: tuple[SourceConfirmed, ...] = ()
    flawed: tuple[EntryRefused, ...] = ()


class Feed(ABC):
    """Reads what one watch on a platform covers; belongs to one task.

    Attributes:
        kinds: the documents that it covers.
    """

    kinds: tuple[DocumentKind, ...]

    @abstractmethod
    def read(self, *, wait: float) -> Result[FeedReading, ReadFailure]:
        """Read what has changed since the last read, waiting for it.

        Args:
            wait: seconds that the platform may hold the read; the first
                read of all does not wait.

        Returns:
            What has changed and what has not, or why nothing was read.
        """

    @abstractmethod
    def restart(self) -> None:
        """Doubt what was read: the platform may have changed unseen.

        The next read gives everything, unless the platform can tell what has
        changed since the last one.
        """


class DocumentFeed(Feed):
    """One document of a platform that has a key for each."""

    def __init__(self, kind: DocumentKind, *, platform: Platform) -> None:
        """Begin with nothing read.

        Args:
            kind: the document.
            platform: read from; belongs to this feed.
        """
        self.kinds = (kind,)
        self._kind = kind
        self._platform = platform
        self._index = FIRST_INDEX
        self._version = NO_VERSION

    def read(self, *, wait: float) -> Result[FeedReading, ReadFailure]:
        """Read the document; see ``Feed``.

        Args:
            wait: seconds that the platform may hold the read.

        Returns:
            The document if it has changed, or why not.
        """
        read = read_document(
            self._platform,
            kind=self._kind,
            index=self._index,
            wait=wait,
        )
        if isinstance(read, Err):
            return read
        reading = read.ok_value
        # Failure: the platform restarts with a lower index, and a watch
        # from the old one would wait for ever.
        self._index = reading.index if reading.index >= self._index else 0
        if reading.payload is not None:
            self._version = reading.payload.outline.version
            return Ok(FeedReading(changed=(reading.payload,)))
        if reading.changed:
            return Ok(FeedReading())
        confirmed = SourceConfirmed(kind=self._kind, version=self._version)
        return Ok(FeedReading(confirmed=(confirmed,)))

    def restart(self) -> None:
        """Forget the cursor; see ``Feed``."""
        self._index = FIRST_INDEX


def read_document(
    platform: Platform,
    *,
    kind: DocumentKind,
    index: int,
    wait: float,
) -> Result[Reading[SourceRead], ReadFailure]:
    """Read one document from the platform.

    Args:
        platform: read from.
        kind: which document.
        index: cursor of the watch, 0 to read now.
        wait: seconds that the platform may hold the read.

    Returns:
        The outline that the platform names, with the blobs that came along.
    """
    if kind is DocumentKind.configuration:
        manifest = platform.read_manifest(index=index, wait=wait)
        return manifest.map(_outline_manifest)
    listing = platform.read_instances(index=index, wait=wait)
    return listing.map(_outline_list)


def make_read(
    kind: DocumentKind,
    *,
    version: Version,
    blobs: Mapping[str, bytes],
) -> SourceRead:
    """Make what a platform gave into an offer of a whole version.

    Args:
        kind: which document.
        version: its version.
        blobs: by name, the bytes.

    Returns:
        The outline with all its blobs.
    """
    entries = {name: hash_part(blob) for name, blob in blobs.items()}
    outline = Outline(kind=kind, version=version, entries=entries)
    return SourceRead(outline=outline, blobs=tuple(blobs.values()))


def _outline_manifest(reading: Reading[Manifest]) -> Reading[SourceRead]:
    manifest = reading.payload
    if manifest is None:
        return _pass_empty(reading)
    entries = {
        name: Digest(bytes.fromhex(digest))
        for name, digest in manifest.parts.items()
    }
    outline = Outline(
        kind=DocumentKind.configuration,
        version=Version(manifest.version),
        entries=entries,
    )
    return Reading(index=reading.index, payload=SourceRead(outline=outline))


def _outline_list(reading: Reading[InstanceList]) -> Reading[SourceRead]:
    listing = reading.payload
    if listing is None:
        return _pass_empty(reading)
    read = make_read(
        DocumentKind.instances,
        version=Version(listing.index),
        blobs=encode_list(listing),
    )
    return Reading(index=reading.index, payload=read)


def _pass_empty(reading: Reading[Any]) -> Reading[SourceRead]:
    return Reading(
        index=reading.index,
        payload=None,
        changed=reading.changed,
    )
