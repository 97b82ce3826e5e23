"""Tests of a store that comes back from an older copy."""

from __future__ import annotations

from typing import Any

import pytest
from result import Err

from wagtaildale.platform.tests.builders import build_entry, build_item
from wagtaildale.platform.tests.feeds import (
    OfEra,
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


def find_version(reading: FeedReading) -> Version:
    return next(
        each.outline.version
        for each in reading.changed
        if each.outline.kind is DocumentKind.instances
    )


@pytest.mark.parametrize('revision', [5, 9, 12])
def test_list_of_a_store_that_came_back_is_newer(revision: int) -> None:
    """Nodes keep an old list until the store has counted up to it again."""
    feed, _reader = build_feed(
        OfEra(1, build_page(build_item(FIRST, build_entry()), revision=9)),
        410,
        OfEra(
            2,
            build_page(build_item(SECOND, build_entry()), revision=revision),
        ),
    )
    before = read_feed(feed)
    after = read_feed(feed)
    assert find_version(after) > find_version(before)
    assert set(list_instances(after)) == {'i-2'}


def test_return_that_no_call_has_met_is_noticed() -> None:
    """A watch goes on as if nothing was, and what the copy lacks stays."""
    feed, reader = build_feed(
        OfEra(1, build_page(build_item(FIRST, build_entry()), revision=9)),
        OfEra(
            2,
            build_changes(build_item(SECOND, build_entry()), revision=10),
        ),
        OfEra(2, build_page(build_item(SECOND, build_entry()), revision=10)),
    )
    read_feed(feed)
    assert set(list_instances(read_feed(feed))) == {'i-2'}
    assert '/kv-range' in reader.asked[-1]


def test_return_between_two_pages_is_noticed() -> None:
    """Half of a list is from before the store's return."""
    page = build_page(build_item(FIRST, build_entry()), revision=9)
    rest = build_page(build_item(SECOND, build_entry()), revision=9)
    feed, _reader = build_feed(
        OfEra(1, {**page, 'hasMore': True}),
        OfEra(2, rest),
        OfEra(2, rest),
    )
    assert isinstance(feed.read(wait=0), Err)
    assert set(list_instances(read_feed(feed))) == {'i-2'}


@pytest.mark.parametrize('era', ['x', '-1', '', str(1 << 60)])
def test_era_that_cannot_be_read_is_a_fault(era: Any) -> None:
    feed, _reader = build_feed(OfEra(era, build_page(revision=9)))
    assert isinstance(feed.read(wait=0), Err)


def test_answer_of_an_earlier_era_is_no_news() -> None:
    """A late answer takes a list back to before the store's return."""
    page = build_page(build_item(FIRST, build_entry()), revision=9)
    feed, _reader = build_feed(
        OfEra(2, page),
        OfEra(1, build_changes(revision=12)),
    )
    read_feed(feed)
    assert isinstance(feed.read(wait=0), Err)
