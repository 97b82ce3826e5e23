"""The tasks that read the platform: watches, and fetches on request."""

from __future__ import annotations

import threading
from typing import TYPE_CHECKING, Any, Final

from msgspec import Struct
from result import Err, Ok, Result

from wagtaildale.distribution.messages import (
    ReadBlobs,
    ReadSource,
    SourceBlobs,
    SourceFailed,
    Watch,
)
from wagtaildale.errors.codes import Code
from wagtaildale.source.feed import read_feed
from wagtaildale.source.pacing import (
    USUAL_PACING,
    Backoff,
    RetryPacing,
    TokenBucket,
)
from wagtaildale.source.platform import Platform, ReadFailure, read_part
from wagtaildale.timers.inbox import Inbox
from wagtaildale.timers.service import read_clock
from wagtaildale.types import Digest

if TYPE_CHECKING:
    from collections.abc import Sequence

    from wagtaildale.source.feed import Feed, FeedReading

# Longest wait of a task without orders; ``stop`` ends it sooner.
IDLE_SECONDS: Final = 30.0
WATCHES_PER_SECOND: Final = 2.0
WATCH_BURST: Final = 4.0
FIRST_READER_FETCHES_PER_SECOND: Final = 90.0
FIRST_READER_BURST: Final = 90.0
FETCHES_PER_SECOND: Final = 8.0
FETCH_BURST: Final = 8.0


class ReadCounts(Struct, frozen=True, kw_only=True):
    """Number of reads of the platform, and of those that failed."""

    reads: int
    failed: int


class WatchTask:
    """Watches a feed while this node is an appointed reader.

    ``stop`` ends every wait of the reading tasks. Otherwise a task in its
    backoff from a platform that is down would keep the process alive for
    half a minute after a planned stop.
    """

    def __init__(
        self,
        feed: Feed,
        *,
        outbox: Inbox[Any],
        wait: float,
        pacing: RetryPacing = USUAL_PACING,
        gather_seconds: float = 0,
    ) -> None:
        """Create a task that is not appointed yet.

        Args:
            feed: feed to watch; used by this task only.
            outbox: inbox of the distribution task.
            wait: longest time that the platform holds a watch open, seconds.
            pacing: how long it waits after failed reads.
            gather_seconds: time to wait for further changes after a change,
                seconds.
        """
        self.inbox: Inbox[Watch | None] = Inbox()
        self.feed = feed
        self.backoff = Backoff(first_cap_seconds=pacing.first_cap_seconds)
        self.reads = 0
        self.failed_reads = 0
        self._outbox = outbox
        self._wait = wait
        self._rank_cap_seconds = pacing.rank_cap_seconds
        self._gather_seconds = gather_seconds
        self._gathered_seconds = float(0)
        self._appointed = False
        self._stopping = threading.Event()

    def run(self) -> None:
        """Watch while appointed, until stopped."""
        bucket = TokenBucket(
            rate=WATCHES_PER_SECOND,
            burst=WATCH_BURST,
            now=read_clock(),
        )
        while not self._stopping.is_set():
            if not self._take_order():
                self.feed.restart()
                continue
            self._stopping.wait(bucket.take(now=read_clock()))
            self._watch()

    def stop(self) -> None:
        """End ``run`` when the current watch returns."""
        self._stopping.set()
        self.inbox.put(None)

    def _take_order(self) -> bool:
        timeout = 0 if self._appointed else IDLE_SECONDS
        order = self.inbox.take(timeout=timeout)
        if order is not None:
            self._appointed = order.appointed
            self.backoff.limit((order.rank + 1) * self._rank_cap_seconds)
        return self._appointed

    def _watch(self) -> None:
        self.reads += 1
        # The time spent gathering further changes is taken off the watch.
        # Otherwise other nodes, which measure the time since the reader's
        # last message, would take the reader for lost.
        read = read_feed(self.feed, wait=self._wait - self._gathered_seconds)
        self._gathered_seconds = 0
        if isinstance(read, Err):
            # After any failure the cursor is reset: the platform may have
            # restarted, or have changed without notice.
            self.failed_reads += 1
            self.feed.restart()
            _put_failure(self._outbox, self.feed, read.err_value)
            self._stopping.wait(self.backoff.draw())
            return
        self.backoff.reset()
        _put_reading(self._outbox, read.ok_value)
        if read.ok_value.changed:
            self._gathered_seconds = self._gather_seconds
            self._stopping.wait(self._gather_seconds)


