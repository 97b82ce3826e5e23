"""The tasks that read the platform: some watch, one fetches when asked."""

from __future__ import annotations

import threading
from typing import TYPE_CHECKING, Any, Final

from result import Err, Ok, Result

from wagtaildale.distribution.messages import (
    ReadBlobs,
    ReadSource,
    SourceBlobs,
    SourceFailed,
    Watch,
)
from wagtaildale.errors.codes import Code
from wagtaildale.source.pacing import FIRST_CAP, Backoff, TokenBucket
from wagtaildale.source.platform import Platform, ReadFailure
from wagtaildale.timers.inbox import Inbox
from wagtaildale.timers.service import read_clock
from wagtaildale.types import Digest

if TYPE_CHECKING:
    from collections.abc import Sequence

    from wagtaildale.source.feed import Feed, FeedReading

# How long a task without orders sleeps; ``stop`` ends it sooner.
IDLE_SECONDS: Final = 30.0
WATCH_RATE: Final = 2.0
WATCH_BURST: Final = 4.0
FOREMOST_RATE: Final = 90.0
FOREMOST_BURST: Final = 90.0
FETCH_RATE: Final = 8.0
FETCH_BURST: Final = 8.0


class WatchTask:
    """Watches a feed while this node is appointed a reader.

    Failure guarded here: a planned stop is over and the process stays for
    half a minute, since a task sleeps in its backoff from a platform that
    is down. Every wait of these tasks ends with ``stop``.
    """

    def __init__(
        self,
        feed: Feed,
        *,
        outbox: Inbox[Any],
        wait: float,
        first_cap: float = FIRST_CAP,
        gather: float = 0,
    ) -> None:
        """Begin without an appointment.

        Args:
            feed: read from; belongs to this task.
            outbox: of the distribution task.
            wait: seconds that the platform may hold a watch.
            first_cap: longest delay after one failed read, seconds.
            gather: seconds to wait for further changes after one.
        """
        self.inbox: Inbox[Watch | None] = Inbox()
        self.feed = feed
        self.backoff = Backoff(first_cap=first_cap)
        self.reads = 0
        self._outbox = outbox
        self._wait = wait
        self._gather = gather
        self._gathered = float(0)
        self._appointed = False
        self._stopping = threading.Event()

    def run(self) -> None:
        """Watch whenever appointed, until stopped."""
        bucket = TokenBucket(
            rate=WATCH_RATE,
            burst=WATCH_BURST,
            now=read_clock(),
        )
        while not self._stopping.is_set():
            if not self._take_orders():
                self.feed.restart()
                continue
            self._stopping.wait(bucket.take(now=read_clock()))
            self._watch()

    def stop(self) -> None:
        """End ``run`` when the watch under way returns."""
        self._stopping.set()
        self.inbox.put(None)

    def _take_orders(self) -> bool:
        timeout = 0 if self._appointed else IDLE_SECONDS
        order = self.inbox.take(timeout=timeout)
        if order is not None:
            self._appointed = order.appointed
        return self._appointed

    def _watch(self) -> None:
        self.reads += 1
        # Failure: others count from a reader's last word, and take it for
        # lost if it waits for further changes and for a whole watch besides.
        read = self.feed.read(wait=self._wait - self._gathered)
        self._gathered = 0
        if isinstance(read, Err):
            # After any failure the cursor starts anew: the platform may
            # have restarted, or have changed unseen.
            self.feed.restart()
            _report(self._outbox, self.feed, read.err_value)
            self._stopping.wait(self.backoff.draw())
            return
        self.backoff.reset()
        _pass_on(self._outbox, read.ok_value)
        if read.ok_value.changed:
            self._gathered = self._gather
            self._stopping.wait(self._gather)


class FetchTask:
    """Reads blobs, and documents once, when asked."""

    def __init__(
        self,
        feeds: Sequence[Feed],
        *,
        platform: Platform | None,
        outbox: Inbox[Any],
    ) -> None:
        """Begin idle.

        Args:
            feeds: read from; belong to this task.
            platform: has single parts; nothing where documents come whole.
            outbox: of the distribution task.
        """
        self.inbox: Inbox[ReadBlobs | ReadSource | None] = Inbox()
        self.reads = 0
        self._feeds = {kind: feed for feed in feeds for kind in feed.kinds}
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
            first = self.inbox.take(timeout=IDLE_SECONDS)
            orders = [] if first is None else [first, *self.inbox.take_all()]
            asked = [each for each in orders if isinstance(each, ReadSource)]
            # One read gives every document of a feed.
            feeds = {self._feeds[each.kind] for each in asked}
            for feed in feeds:
                self._read(feed)
            for order in orders:
                if isinstance(order, ReadBlobs):
                    self._fetch(order)

    def stop(self) -> None:
        """End ``run`` after the order under way."""
        self._stopping.set()
        self.inbox.put(None)

    def _read(self, feed: Feed) -> None:
        self._stopping.wait(self._buckets[False].take(now=read_clock()))
        feed.restart()
        self.reads += 1
        read = feed.read(wait=0)
        if isinstance(read, Err):
            _report(self._outbox, feed, read.err_value)
        else:
            _pass_on(self._outbox, read.ok_value)

    def _fetch(self, order: ReadBlobs) -> None:
        blobs: list[bytes] = []
        missing: list[Digest] = []
        for digest in order.digests:
            blob = self._fetch_one(order, digest)
            if isinstance(blob, Err):
                _report(self._outbox, self._feeds[order.kind], blob.err_value)
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
            self._buckets[order.is_first_reader].take(now=read_clock())
        )
        if self._platform is None:
            return Ok(None)
        self.reads += 1
        read = self._platform.read_part(digest.hex())
        if isinstance(read, Ok):
            self._backoff.reset()
        return read


def _pass_on(outbox: Inbox[Any], reading: FeedReading) -> None:
    for message in (*reading.flawed, *reading.changed, *reading.confirmed):
        outbox.put(message)


def _report(outbox: Inbox[Any], feed: Feed, failure: ReadFailure) -> None:
    for kind in feed.kinds:
        outbox.put(
            SourceFailed(kind=kind, code=failure.code, detail=failure.detail),
        )
