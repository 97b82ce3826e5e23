"""Tests of feeds whose watches leave out changes or are silent."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, Final

import pytest
from result import Err

from wagtaildale.platform.tests.builders import (
    build_configuration,
    build_entry,
)
from wagtaildale.platform.tests.feeds import list_instances, read_feed
from wagtaildale.platform.tests.simulated_store import (
    SimulatedStore,
    build_simulated_feed,
)
from wagtaildale.source.comparison import (
    COMPARISONS_PER_FULL_READ,
    WATCHES_PER_COMPARISON,
)
from wagtaildale.types import DocumentKind, ListedState

if TYPE_CHECKING:
    from wagtaildale.source.feed import FeedReading
    from wagtaildale.source.store_feed import StoreFeed

CONFIGURATION: Final = 'op/config'
EVACUATION: Final = 'op/evacuate/derby'
FIRST: Final = 'servers/i-1'
SECOND: Final = 'servers/i-2'
OTHER_ADDRESS: Final = '10.1.0.9:8145'
LEAVING: Final = build_entry(state='draining')
LATER_VERSION: Final = 32
WHOLE_READ: Final = '/kv-range?prefix=&after='


@pytest.fixture
def store() -> SimulatedStore:
    simulated = SimulatedStore()
    simulated.write(CONFIGURATION, build_configuration())
    simulated.write(FIRST, build_entry())
    simulated.write(SECOND, build_entry(address=OTHER_ADDRESS))
    return simulated


@pytest.fixture
def feed(store: SimulatedStore) -> StoreFeed:
    """Feed that has read everything."""
    started = build_simulated_feed(store)
    read_feed(started)
    return started


def list_usable(reading: FeedReading) -> set[str]:
    """List the instances that a reading has as live."""
    return {
        name
        for name, record in list_instances(reading).items()
        if record.state is ListedState.live and not record.is_evacuated
    }


def write_configuration(store: SimulatedStore, *, hides: bool) -> None:
    configuration = build_configuration()
    configuration['version'] = f'{LATER_VERSION:08x}'
    store.write(CONFIGURATION, configuration, hides=hides)


def find_version(reading: FeedReading, kind: DocumentKind) -> int | None:
    versions = [
        each.outline.version
        for each in reading.changed
        if each.outline.kind is kind
    ]
    return versions[0] if versions else None


@pytest.mark.parametrize(
    ('key', 'entry'),
    [(FIRST, LEAVING), (FIRST, None), (EVACUATION, {})],
    ids=['reports', 'removed', 'evacuated'],
)
@pytest.mark.parametrize('others', [0, 1])
def test_change_that_an_answer_passes_is_read_at_once(
    store: SimulatedStore,
    feed: StoreFeed,
    key: str,
    entry: Any,
    others: int,
) -> None:
    """A leaving server is called for good, since no watch returns its word."""
    store.write(key, entry, hides=True)
    for _other in range(others):
        store.write(SECOND, build_entry(address=OTHER_ADDRESS))
    reading = read_feed(feed)
    assert 'i-1' not in list_usable(reading)
    assert key in reading.contradicted[0].detail


def test_configuration_that_an_answer_passes_is_read_at_once(
    store: SimulatedStore, feed: StoreFeed
) -> None:
    """A version is never applied, since no watch returns it."""
    write_configuration(store, hides=True)
    assert (
        find_version(read_feed(feed), DocumentKind.configuration)
        == LATER_VERSION
    )


def pass_change(store: SimulatedStore, feed: StoreFeed, entry: Any) -> None:
    """Hide a change from a feed that doesn't count revisions."""
    store.merges_changes = True
    for _write in range(2):
        store.write(SECOND, build_entry(address=OTHER_ADDRESS))
    assert not read_feed(feed).contradicted
    store.merges_changes = False
    store.write(FIRST, entry, hides=True)
    read_feed(feed)


def test_store_that_merges_changes_is_read_whole_only_once(
    store: SimulatedStore, feed: StoreFeed
) -> None:
    """Each answer without a replaced change makes the feed read everything."""
    pass_change(store, feed, build_entry())
    store.urls.clear()
    read_feed(feed)
    assert not any(url.endswith(WHOLE_READ) for url in store.urls)


