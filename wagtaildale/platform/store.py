"""The calls of the platform's store."""

from __future__ import annotations

from base64 import b64decode
from typing import TYPE_CHECKING, Final, Protocol, TypeVar
from urllib.parse import quote

from msgspec import MsgspecError, Struct, field, json
from result import Err, Ok, Result

from wagtaildale.document.eras import (
    FIRST_ERA,
    Era,
    find_era,
    find_revision,
    make_version,
)
from wagtaildale.errors.codes import Code
from wagtaildale.platform.configuration import decode_configuration
from wagtaildale.platform.instances import decode_instance
from wagtaildale.source.curl import Answer, CurlReader
from wagtaildale.source.http import describe_status
from wagtaildale.source.platform import ReadFailure
from wagtaildale.source.store import (
    Store,
    StoredDocument,
    StoreEntry,
    StoreReading,
)
from wagtaildale.types import NO_VERSION, DocumentKind, Version

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

    from wagtaildale.membership.records import InstanceRecord
    from wagtaildale.settings.model import Settings

CONFIGURATION_KEY: Final = 'op/config'
INSTANCE_PREFIX: Final = 'servers/'
OK_STATUS: Final = 200
GONE_STATUS: Final = 410
MILLISECONDS: Final = 1000
# In every answer; rises when the store comes back from an older copy.
ERA_HEADER: Final = 'store-era:'
ERA_DIGITS: Final = 6

Shape = TypeVar('Shape')


class StoredEntry(Struct, frozen=True, kw_only=True):
    """An item, or a change of one.

    Attributes:
        key: its key.
        revision: of its last change.
        created: revision of its creation.
        encoded: its bytes in base64; missing where the item was removed.
        tombstone: whether it was removed.
    """

    key: str
    revision: int
    created: int = 0
    encoded: str = field(name='value', default='')
    tombstone: bool = False


class Page(Struct, frozen=True, kw_only=True, rename='camel'):
    """An answer to a read of a range.

    Attributes:
        entries: on this page; the platform calls them items.
        has_more: whether more pages follow.
        store_revision: of the store as the page was read.
    """

    entries: tuple[StoredEntry, ...] = field(name='items')
    has_more: bool
    store_revision: int


class Changes(Struct, frozen=True, kw_only=True, rename='camel'):
    """An answer to a watch.

    Attributes:
        events: changes, oldest first.
        store_revision: from which the next watch goes on.
    """

    events: tuple[StoredEntry, ...]
    store_revision: int


class Reader(Protocol):
    """Sends one call and waits for its answer."""

    def ask(self, url: str, *, seconds: float) -> Result[Answer, ReadFailure]:
        """Send a GET.

        Args:
            url: of the call.
            seconds: that it may take.

        Returns:
            The answer, or why there is none.
        """


