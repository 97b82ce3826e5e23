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
    ReadSource,
    SourceBlobs,
    SourceFailed,
    SourceRead,
    Watch,
)
from wagtaildale.errors.codes import Code
from wagtaildale.settings.model import PlatformSettings
from wagtaildale.source.feed import (
    DocumentFeed,
    Feed,
    FeedReading,
    make_read,
)
from wagtaildale.source.http import HttpPlatform
from wagtaildale.source.pacing import Backoff, RetryPacing
from wagtaildale.source.platform import ReadFailure
from wagtaildale.source.tasks import FetchTask, WatchTask
from wagtaildale.testing.builders import build_compiled
from wagtaildale.timers.inbox import Inbox
from wagtaildale.types import Digest, DocumentKind, Version

if TYPE_CHECKING:
    from collections.abc import Iterator

PATIENCE = 5.0
WATCH_SECONDS = 0.2
RANK_CAP_SECONDS = 1.5


class UnlimitedBackoff(Backoff):
    """Ignores the limit of a reader's rank."""

    def limit(self, last_cap_seconds: float) -> None:
        """Keep the longest delay."""


class ReadingTasks:
    """A watch task and a fetch task that run against a stand-in platform."""

    def __init__(self) -> None:
        self.platform = PlatformStandIn('127.0.0.1', 0)
        self.outbox: Inbox[Any] = Inbox()
        settings = PlatformSettings(url=self.platform.url)
        self.watch = WatchTask(
            DocumentFeed(
                DocumentKind.configuration, platform=HttpPlatform(settings)
            ),
            outbox=self.outbox,
            wait=WATCH_SECONDS,
            pacing=RetryPacing(rank_cap_seconds=RANK_CAP_SECONDS),
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

    def appoint_reader(self) -> None:
        self.watch.inbox.put(
            Watch(kind=DocumentKind.configuration, appointed=True, rank=0),
        )

    def wait_for_message(self, shape: type[Any]) -> Any:
        deadline = time.monotonic() + PATIENCE
        while time.monotonic() < deadline:
            message = self.outbox.take(timeout=PATIENCE)
            if isinstance(message, shape):
                return message
        raise AssertionError(f'got no {shape} in time')

    def wait_for_version(self, version: int) -> None:
        deadline = time.monotonic() + PATIENCE
        while self.wait_for_message(SourceRead).outline.version != version:
            assert time.monotonic() < deadline


@pytest.fixture
def tasks() -> Iterator[ReadingTasks]:
    running = ReadingTasks()
    yield running
    running.close()


def test_watch_reports_each_version(tasks: ReadingTasks) -> None:
    tasks.platform.publish(build_compiled(1))
    tasks.appoint_reader()
    tasks.wait_for_version(1)
    tasks.platform.publish(build_compiled(2))
    tasks.wait_for_version(2)


def test_watch_continues_after_the_index_jumps_back(
    tasks: ReadingTasks,
) -> None:
    """After a restart of the platform no node receives changes any more.

    The platform's index starts again below the watch's cursor, and a watch
    from the old cursor never returns.
    """
    for version in (1, 2, 3):
        tasks.platform.publish(build_compiled(version))
    tasks.appoint_reader()
    tasks.wait_for_version(3)
    tasks.platform.reset_index()
    tasks.platform.publish(build_compiled(4))
    tasks.wait_for_version(4)


def test_watch_reports_a_failure_and_recovers(tasks: ReadingTasks) -> None:
    tasks.platform.publish(build_compiled(1))
    tasks.platform.faults.down = True
    tasks.appoint_reader()
    tasks.wait_for_message(SourceFailed)
    tasks.platform.faults.down = False
    tasks.wait_for_version(1)


def test_fetch_reports_missing_blobs(tasks: ReadingTasks) -> None:
    compiled = build_compiled(1)
    tasks.platform.publish(compiled)
    blob = next(iter(compiled.parts.values()))
    order = ReadBlobs(
        kind=DocumentKind.configuration,
        digests=(hash_part(blob), Digest(bytes(16))),
        is_first_reader=True,
    )
    tasks.fetch.inbox.put(order)
    found = tasks.wait_for_message(SourceBlobs)
    assert found.blobs == (blob,)
    assert found.missing == (Digest(bytes(16)),)


def test_stop_ends_a_long_backoff(tasks: ReadingTasks) -> None:
    """A process stays alive for half a minute after its planned stop.

    The platform is down, and a reading task waits in its backoff.
    """
    tasks.platform.faults.down = True
    tasks.watch.backoff = UnlimitedBackoff(
        first_cap_seconds=1e6, last_cap_seconds=1e6
    )
    tasks.appoint_reader()
    tasks.wait_for_message(SourceFailed)
    tasks.watch.stop()
    tasks.threads[0].join(PATIENCE)
    assert not tasks.threads[0].is_alive()


@pytest.mark.parametrize('rank', [0, 4])
def test_backoff_grows_with_the_rank_of_the_reader(
    tasks: ReadingTasks, rank: int
) -> None:
    """No node hears of a leaving server, for all readers back off too long.

    The platform is back after a long outage.
    """
    tasks.platform.faults.down = True
    order = Watch(kind=DocumentKind.configuration, appointed=True, rank=rank)
    tasks.watch.inbox.put(order)
    tasks.wait_for_message(SourceFailed)
    drawn = [tasks.watch.backoff.draw() for _failure in range(200)]
    longest = (rank + 1) * RANK_CAP_SECONDS
    assert longest / 2 < max(drawn) <= longest


class ChangingOnceFeed(Feed):
    """Returns a change from its first read and none from later reads.

    Attributes:
        waits: longest wait given to each read, seconds.
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
        """Do nothing: this feed has no cursor."""


def test_time_spent_gathering_changes_is_taken_off_the_next_watch() -> None:
    """Other nodes take a reader for lost after each single change.

    The reader gathers further changes and then holds a whole watch. It sends
    nothing for longer than the others wait for its confirmation, and six of
    them read the platform besides it.
    """
    feed = ChangingOnceFeed()
    watch = WatchTask(
        feed,
        outbox=Inbox(),
        wait=WATCH_SECONDS,
        gather_seconds=WATCH_SECONDS / 4,
    )
    watch.inbox.put(
        Watch(kind=DocumentKind.configuration, appointed=True, rank=0),
    )
    thread = threading.Thread(target=watch.run, daemon=True)
    thread.start()
    deadline = time.monotonic() + PATIENCE
    while len(feed.waits) < 3 and time.monotonic() < deadline:
        time.sleep(WATCH_SECONDS / 10)
    watch.stop()
    thread.join(PATIENCE)
    assert feed.waits[:3] == pytest.approx(
        [WATCH_SECONDS, WATCH_SECONDS * 3 / 4, WATCH_SECONDS]
    )


class FailingFeed(Feed):
    """Raises an error that nothing expects, until it is told to stop.

    Attributes:
        is_failing: whether the next read raises.
        times_forgotten: how often the feed had to drop what it had read.
    """

    kinds = (DocumentKind.configuration,)

    def __init__(self) -> None:
        self.is_failing = True
        self.times_forgotten = 0

    def read(self, *, wait: float) -> Result[FeedReading, ReadFailure]:
        if self.is_failing:
            raise RecursionError('unexpected')
        changed = make_read(
            DocumentKind.configuration, version=Version(1), blobs={}
        )
        return Ok(FeedReading(changed=(changed,)))

    def restart(self) -> None:
        """Do nothing: this feed has no cursor."""

    def forget(self) -> None:
        self.times_forgotten += 1


def test_unexpected_error_of_a_read_does_not_end_its_task() -> None:
    """One entry of the platform ends each node that reads it, at each start."""
    outbox: Inbox[Any] = Inbox()
    feed = FailingFeed()
    watch = WatchTask(
        feed,
        outbox=outbox,
        wait=WATCH_SECONDS,
        pacing=RetryPacing(first_cap_seconds=WATCH_SECONDS),
    )
    fetch = FetchTask([feed], platform=None, outbox=outbox)
    threads = [
        threading.Thread(target=task.run, daemon=True)
        for task in (watch, fetch)
    ]
    for thread in threads:
        thread.start()
    watch.inbox.put(
        Watch(kind=DocumentKind.configuration, appointed=True, rank=0)
    )
    fetch.inbox.put(ReadSource(kind=DocumentKind.configuration))
    failures = [outbox.take(timeout=PATIENCE) for _task in threads]
    feed.is_failing = False
    later = outbox.take(timeout=PATIENCE)
    while isinstance(later, SourceFailed):
        later = outbox.take(timeout=PATIENCE)
    watch.stop()
    fetch.stop()
    for thread in threads:
        thread.join(PATIENCE)
    assert {getattr(each, 'code', None) for each in failures} == {
        Code.read_defect
    }
    assert feed.times_forgotten >= 2
    assert isinstance(later, SourceRead)
