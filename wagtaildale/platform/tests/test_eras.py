"""Tests of a store that is restored from an older copy."""

from __future__ import annotations

from typing import Any

import pytest
from result import Err

from wagtaildale.platform.tests.builders import build_entry, build_item
from wagtaildale.platform.tests.feeds import (
    EraAnswer,
    build_changes,
    build_feed,
    build_page,
    list_instances,
    read_feed,
)
from wagtaildale.source.feed import FeedReading
from wagtaildale.types import DocumentKind, Version

FIRST = 'servers/i-1'
SECOND = 'servers/i-2'


def find_list_version(reading: FeedReading) -> Version:
    return next(
        each.outline.version
        for each in reading.changed
        if each.outline.kind is DocumentKind.instances
    )


@pytest.mark.parametrize('revision', [5, 9, 12])
def test_list_of_a_restored_store_has_a_newer_version(revision: int) -> None:
    """Nodes keep an old list until the store reaches its revision again."""
    feed, _client = build_feed(
        EraAnswer(1, build_page(build_item(FIRST, build_entry()), revision=9)),
        410,
        EraAnswer(
            2,
            build_page(build_item(SECOND, build_entry()), revision=revision),
        ),
    )
    before = read_feed(feed)
    after = read_feed(feed)
    assert find_list_version(after) > find_list_version(before)
    assert set(list_instances(after)) == {'i-2'}


def test_restore_between_two_watches_is_detected() -> None:
    """A watch misses the restore, and entries that the copy lacks stay."""
    feed, client = build_feed(
        EraAnswer(1, build_page(build_item(FIRST, build_entry()), revision=9)),
        EraAnswer(
            2,
            build_changes(build_item(SECOND, build_entry()), revision=10),
        ),
        EraAnswer(
            2, build_page(build_item(SECOND, build_entry()), revision=10)
        ),
    )
    read_feed(feed)
    assert set(list_instances(read_feed(feed))) == {'i-2'}
    assert '/kv-range' in client.urls[-1]


def test_restore_between_two_pages_is_detected() -> None:
    """Half of a list comes from before the restore of the store."""
    page = build_page(build_item(FIRST, build_entry()), revision=9)
    rest = build_page(build_item(SECOND, build_entry()), revision=9)
    feed, _client = build_feed(
        EraAnswer(1, {**page, 'hasMore': True}),
        EraAnswer(2, rest),
        EraAnswer(2, rest),
    )
    assert isinstance(feed.read(wait=0), Err)
    assert set(list_instances(read_feed(feed))) == {'i-2'}


@pytest.mark.parametrize('era', ['x', '-1', '', str(1 << 60)])
def test_unreadable_era_is_a_failure(era: Any) -> None:
    feed, _client = build_feed(EraAnswer(era, build_page(revision=9)))
    assert isinstance(feed.read(wait=0), Err)


def test_late_answer_of_an_earlier_era_is_rejected() -> None:
    """A late answer replaces a list by one from before the restore."""
    page = build_page(build_item(FIRST, build_entry()), revision=9)
    feed, _client = build_feed(
        EraAnswer(2, page),
        EraAnswer(1, build_changes(revision=12)),
    )
    read_feed(feed)
    assert isinstance(feed.read(wait=0), Err)
