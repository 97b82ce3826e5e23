"""Reads the platform's key-value store over HTTP."""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING, Final, Protocol
from urllib.parse import quote

from msgspec import json
from result import Err, Ok, Result

from wagtaildale.decoding.base64_texts import decode_base64
from wagtaildale.document.eras import (
    Era,
    find_era,
    find_revision,
    make_version,
)
from wagtaildale.errors.codes import Code
from wagtaildale.platform.answers import (
    AnswerType,
    Changes,
    Page,
    StoredEntry,
    decode_answer,
)
from wagtaildale.platform.configuration import (
    decode_configuration,
    list_slow_starting,
)
from wagtaildale.platform.instances import (
    EVACUATION_PREFIX,
    DecodingContext,
    decode_instance,
    list_evacuated,
)
from wagtaildale.source.curl import Answer, CurlClient
from wagtaildale.source.platform import ReadFailure, make_read_failure
from wagtaildale.source.store import (
    Store,
    StoredDocument,
    StoreEntry,
    StoreReading,
)
from wagtaildale.types import NO_VERSION, DocumentKind, Version

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

    from wagtaildale.decoding.failures import DecodingFailure
    from wagtaildale.membership.records import InstanceRecord
    from wagtaildale.settings.model import Settings

CONFIGURATION_KEY: Final = 'op/config'
INSTANCE_PREFIX: Final = 'servers/'
MILLISECONDS: Final = 1000


class HttpClient(Protocol):
    """Sends GET requests to the store."""

    def get(
        self,
        url: str,
        *,
        hold_seconds: float,
        idle_timeout_seconds: float,
    ) -> Result[Answer, ReadFailure]:
        """Send a GET request and wait for its response.

        Args:
            url: URL to get.
            hold_seconds: longest time that the server holds the response back,
                seconds.
            idle_timeout_seconds: longest time without a byte of the response
                beyond that, seconds.

        Returns:
            The response, or why there is none.
        """


