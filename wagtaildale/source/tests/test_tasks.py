"""Tests of the tasks that read the platform."""

from __future__ import annotations

import threading
import time
from typing import TYPE_CHECKING, Any

import pytest
from result import Ok, Result

from standins.platform import PlatformStandIn
from wagtaildale.configuration.compiled import hash_part
from wagtaildale.distribution.messages import (
    ReadBlobs,
    SourceBlobs,
    SourceFailed,
    SourceRead,
    Watch,
)
from wagtaildale.settings.model import PlatformSettings
from wagtaildale.source.feed import (
    DocumentFeed,
    Feed,
    FeedReading,
    make_read,
)
from wagtaildale.source.http import HttpPlatform
from wagtaildale.source.pacing import Backoff
from wagtaildale.source.platform import ReadFailure
from wagtaildale.source.tasks import FetchTask, WatchTask
from wagtaildale.testing.builders import build_compiled
from wagtaildale.timers.inbox import Inbox
from wagtaildale.types import Digest, DocumentKind, Version

if TYPE_CHECKING:
    from collections.abc import Iterator

PATIENCE = 5.0
WAIT = 0.2


class Watching:
    """A watch task at work against a platform."""

    def __init__(self) -> None:
        self.platform = PlatformStandIn('127.0.0.1', 0)
        self.outbox: Inbox[Any] = Inbox()
        settings = PlatformSettings(url=self.platform.url)
        self.watch = WatchTask(
            DocumentFeed(
                DocumentKind.configuration, platform=HttpPlatform(settings)
            ),
            outbox=self.outbox,
            wait=WAIT,
        )
        self.fetch = FetchTask(
            [
                DocumentFeed(
                    DocumentKind.configuration, platform=HttpPlatform(settings)
                )
            ],
            platform=HttpPlatform(settings),
            outbox=self.outbox,
        )
        self.threads = [
            threading.Thread(target=task.run, daemon=True)
            for task in (self.watch, self.fetch)
        ]
        for thread in self.threads:
            thread.start()

    def close(self) -> None:
        self.watch.stop()
        self.fetch.stop()
        for thread in self.threads:
            thread.join(PATIENCE)
        self.platform.close()

    def appoint(self) -> None:
        self.watch.inbox.put(
            Watch(kind=DocumentKind.configuration, appointed=True, rank=0),
        )

    def expect(self, shape: type[Any]) -> Any:
        deadline = time.monotonic() + PATIENCE
        while time.monotonic() < deadline:
            message = self.outbox.take(timeout=PATIENCE)
            if isinstance(message, shape):
                return message
        raise AssertionError(f'no {shape}')

    def expect_version(self, version: int) -> None:
        deadline = time.monotonic() + PATIENCE
        while self.expect(SourceRead).outline.version != version:
            assert time.monotonic() < deadline


@pytest.fixture
def watching() -> Iterator[Watching]:
    made = Watching()
    yield made
    made.close()


def test_watch_tells_of_each_version(watching: Watching) -> None:
    watching.platform.publish(build_compiled(1))
    watching.appoint()
    watching.expect_version(1)
    watching.platform.publish(build_compiled(2))
    watching.expect_version(2)


def test_index_that_jumps_back_is_followed(watching: Watching) -> None:
    """The platform restarts and no node hears of a change again.

    Its index begins anew below the watch's cursor; a watch from the old
    cursor would wait for ever.
    """
    for version in (1, 2, 3):
        watching.platform.publish(build_compiled(version))
    watching.appoint()
    watching.expect_version(3)
    watching.platform.restart_index()
    watching.platform.publish(build_compiled(4))
    watching.expect_version(4)


def test_failure_is_told_and_survived(watching: Watching) -> None:
    watching.platform.publish(build_compiled(1))
    watching.platform.faults.down = True
    watching.appoint()
    watching.expect(SourceFailed)
    watching.platform.faults.down = False
    watching.expect_version(1)


def test_fetch_says_what_is_missing(watching: Watching) -> None:
    compiled = build_compiled(1)
    watching.platform.publish(compiled)
    blob = next(iter(compiled.parts.values()))
    order = ReadBlobs(
        kind=DocumentKind.configuration,
        digests=(hash_part(blob), Digest(bytes(16))),
        foremost=True,
    )
    watching.fetch.inbox.put(order)
    found = watching.expect(SourceBlobs)
    assert found.blobs == (blob,)
    assert found.missing == (Digest(bytes(16)),)


def test_stop_ends_a_long_backoff(watching: Watching) -> None:
    """A planned stop is over and its process stays for half a minute.

    The platform is down and its tasks sleep in their backoff; the stop
    ends the sleep.
    """
    watching.platform.faults.down = True
    watching.watch.backoff = Backoff(first_cap=1e6, last_cap=1e6)
    watching.appoint()
    watching.expect(SourceFailed)
    watching.watch.stop()
    watching.threads[0].join(PATIENCE)
    assert not watching.threads[0].is_alive()


class CountedFeed(Feed):
    """Tells of a change with its first read, and of none after it.

    Attributes:
        waits: seconds that each read was to wait.
    """

    kinds = tuple(DocumentKind)

    def __init__(self) -> None:
        self.waits: list[float] = []

    def read(self, *, wait: float) -> Result[FeedReading, ReadFailure]:
        self.waits.append(wait)
        if len(self.waits) > 1:
            time.sleep(wait)
            return Ok(FeedReading())
        changed = make_read(
            DocumentKind.configuration, version=Version(1), blobs={}
        )
        return Ok(FeedReading(changed=(changed,)))

    def restart(self) -> None:
        """Nothing was kept."""


def test_reader_that_waited_for_further_changes_holds_its_watch_shorter() -> (
    None
):
    """Others take a reader for lost after each change that stays alone.

    It waits a little for further changes, then for a whole watch, and says
    nothing to the others for longer than they wait for its word: six of
    them read the platform beside it.
    """
    feed = CountedFeed()
    watch = WatchTask(feed, outbox=Inbox(), wait=WAIT, gather=WAIT / 4)
    watch.inbox.put(
        Watch(kind=DocumentKind.configuration, appointed=True, rank=0),
    )
    thread = threading.Thread(target=watch.run, daemon=True)
    thread.start()
    deadline = time.monotonic() + PATIENCE
    while len(feed.waits) < 3 and time.monotonic() < deadline:
        time.sleep(WAIT / 10)
    watch.stop()
    thread.join(PATIENCE)
    assert feed.waits[:3] == pytest.approx([WAIT, WAIT * 3 / 4, WAIT])