class PlatformStore(Store):
    """Reads the store by one kept-alive connection; belongs to one task."""

    def __init__(
        self,
        settings: Settings,
        *,
        regions: dict[str, str],
        reader: Reader | None = None,
    ) -> None:
        """Prepare a connection; nothing is sent yet.

        Args:
            settings: of this daemon.
            regions: by data centre.
            reader: sends the calls; one by libcurl if there is none.
        """
        answer_seconds = settings.bounds.read_seconds
        self._url = settings.platform.url
        self._settings = settings
        self._regions = regions
        self._answer_seconds = answer_seconds
        self._reader: Reader = reader or CurlReader(
            connect_ms=round(answer_seconds * MILLISECONDS),
        )

    def read_all(self) -> Result[StoreReading, ReadFailure]:
        """Read every item, page by page; see ``Store``.

        Returns:
            The items, or why not.
        """
        entries: list[StoredEntry] = []
        versions: list[Version] = []
        more = True
        while more:
            after = quote(entries[-1].key, safe='') if entries else ''
            asked = self._ask(f'/kv-range?prefix=&after={after}', 0, Page)
            if isinstance(asked, Err):
                return asked
            page, era = asked.ok_value
            entries.extend(page.entries)
            versions.append(make_version(era, revision=page.store_revision))
            more = page.has_more and bool(page.entries)
        return _join_pages(entries, versions)

    def watch(
        self,
        *,
        revision: int,
        wait: float,
    ) -> Result[StoreReading, ReadFailure]:
        """Wait for changes; see ``Store``.

        Args:
            revision: after which changes are wanted.
            wait: seconds that the store may hold the call.

        Returns:
            What has changed, or why not.
        """
        wait_ms = max(1, round(wait * MILLISECONDS))
        path = f'/kv-watch?prefix=&after={revision}&waitMs={wait_ms}'
        asked = self._ask(path, wait, Changes)
        if isinstance(asked, Err):
            return asked
        changes, era = asked.ok_value
        return Ok(
            StoreReading(
                entries=tuple(_decode_entry(entry) for entry in changes.events),
                revision=changes.store_revision,
                era=era,
            ),
        )

    def is_part_of(self, key: str, kind: DocumentKind) -> bool:
        """Tell whether a key belongs to a document; see ``Store``.

        Args:
            key: of an item.
            kind: the document.

        Returns:
            Whether a change of it changes the document.
        """
        if kind is DocumentKind.configuration:
            return key == CONFIGURATION_KEY
        return key.startswith(INSTANCE_PREFIX)

    def make_document(
        self,
        kind: DocumentKind,
        *,
        entries: Mapping[str, StoreEntry],
        version: Version,
    ) -> Result[StoredDocument, ReadFailure]:
        """Make a document from the store's items; see ``Store``.

        Args:
            kind: which document.
            entries: by key, everything.
            version: of the store.

        Returns:
            The document, or what of it cannot be read.
        """
        try:
            document = self._make(kind, entries, version)
        except (MsgspecError, ValueError) as error:
            return Err(ReadFailure(code=Code.part_corrupt, detail=str(error)))
        return Ok(document)

    def _make(
        self,
        kind: DocumentKind,
        entries: Mapping[str, StoreEntry],
        version: Version,
    ) -> StoredDocument:
        if kind is DocumentKind.configuration:
            return self._make_configuration(entries)
        return self._make_list(entries, version)

    def _make_configuration(
        self,
        entries: Mapping[str, StoreEntry],
    ) -> StoredDocument:
        entry = entries.get(CONFIGURATION_KEY)
        if entry is None or entry.payload is None:
            return StoredDocument(version=NO_VERSION, blobs={})
        version, blobs = decode_configuration(entry.payload)
        return StoredDocument(version=Version(version), blobs=blobs)

    def _make_list(
        self,
        entries: Mapping[str, StoreEntry],
        version: Version,
    ) -> StoredDocument:
        blobs: dict[str, bytes] = {}
        flaws: list[ReadFailure] = []
        for key, entry in entries.items():
            if not key.startswith(INSTANCE_PREFIX):
                continue
            try:
                record = self._decode_record(entry)
            except (MsgspecError, ValueError) as error:
                # Failure: one entry cannot be read, and no node learns of
                # any instance any more. The others are taken without it.
                detail = f'{key} at {entry.revision}: {error}'
                flaws.append(
                    ReadFailure(code=Code.part_corrupt, detail=detail),
                )
            else:
                blobs[record.instance] = json.encode(record)
        return StoredDocument(
            version=version,
            blobs=blobs,
            flaws=tuple(flaws),
        )

    def _decode_record(self, entry: StoreEntry) -> InstanceRecord:
        return decode_instance(
            entry.key.removeprefix(INSTANCE_PREFIX),
            entry.payload or b'',
            created=entry.created,
            settings=self._settings,
            regions=self._regions,
        )

    def _ask(
        self,
        path: str,
        wait: float,
        shape: type[Shape],
    ) -> Result[tuple[Shape, Era], ReadFailure]:
        asked = self._reader.ask(
            f'{self._url}{path}',
            seconds=wait + self._answer_seconds,
        )
        if isinstance(asked, Err):
            return asked
        return _decode_answer(asked.ok_value, shape)


def _decode_entry(entry: StoredEntry) -> StoreEntry:
    payload = None if entry.tombstone else _decode_payload(entry.encoded)
    return StoreEntry(
        key=entry.key,
        payload=payload,
        revision=entry.revision,
        created=entry.created,
    )


def _decode_payload(encoded: str) -> bytes:
    try:
        return b64decode(encoded, validate=True)
    except ValueError:
        # Whoever makes a document of it says that it cannot be read.
        return encoded.encode()


def _join_pages(
    entries: Sequence[StoredEntry],
    versions: Sequence[Version],
) -> Result[StoreReading, ReadFailure]:
    first, last = versions[0], versions[-1]
    era = find_era(first)
    if find_era(last) != era:
        detail = 'the store came back from an older copy between two pages'
        return Err(ReadFailure(code=Code.history_gone, detail=detail))
    return Ok(
        StoreReading(
            entries=tuple(_decode_entry(entry) for entry in entries),
            revision=find_revision(first),
            is_snapshot=first == last,
            era=era,
        ),
    )


def _decode_answer(
    answer: Answer,
    shape: type[Shape],
) -> Result[tuple[Shape, Era], ReadFailure]:
    if answer.status == GONE_STATUS:
        detail = 'the store has dropped that history'
        return Err(ReadFailure(code=Code.history_gone, detail=detail))
    if answer.status != OK_STATUS:
        return Err(describe_status(answer.status))
    try:
        decoded = json.decode(answer.body, type=shape)
    except MsgspecError as error:
        return Err(ReadFailure(code=Code.part_corrupt, detail=str(error)))
    return _find_era(answer).map(lambda era: (decoded, era))


def _find_era(answer: Answer) -> Result[Era, ReadFailure]:
    named = [line for line in answer.headers if line.startswith(ERA_HEADER)]
    if not named:
        return Ok(FIRST_ERA)
    digits = named[-1].removeprefix(ERA_HEADER).strip()
    if digits.isdecimal() and len(digits) <= ERA_DIGITS:
        return Ok(Era(int(digits)))
    detail = f'got era {digits!r}, expected a count of its returns'
    return Err(ReadFailure(code=Code.part_corrupt, detail=detail))