class FetchTask:
    """Reads blobs and whole documents on request."""

    def __init__(
        self,
        feeds: Sequence[Feed],
        *,
        platform: Platform | None,
        outbox: Inbox[Any],
    ) -> None:
        """Create a task without orders.

        Args:
            feeds: feeds to read documents from; used by this task only.
            platform: platform to read single parts from; None if documents
                are always read whole.
            outbox: inbox of the distribution task.
        """
        self.inbox: Inbox[ReadBlobs | ReadSource | None] = Inbox()
        self.reads = 0
        self.failed_reads = 0
        self._feeds = {kind: feed for feed in feeds for kind in feed.kinds}
        self._platform = platform
        self._outbox = outbox
        self._stopping = threading.Event()
        now = read_clock()
        self._buckets = {
            True: TokenBucket(
                rate=FIRST_READER_FETCHES_PER_SECOND,
                burst=FIRST_READER_BURST,
                now=now,
            ),
            False: TokenBucket(
                rate=FETCHES_PER_SECOND, burst=FETCH_BURST, now=now
            ),
        }
        self._backoff = Backoff()

    def run(self) -> None:
        """Execute orders until stopped."""
        while not self._stopping.is_set():
            first = self.inbox.take(timeout=IDLE_SECONDS)
            orders = [] if first is None else [first, *self.inbox.take_all()]
            source_orders = [
                each for each in orders if isinstance(each, ReadSource)
            ]
            # One read returns all documents of a feed.
            feeds = {self._feeds[each.kind] for each in source_orders}
            for feed in feeds:
                self._read(feed)
            for order in orders:
                if isinstance(order, ReadBlobs):
                    self._fetch(order)

    def stop(self) -> None:
        """End ``run`` after the current order."""
        self._stopping.set()
        self.inbox.put(None)

    def _read(self, feed: Feed) -> None:
        self._stopping.wait(self._buckets[False].take(now=read_clock()))
        feed.forget()
        self.reads += 1
        read = read_feed(feed, wait=0)
        if isinstance(read, Err):
            self.failed_reads += 1
            _put_failure(self._outbox, feed, read.err_value)
        else:
            _put_reading(self._outbox, read.ok_value)

    def _fetch(self, order: ReadBlobs) -> None:
        blobs: list[bytes] = []
        missing: list[Digest] = []
        for digest in order.digests:
            blob = self._fetch_one(order, digest)
            if isinstance(blob, Err):
                self.failed_reads += 1
                _put_failure(
                    self._outbox, self._feeds[order.kind], blob.err_value
                )
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
            detail = 'this node is stopping'
            return Err(ReadFailure(code=Code.draining, detail=detail))
        self._stopping.wait(
            self._buckets[order.is_first_reader].take(now=read_clock())
        )
        if self._platform is None:
            return Ok(None)
        self.reads += 1
        read = read_part(self._platform, digest.hex())
        if isinstance(read, Ok):
            self._backoff.reset()
        return read


def _put_reading(outbox: Inbox[Any], reading: FeedReading) -> None:
    for message in (
        *reading.contradicted,
        *reading.refused,
        *reading.changed,
        *reading.confirmed,
    ):
        outbox.put(message)


def _put_failure(outbox: Inbox[Any], feed: Feed, failure: ReadFailure) -> None:
    for kind in feed.kinds:
        outbox.put(
            SourceFailed(kind=kind, code=failure.code, detail=failure.detail),
        )
