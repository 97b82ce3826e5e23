"""The tasks that read the platform: two that watch, one that fetches."""

from __future__ import annotations

import threading
from typing import TYPE_CHECKING, Any, Final

from result import Err, Ok, Result

from wagtaildale.distribution.messages import (
    ReadBlobs,
    ReadSource,
    SourceBlobs,
    SourceConfirmed,
    SourceFailed,
    SourceRead,
    Watch,
)
from wagtaildale.document.model import Outline
from wagtaildale.errors.codes import Code
from wagtaildale.membership.records import InstanceList, encode_list
from wagtaildale.source.pacing import Backoff, TokenBucket
from wagtaildale.source.platform import Platform, ReadFailure, Reading
from wagtaildale.timers.inbox import Inbox
from wagtaildale.timers.service import read_clock
from wagtaildale.configuration.compiled import hash_part
from wagtaildale.types import NO_VERSION, Digest, Kind, Version

if TYPE_CHECKING:
    from wagtaildale.configuration.model import Manifest

IDLE_SECONDS: Final = 0.5
WATCH_RATE: Final = 2.0
WATCH_BURST: Final = 4.0
FOREMOST_RATE: Final = 90.0
FOREMOST_BURST: Final = 90.0
FETCH_RATE: Final = 8.0
FETCH_BURST: Final = 8.0