class PlatformStore(Store):
    """Reads the store over one keep-alive connection; used by one task only."""

    def __init__(
        self,
        settings: Settings,
        *,
        regions: dict[str, str],
        client: HttpClient | None = None,
    ) -> None:
        """Prepare a connection; nothing is sent yet.

        Args:
            settings: settings of this daemon.
            regions: region of each data centre.
            client: HTTP client; one that uses libcurl if left out.
        """
        idle_timeout_seconds = settings.bounds.idle_read_seconds
        self._url = settings.platform.url
        self._settings = settings
        self._regions = regions
        self._idle_timeout_seconds = idle_timeout_seconds
        self._client: HttpClient = client or CurlClient(
            connect_timeout_ms=round(idle_timeout_seconds * MILLISECONDS),
        )

    def read_all(self) -> Result[StoreReading, ReadFailure]:
        """Read all items, page by page; see ``Store``.

        Returns:
            The items, or why they were not read.
        """
        return self._read_pages()

    def read_list(self) -> Result[StoreReading, ReadFailure]:
        """Read the items behind the configuration; see ``Store``.

        Returns:
            All items of the instance list, or why they were not read.
        """
        # The keys of the list come behind that of the configuration, which is
        # far larger than all others.
        return self._read_pages(after_key=CONFIGURATION_KEY)

    def watch(
        self,
        *,
        revision: int,
        wait: float,
    ) -> Result[StoreReading, ReadFailure]:
        """Wait for changes; see ``Store``.

        Args:
            revision: revision after which changes are returned.
            wait: longest time that the store holds the call open, seconds.

        Returns:
            Items that have changed, or why the watch failed.
        """
        wait_ms = max(1, round(wait * MILLISECONDS))
        path = f'/kv-watch?prefix=&after={revision}&waitMs={wait_ms}'
        response = self._call(path, wait, Changes)
        if isinstance(response, Err):
            return response
        changes, era = response.ok_value
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
            key: key of an item.
            kind: the document.

        Returns:
            Whether a change of the item changes the document.
        """
        if kind is DocumentKind.configuration:
            return key == CONFIGURATION_KEY
        return key.startswith((INSTANCE_PREFIX, EVACUATION_PREFIX))

    def make_document(
        self,
        kind: DocumentKind,
        *,
        entries: Mapping[str, StoreEntry],
        version: Version,
    ) -> Result[StoredDocument, ReadFailure]:
        """Build a document from the store's items; see ``Store``.

        Args:
            kind: document to build.
            entries: all items of the store, by key.
            version: version made from the store's revision.

        Returns:
            The document, or why it cannot be built.
        """
        if kind is DocumentKind.configuration:
            return _build_configuration(entries)
        return Ok(self._build_instance_list(entries, version))

    def _read_pages(
        self, *, after_key: str = ''
    ) -> Result[StoreReading, ReadFailure]:
        pages: list[tuple[Page, Era]] = []
        while not pages or pages[-1][0].has_more:
            if pages:
                after_key = pages[-1][0].last_key
            path = f'/kv-range?prefix=&after={quote(after_key, safe="")}'
            response = self._call(path, 0, Page)
            read = response.and_then(partial(_check_page, after_key=after_key))
            if isinstance(read, Err):
                return read
            pages.append(read.ok_value)
        return _join_pages(pages)

    def _build_instance_list(
        self,
        entries: Mapping[str, StoreEntry],
        version: Version,
    ) -> StoredDocument:
        blobs: dict[str, bytes] = {}
        failures: list[ReadFailure] = []
        context = DecodingContext(
            settings=self._settings,
            regions=self._regions,
            slow_starting=_list_slow_starting(entries),
            evacuated=list_evacuated(entries),
        )
        for key, entry in entries.items():
            if not key.startswith(INSTANCE_PREFIX):
                continue
            decoded = _decode_record(entry, context)
            if isinstance(decoded, Err):
                # Skip an unreadable entry: it must not keep the whole
                # instance list from every node.
                failures.append(_describe_entry(entry, decoded.err_value))
            else:
                record = decoded.ok_value
                blobs[record.instance] = json.encode(record)
        return StoredDocument(
            version=version,
            blobs=blobs,
            failures=tuple(failures),
        )

    def _call(
        self,
        path: str,
        wait: float,
        answer_type: type[AnswerType],
    ) -> Result[tuple[AnswerType, Era], ReadFailure]:
        response = self._client.get(
            f'{self._url}{path}',
            hold_seconds=wait,
            idle_timeout_seconds=self._idle_timeout_seconds,
        )
        if isinstance(response, Err):
            return response
        return decode_answer(response.ok_value, answer_type)


def _build_configuration(
    entries: Mapping[str, StoreEntry],
) -> Result[StoredDocument, ReadFailure]:
    entry = entries.get(CONFIGURATION_KEY)
    if entry is None or entry.payload is None:
        return Ok(StoredDocument(version=NO_VERSION, blobs={}))
    return decode_configuration(entry.payload).map_err(make_read_failure)


def _describe_entry(entry: StoreEntry, failure: DecodingFailure) -> ReadFailure:
    return ReadFailure(
        code=failure.code,
        detail=f'{entry.key} at {entry.revision}: {failure.detail}',
    )


def _decode_record(
    entry: StoreEntry, context: DecodingContext
) -> Result[InstanceRecord, DecodingFailure]:
    return decode_instance(
        entry.key.removeprefix(INSTANCE_PREFIX),
        entry.payload or b'',
        created=entry.created,
        context=context,
    )


def _list_slow_starting(entries: Mapping[str, StoreEntry]) -> frozenset[str]:
    configuration = entries.get(CONFIGURATION_KEY)
    if configuration is None or configuration.payload is None:
        return frozenset()
    return list_slow_starting(configuration.payload)


def _decode_entry(entry: StoredEntry) -> StoreEntry:
    payload = None if entry.tombstone else _decode_payload(entry.encoded)
    return StoreEntry(
        key=entry.key,
        payload=payload,
        revision=entry.revision,
        created=entry.created,
    )


def _decode_payload(encoded: str) -> bytes:
    decoded = decode_base64(encoded, code=Code.part_corrupt)
    # A value that is not base64 is passed on as it is: decoding the document
    # reports that it cannot be read.
    return decoded.unwrap_or(encoded.encode())


def _check_page(
    read: tuple[Page, Era], *, after_key: str
) -> Result[tuple[Page, Era], ReadFailure]:
    # Without this, the rest of the list would be taken for removed.
    page = read[0]
    if page.has_more and page.last_key <= after_key:
        detail = f'got no items after {after_key!r}, expected more'
        return Err(ReadFailure(code=Code.part_corrupt, detail=detail))
    return Ok(read)


def _join_pages(
    pages: Sequence[tuple[Page, Era]],
) -> Result[StoreReading, ReadFailure]:
    # A page may also be older than the one before it.
    versions = sorted(
        make_version(era, revision=page.store_revision) for page, era in pages
    )
    first, last = versions[0], versions[-1]
    era = find_era(first)
    if find_era(last) != era:
        detail = 'the store was restored from an older copy between two pages'
        return Err(ReadFailure(code=Code.history_gone, detail=detail))
    return Ok(
        StoreReading(
            entries=tuple(
                _decode_entry(entry)
                for page, _era in pages
                for entry in page.entries
            ),
            revision=find_revision(first),
            is_snapshot=first == last,
            era=era,
        ),
    )
