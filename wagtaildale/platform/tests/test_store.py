"""Tests of the store's calls, against answers as the platform writes them."""

from __future__ import annotations

from typing import Any

import pytest
from result import Err

from wagtaildale.configuration.compiled import hash_part
from wagtaildale.configuration.model import Part
from wagtaildale.configuration.validation import check_parts
from wagtaildale.errors.codes import Code
from wagtaildale.platform.tests.builders import (
    build_configuration,
    build_entry,
    build_item,
    build_rule,
)
from wagtaildale.source.feed import FeedReading
from wagtaildale.platform.tests.feeds import (
    build_changes,
    build_feed,
    build_page,
    find_blobs,
    list_instances,
    read_feed,
)
from wagtaildale.types import DocumentKind, ListedState, ServiceName

CONFIGURATION = 'op/config'
FIRST = 'servers/i-1'
SECOND = 'servers/i-2'


def find_part(reading: FeedReading, service: str) -> Part:
    read_one = next(
        each
        for each in reading.changed
        if each.outline.kind is DocumentKind.configuration
    )
    by_digest = {hash_part(blob): blob for blob in read_one.blobs}
    blobs = {
        name: by_digest[digest]
        for name, digest in read_one.outline.entries.items()
    }
    return check_parts(blobs).unwrap().parts[ServiceName(service)]


def test_one_read_gives_both_documents() -> None:
    feed, _reader = build_feed(
        build_page(
            build_item(CONFIGURATION, build_configuration()),
            build_item(FIRST, build_entry()),
        ),
    )
    reading = read_feed(feed)
    # The part of its service, one piece of it, and the limits.
    assert len(find_blobs(reading, DocumentKind.configuration)) == 3
    record = list_instances(reading)['i-1']
    assert (record.host, record.backend_port) == ('10.1.0.8', 8145)
    assert record.slots == 9


def test_rule_becomes_class_and_route() -> None:
    feed, _reader = build_feed(
        build_page(build_item(CONFIGURATION, build_configuration())),
    )
    part = find_part(read_feed(feed), 'gopu72b')
    assert (part.connections, part.health_path) == (130, '/health')
    assert (len(part.classes), len(part.routes)) == (1, 1)
    work_class, route = part.classes[0], part.routes[0]
    assert not work_class.idempotent
    assert (work_class.within_ms, work_class.deadline_ms) == (250, 800)
    assert (route.host, route.path) == ('mesh.example', '/bookings/')


def test_change_of_one_rule_changes_one_small_piece() -> None:
    """A storm of versions holds up calls on slow lines.

    Each version changed one rule of a thousand, and the whole part of its
    service went to every node, several times a second.
    """
    rules = [
        build_rule(f'r-{number}', prefix=f'/path{number}/')
        for number in range(1000)
    ]
    changed = [*rules[:7], build_rule('r-7', prefix='/other/'), *rules[8:]]
    feed, _reader = build_feed(
        build_page(build_item(CONFIGURATION, build_configuration(rules))),
        build_changes(
            build_item(CONFIGURATION, build_configuration(changed)),
            revision=10,
        ),
    )
    before = set(find_blobs(read_feed(feed), DocumentKind.configuration))
    after = set(find_blobs(read_feed(feed), DocumentKind.configuration))
    new = after - before
    assert len(new) == 1
    assert sum(map(len, new)) * 20 < sum(map(len, after))


def test_leaving_and_gone() -> None:
    feed, reader = build_feed(
        build_page(
            build_item(FIRST, build_entry()),
            build_item(SECOND, build_entry(address='10.1.0.9:8145')),
        ),
        build_changes(
            build_item(FIRST, build_entry(state='draining'), revision=10),
            {'key': SECOND, 'revision': 11, 'tombstone': True},
            revision=11,
        ),
    )
    read_feed(feed)
    listed = list_instances(read_feed(feed))
    assert listed['i-1'].state is ListedState.leaving
    assert 'i-2' not in listed
    assert 'after=9' in reader.asked[1]


