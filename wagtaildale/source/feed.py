"""Feeds: the interface through which watch tasks read documents.

Where a platform has a key for each document, a feed covers one document.
Where one watch covers both documents, one feed covers both and needs only
one long poll.
"""

from __future__ import annotations

from abc import ABC, abstractmethod
from typing import TYPE_CHECKING, Any, Final

from msgspec import Struct
from result import Err, Ok, Result

from wagtaildale.configuration.compiled import hash_part
from wagtaildale.decoding.failures import describe_error
from wagtaildale.distribution.messages import (
    EntryRefused,
    SourceContradicted,
    SourceConfirmed,
    SourceRead,
)
from wagtaildale.document.model import Outline
from wagtaildale.errors.codes import Code
from wagtaildale.membership.records import InstanceList, encode_list
from wagtaildale.source.platform import (
    Platform,
    ReadFailure,
    Reading,
    make_read_failure,
)
from wagtaildale.types import NO_VERSION, Digest, DocumentKind, Version

if TYPE_CHECKING:
    from collections.abc import Mapping

    from wagtaildale.configuration.model import Manifest

FIRST_INDEX: Final = 0
# A list of thousands of instances is most of a megabyte.
WATCHES_PER_FULL_READ: Final = 200


class FeedReading(Struct, frozen=True, kw_only=True):
    """Result of one read of a feed.

    Attributes:
        changed: documents that have changed since the previous read.
        confirmed: documents that are known not to have changed, the
            configuration last: its confirmation makes the reader inform the
            other nodes, and the state of the instance list that it sends
            them should not come from an older read.
        refused: entries that cannot be read and were not reported before.
        contradicted: answers that contradict earlier ones.
    """

    changed: tuple[SourceRead, ...] = ()
    confirmed: tuple[SourceConfirmed, ...] = ()
    refused: tuple[EntryRefused, ...] = ()
    contradicted: tuple[SourceContradicted, ...] = ()


class Feed(ABC):
    """Reads the documents of one watch on a platform; used by one task only.

    Attributes:
        kinds: documents that the feed covers.
    """

    kinds: tuple[DocumentKind, ...]

    @abstractmethod
    def read(self, *, wait: float) -> Result[FeedReading, ReadFailure]:
        """Wait for changes since the last read and read them.

        Args:
            wait: longest time that the platform holds the read open,
                seconds; the first read returns at once.

        Returns:
            Changed and unchanged documents, or why nothing was read.
        """

    @abstractmethod
    def restart(self) -> None:
        """Start over: the platform may have changed without notice.

        The next read returns all documents, unless the platform can still
        report what has changed since the last read.
        """

    def forget(self) -> None:
        """Drop what was read; the next read returns all documents."""
        self.restart()


def read_feed(feed: Feed, *, wait: float) -> Result[FeedReading, ReadFailure]:
    """Read a feed; an error that nothing expects is a failed read.

    Without this, it would end the task and with it the process, and the next
    process would read the same from the platform and end too.

    Args:
        feed: feed to read.
        wait: longest time that the platform holds the read open, seconds.

    Returns:
        What the feed returned, or why nothing was read.
    """
    try:
        return feed.read(wait=wait)
    except Exception as error:
        feed.forget()
        failure = describe_error(error, code=Code.read_defect)
        return Err(make_read_failure(failure))


class DocumentFeed(Feed):
    """Feed of one document, for platforms with a key for each document."""

    def __init__(self, kind: DocumentKind, *, platform: Platform) -> None:
        """Create a feed that has read nothing yet.

        Args:
            kind: document to read.
            platform: platform to read from; used by this feed only.
        """
        self.kinds = (kind,)
        self._kind = kind
        self._platform = platform
        self._index = FIRST_INDEX
        self._version = NO_VERSION
        self._watches_left = WATCHES_PER_FULL_READ

    def read(self, *, wait: float) -> Result[FeedReading, ReadFailure]:
        """Read the document; see ``Feed``.

        After every few watches it is read without the cursor. Otherwise a
        change that the cursor has passed would never be read.

        Args:
            wait: longest time that the platform holds the read open,
                seconds.

        Returns:
            The document if it has changed, or why it was not read.
        """
        if not self._watches_left:
            self.restart()
        self._watches_left -= 1
        read = read_document(
            self._platform,
            kind=self._kind,
            index=self._index,
            wait=wait,
        )
        if isinstance(read, Err):
            return read
        reading = read.ok_value
        # The index is lower after a restart of the platform; a watch from
        # the old index would never return.
        self._index = reading.index if reading.index >= self._index else 0
        if reading.payload is not None:
            self._version = reading.payload.outline.version
            return Ok(FeedReading(changed=(reading.payload,)))
        if reading.changed:
            return Ok(FeedReading())
        confirmed = SourceConfirmed(kind=self._kind, version=self._version)
        return Ok(FeedReading(confirmed=(confirmed,)))

    def restart(self) -> None:
        """Reset the cursor of the watch; see ``Feed``."""
        self._index = FIRST_INDEX
        self._watches_left = WATCHES_PER_FULL_READ


def read_document(
    platform: Platform,
    *,
    kind: DocumentKind,
    index: int,
    wait: float,
) -> Result[Reading[SourceRead], ReadFailure]:
    """Read one document from the platform.

    Args:
        platform: platform to read from.
        kind: document to read.
        index: cursor of the watch; 0 to read at once.
        wait: longest time that the platform holds the read open, seconds.

    Returns:
        The published outline, with the blobs that the read returned.
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
    is_whole: bool = False,
) -> SourceRead:
    """Build the message for a version whose blobs were all read.

    Args:
        kind: document that was read.
        version: version of the document.
        blobs: contents of the entries, by entry name.
        is_whole: whether they were read as a whole; see ``Outline``.

    Returns:
        The outline with all its blobs.
    """
    entries = {name: hash_part(blob) for name, blob in blobs.items()}
    outline = Outline(
        kind=kind, version=version, entries=entries, is_whole=is_whole
    )
    return SourceRead(outline=outline, blobs=tuple(blobs.values()))


def _outline_manifest(reading: Reading[Manifest]) -> Reading[SourceRead]:
    manifest = reading.payload
    if manifest is None:
        return _make_empty_reading(reading)
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
        return _make_empty_reading(reading)
    read = make_read(
        DocumentKind.instances,
        version=Version(listing.index),
        blobs=encode_list(listing),
    )
    return Reading(index=reading.index, payload=read)


def _make_empty_reading(reading: Reading[Any]) -> Reading[SourceRead]:
    return Reading(
        index=reading.index,
        payload=None,
        changed=reading.changed,
    )