def read_document(
    platform: Platform,
    *,
    kind: Kind,
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
    if kind is Kind.configuration:
        manifest = platform.read_manifest(index=index, wait=wait)
        return manifest.map(_outline_manifest)
    listing = platform.read_instances(index=index, wait=wait)
    return listing.map(_outline_list)


def _outline_manifest(reading: Reading[Manifest]) -> Reading[SourceRead]:
    manifest = reading.payload
    if manifest is None:
        return _pass_empty(reading)
    entries = {
        name: Digest(bytes.fromhex(digest))
        for name, digest in manifest.parts.items()
    }
    outline = Outline(
        kind=Kind.configuration,
        version=Version(manifest.version),
        entries=entries,
    )
    return Reading(index=reading.index, payload=SourceRead(outline=outline))


def _outline_list(reading: Reading[InstanceList]) -> Reading[SourceRead]:
    listing = reading.payload
    if listing is None:
        return _pass_empty(reading)
    blobs = encode_list(listing)
    outline = Outline(
        kind=Kind.instances,
        version=Version(listing.index),
        entries={name: hash_part(blob) for name, blob in blobs.items()},
    )
    read = SourceRead(outline=outline, blobs=tuple(blobs.values()))
    return Reading(index=reading.index, payload=read)


def _pass_empty(reading: Reading[Any]) -> Reading[SourceRead]:
    return Reading(
        index=reading.index,
        payload=None,
        changed=reading.changed,
    )


class WatchTask:
    """Watches one document while this node is appointed a reader.

    Failure guarded here: a planned stop is over and the process stays for
    half a minute, since a task sleeps in its backoff from a platform that
    is down. Every wait of these tasks ends with ``stop``.
    """

    def __init__(
        self,
        kind: Kind,
        *,
        platform: Platform,
        outbox: Inbox[Any],
        wait: float,
    ) -> None:
        """Begin without an appointment.

        Args:
            kind: which document.
            platform: read from; belongs to this task.
            outbox: of the distribution task.
            wait: seconds that the platform may hold a watch.
        """
        self.inbox: Inbox[Watch] = Inbox()
        self._kind = kind
        self._platform = platform
        self._outbox = outbox
        self._wait = wait
        self.backoff = Backoff()
        self._appointed = False
        self._version = NO_VERSION
        self._stopping = threading.Event()

    def run(self) -> None:
        """Watch whenever appointed, until stopped."""
        bucket = TokenBucket(
            rate=WATCH_RATE,
            burst=WATCH_BURST,
            now=read_clock(),
        )
        index = 0
        while not self._stopping.is_set():
            if not self._take_orders():
                index = 0
                continue
            self._stopping.wait(bucket.take(now=read_clock()))
            index = self._watch(index)

    def stop(self) -> None:
        """End ``run`` when the watch under way returns."""
        self._stopping.set()

    def _take_orders(self) -> bool:
        timeout = 0 if self._appointed else IDLE_SECONDS
        order = self.inbox.take(timeout=timeout)
        if order is not None:
            self._appointed = order.appointed
        return self._appointed

    def _watch(self, index: int) -> int:
        read = read_document(
            self._platform,
            kind=self._kind,
            index=index,
            wait=self._wait,
        )
        if isinstance(read, Err):
            _report(self._outbox, self._kind, read.err_value)
            self._stopping.wait(self.backoff.draw())
            # Failure: the platform restarts with a lower index, and a watch
            # from the old one would wait for ever. After any failure the
            # cursor starts anew.
            return 0
        self.backoff.reset()
        reading = read.ok_value
        if reading.payload is not None:
            self._version = reading.payload.outline.version
            self._outbox.put(reading.payload)
        elif not reading.changed:
            self._outbox.put(
                SourceConfirmed(kind=self._kind, version=self._version),
            )
        return reading.index if reading.index >= index else 0


class FetchTask:
    """Reads blobs, and documents once, when asked."""

    def __init__(self, *, platform: Platform, outbox: Inbox[Any]) -> None:
        """Begin idle.

        Args:
            platform: read from; belongs to this task.
            outbox: of the distribution task.
        """
        self.inbox: Inbox[ReadBlobs | ReadSource] = Inbox()
        self._platform = platform
        self._outbox = outbox
        self._stopping = threading.Event()
        now = read_clock()
        self._buckets = {
            True: TokenBucket(
                rate=FOREMOST_RATE,
                burst=FOREMOST_BURST,
                now=now,
            ),
            False: TokenBucket(rate=FETCH_RATE, burst=FETCH_BURST, now=now),
        }
        self._backoff = Backoff()

    def run(self) -> None:
        """Carry out orders until stopped."""
        while not self._stopping.is_set():
            order = self.inbox.take(timeout=IDLE_SECONDS)
            if isinstance(order, ReadBlobs):
                self._fetch(order)
            elif isinstance(order, ReadSource):
                self._read(order.kind)

    def stop(self) -> None:
        """End ``run`` after the order under way."""
        self._stopping.set()

    def _read(self, kind: Kind) -> None:
        self._stopping.wait(self._buckets[False].take(now=read_clock()))
        read = read_document(self._platform, kind=kind, index=0, wait=0)
        if isinstance(read, Err):
            _report(self._outbox, kind, read.err_value)
        elif read.ok_value.payload is not None:
            self._outbox.put(read.ok_value.payload)

    def _fetch(self, order: ReadBlobs) -> None:
        blobs: list[bytes] = []
        missing: list[Digest] = []
        for digest in order.digests:
            blob = self._fetch_one(order, digest)
            if isinstance(blob, Err):
                _report(self._outbox, order.kind, blob.err_value)
                self._stopping.wait(self._backoff.draw())
                break
            if blob.ok_value is None:
                missing.append(digest)
            else:
                blobs.append(blob.ok_value)
        message = SourceBlobs(
            kind=order.kind,
            blobs=tuple(blobs),
            missing=tuple(missing),
        )
        self._outbox.put(message)

    def _fetch_one(
        self,
        order: ReadBlobs,
        digest: Digest,
    ) -> Result[bytes | None, ReadFailure]:
        if self._stopping.is_set():
            detail = 'this node stops'
            return Err(ReadFailure(code=Code.draining, detail=detail))
        self._stopping.wait(
            self._buckets[order.foremost].take(now=read_clock())
        )
        read = self._platform.read_part(digest.hex())
        if isinstance(read, Ok):
            self._backoff.reset()
        return read


def _report(outbox: Inbox[Any], kind: Kind, failure: ReadFailure) -> None:
    outbox.put(
        SourceFailed(kind=kind, code=failure.code, detail=failure.detail),
    )