@pytest.mark.parametrize(
    'flawed',
    [
        {'key': SECOND, 'value': '%%%', 'revision': 5, 'created': 5},
        build_item(SECOND, {'address': 'nowhere'}),
        build_item(SECOND, build_entry(address='no port')),
        build_item(SECOND, 7),
        build_item(SECOND, build_entry(address='db.example:8145')),
        build_item(SECOND, build_entry(address='10.1.0.9:99999')),
        build_item(SECOND, build_entry(state='asleep')),
        build_item(SECOND, build_entry(zone='atlantis')),
        build_item(SECOND, build_entry(slots=-1)),
        build_item(SECOND, build_entry(slots='9')),
        build_item(SECOND, build_entry(born='yesterday')),
        build_item(SECOND, build_entry(born=1.5)),
        build_item(SECOND, build_entry(status={'state': 'ready'})),
        build_item('servers/', build_entry()),
        build_item('servers/i-2\r\nhost: x', build_entry()),
    ],
)
def test_entry_that_cannot_be_read(flawed: dict[str, Any]) -> None:
    """An entry of another writer stands among those of the servers.

    Taken as it is, it costs every node the whole list, sends requests to
    nowhere, or stops the task that carries calls while it looks up a name.
    The others are taken without it, and it is told once.
    """
    feed, _reader = build_feed(
        build_page(build_item(FIRST, build_entry()), flawed),
        build_changes(
            build_item(FIRST, build_entry(state='draining'), revision=10),
            revision=10,
        ),
    )
    reading = read_feed(feed)
    assert set(list_instances(reading)) == {'i-1'}
    assert [each.code for each in reading.flawed] == [Code.part_corrupt]
    assert not read_feed(feed).flawed


def test_configuration_that_cannot_be_read() -> None:
    """A configuration of another shape keeps the list from every node."""
    feed, _reader = build_feed(
        build_page(
            build_item(CONFIGURATION, {'version': 'x'}),
            build_item(FIRST, build_entry()),
        ),
    )
    reading = read_feed(feed)
    assert set(list_instances(reading)) == {'i-1'}
    assert reading.flawed[0].kind is DocumentKind.configuration


def test_dropped_history_is_read_anew() -> None:
    """A watch's history is gone, and changes in the gap would be missed."""
    page = build_page(build_item(FIRST, build_entry()), revision=30)
    feed, reader = build_feed(build_page(), 410, page)
    read_feed(feed)
    assert set(list_instances(read_feed(feed))) == {'i-1'}
    assert '/kv-range' in reader.asked[2]


@pytest.mark.parametrize('status', [429, 500, 503])
def test_refused_read_is_an_error(status: int) -> None:
    feed, _reader = build_feed(status)
    assert isinstance(feed.read(wait=0), Err)


def test_pages_that_changed_between_are_settled() -> None:
    """A list that never stood so: the store changed between two pages."""
    first = build_page(build_item(FIRST, build_entry()), revision=9)
    second = build_page(
        build_item(SECOND, build_entry(address='10.1.0.9:8145')),
        revision=12,
    )
    gone = {'key': FIRST, 'revision': 11, 'tombstone': True}
    feed, reader = build_feed(
        {**first, 'hasMore': True},
        second,
        build_changes(gone, revision=12),
    )
    assert set(list_instances(read_feed(feed))) == {'i-2'}
    assert 'after=9' in reader.asked[2]


def test_failed_watch_goes_on_from_its_cursor() -> None:
    """Each failure makes a reader read everything anew.

    On a slow line that takes most of a second, and calls wait behind it.
    """
    changes = build_changes(
        build_item(FIRST, build_entry(state='draining'), revision=10),
        revision=10,
    )
    feed, reader = build_feed(
        build_page(build_item(FIRST, build_entry())),
        503,
        changes,
    )
    read_feed(feed)
    assert isinstance(feed.read(wait=1.0), Err)
    feed.restart()
    assert list_instances(read_feed(feed))['i-1'].state is ListedState.leaving
    assert 'after=9' in reader.asked[2]


def test_store_that_counts_from_the_start_is_read_anew() -> None:
    """No change reaches any node any more.

    The store was set up anew, and watches go on from the old revision.
    """
    page = build_page(build_item(FIRST, build_entry()), revision=2)
    feed, _reader = build_feed(
        build_page(),
        build_changes(revision=1),
        page,
    )
    read_feed(feed)
    assert set(list_instances(read_feed(feed))) == {'i-1'}