@pytest.mark.parametrize('entry', [LEAVING, None], ids=['reports', 'removed'])
def test_missed_change_is_found_by_the_next_comparison(
    store: SimulatedStore, feed: StoreFeed, entry: Any
) -> None:
    """What a watch did not tell is never compared with the store."""
    pass_change(store, feed, entry)
    readings = [read_feed(feed) for _read in range(WATCHES_PER_COMPARISON)]
    found = [reading for reading in readings if reading.contradicted]
    assert len(found) == 1
    assert 'i-1' not in list_usable(found[0])
    assert found[0].changed[-1].outline.is_whole


def test_missed_configuration_is_found_by_the_next_full_read(
    store: SimulatedStore, feed: StoreFeed
) -> None:
    """A missed version is never compared with the store."""
    pass_change(store, feed, build_entry())
    write_configuration(store, hides=True)
    reads = (WATCHES_PER_COMPARISON + 1) * (COMPARISONS_PER_FULL_READ + 1)
    versions = [
        find_version(read_feed(feed), DocumentKind.configuration)
        for _read in range(reads)
    ]
    assert LATER_VERSION in versions


@pytest.mark.parametrize('entry', [LEAVING, None], ids=['reports', 'removed'])
def test_silent_watch_is_followed_by_another_read(
    store: SimulatedStore, feed: StoreFeed, entry: Any
) -> None:
    """All watches are silent, and their silence is taken for no change."""
    store.is_silent = True
    store.write(FIRST, entry)
    assert isinstance(feed.read(wait=1.0), Err)
    feed.restart()
    assert 'i-1' not in list_usable(read_feed(feed))


def test_configuration_that_a_comparison_passes_is_read_at_once(
    store: SimulatedStore, feed: StoreFeed
) -> None:
    """A version is lost, since its change came beside a comparison."""
    feed.restart()
    write_configuration(store, hides=True)
    kind = DocumentKind.configuration
    assert find_version(read_feed(feed), kind) == LATER_VERSION


def test_changes_beside_a_failed_full_read_are_not_lost(
    store: SimulatedStore, feed: StoreFeed
) -> None:
    """A version is never applied: the read behind its answer failed."""
    write_configuration(store, hides=False)
    store.write(FIRST, LEAVING, hides=True)
    store.refuses_ranges = True
    assert isinstance(feed.read(wait=1.0), Err)
    feed.restart()
    store.refuses_ranges = False
    store.is_silent = True
    reading = read_feed(feed)
    kind = DocumentKind.configuration
    assert find_version(reading, kind) == LATER_VERSION
    assert 'i-1' not in list_usable(reading)


def test_comparisons_of_an_unchanged_store_are_few_and_small(
    store: SimulatedStore, feed: StoreFeed
) -> None:
    """Comparing the list costs as many calls as watching it."""
    store.urls.clear()
    reads = (WATCHES_PER_COMPARISON + 1) * (COMPARISONS_PER_FULL_READ + 1)
    offered = [
        read.outline
        for _read in range(reads)
        for read in read_feed(feed).changed
    ]
    assert len(offered) == COMPARISONS_PER_FULL_READ
    assert all(outline.is_whole for outline in offered)
    assert len({tuple(outline.entries.items()) for outline in offered}) == 1
    ranges = [url for url in store.urls if 'kv-range' in url]
    assert len(ranges) * WATCHES_PER_COMPARISON <= reads
    assert sum(url.endswith(WHOLE_READ) for url in ranges) == 1


def test_changes_of_several_answers_are_no_contradiction(
    store: SimulatedStore, feed: StoreFeed
) -> None:
    """A list is compared that lacks the changes of the next answer."""
    store.most_changes = 2
    for _write in range(5):
        store.write(SECOND, build_entry(address=OTHER_ADDRESS))
    store.write(FIRST, None)
    feed.restart()
    readings = [read_feed(feed) for _read in range(4)]
    assert not any(reading.contradicted for reading in readings)
    assert 'i-1' not in list_usable(readings[2])


def test_changes_beside_a_comparison_are_no_contradiction(
    store: SimulatedStore, feed: StoreFeed
) -> None:
    """Each comparison in a busy fleet makes the feed read everything."""
    for number in range(WATCHES_PER_COMPARISON * 2):
        leaves = number % 2 == 0
        store.write(FIRST, LEAVING if leaves else build_entry())
        reading = read_feed(feed)
        assert not reading.contradicted
        assert ('i-1' not in list_usable(reading)) == leaves
    whole_reads = [url for url in store.urls if url.endswith(WHOLE_READ)]
    assert len(whole_reads) == 1
