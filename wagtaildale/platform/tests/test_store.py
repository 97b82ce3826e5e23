"""Tests of reading the store, with responses in the platform's format."""

from __future__ import annotations

from typing import Any

import pytest
from msgspec import json
from result import Err

from wagtaildale.configuration.compiled import hash_part
from wagtaildale.configuration.model import Part
from wagtaildale.configuration.validation import check_parts
from wagtaildale.errors.codes import Code
from wagtaildale.platform.configuration import decode_configuration
from wagtaildale.platform.tests.builders import (
    NESTED_DEPTH,
    NESTED_FIELD,
    build_configuration,
    build_entry,
    build_item,
    build_raw_item,
    build_rule,
)
from wagtaildale.platform.tests.feeds import (
    build_changes,
    build_feed,
    build_page,
    find_blobs,
    list_instances,
    read_feed,
)
from wagtaildale.source.feed import FeedReading
from wagtaildale.source.platform import ReadFailure
from wagtaildale.types import DocumentKind, ListedState, ServiceName

CONFIGURATION = 'op/config'
FIRST = 'servers/i-1'
SECOND = 'servers/i-2'
NAMED_SERVER = json.encode(build_entry()).lstrip(b'{')


def find_part(reading: FeedReading, service: str) -> Part:
    configuration_read = next(
        each
        for each in reading.changed
        if each.outline.kind is DocumentKind.configuration
    )
    by_digest = {hash_part(blob): blob for blob in configuration_read.blobs}
    blobs = {
        name: by_digest[digest]
        for name, digest in configuration_read.outline.entries.items()
    }
    return check_parts(blobs).unwrap().parts[ServiceName(service)]


def test_one_read_returns_both_documents() -> None:
    feed, _client = build_feed(
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
    feed, _client = build_feed(
        build_page(build_item(CONFIGURATION, build_configuration())),
    )
    part = find_part(read_feed(feed), 'gopu72b')
    assert (part.connections, part.health_path) == (130, '/health')
    assert (len(part.classes), len(part.routes)) == (1, 1)
    work_class, route = part.classes[0], part.routes[0]
    assert not work_class.idempotent
    assert (work_class.within_ms, work_class.deadline_ms) == (250, 800)
    assert (route.host, route.path) == ('mesh.example', '/bookings/')


@pytest.mark.parametrize(
    ('kind', 'idempotent', 'bulk'),
    [
        ('safe', True, False),
        ('download', True, True),
        ('unsafe', False, False),
        ('upload', False, False),
    ],
)
def test_kind_of_a_rule(kind: str, *, idempotent: bool, bulk: bool) -> None:
    """Downloads were treated as non-idempotent.

    They reserved a slot before they ran, and those that failed were not
    tried again.
    """
    rule = {**build_rule('r-1', prefix='/maps/'), 'kind': kind}
    feed, _client = build_feed(
        build_page(build_item(CONFIGURATION, build_configuration([rule]))),
    )
    work_class = find_part(read_feed(feed), 'gopu72b').classes[0]
    assert (work_class.idempotent, work_class.is_bulk) == (idempotent, bulk)


def test_published_form_without_bulk_classes_is_unchanged() -> None:
    """An update of the build changes the hash of every published part.

    Nodes of two builds would hold different hashes of the same version. The
    hash is that of the build before the field existed.
    """
    payload = json.encode(build_configuration())
    blobs = decode_configuration(payload).unwrap().blobs
    assert hash_part(blobs['gopu72b#57']).hex() == (
        'cca68f96a1d134ccff8083bf1ab06bbb'
    )


def test_change_of_one_rule_changes_one_small_piece() -> None:
    """Many versions in a short time delay calls on slow lines.

    Each version changes one rule of a thousand, and the whole part of its
    service is sent to every node, several times a second.
    """
    rules = [
        build_rule(f'r-{number}', prefix=f'/path{number}/')
        for number in range(1000)
    ]
    changed = [*rules[:7], build_rule('r-7', prefix='/other/'), *rules[8:]]
    feed, _client = build_feed(
        build_page(build_item(CONFIGURATION, build_configuration(rules))),
        build_changes(
            build_item(
                CONFIGURATION, build_configuration(changed), revision=10
            ),
            revision=10,
        ),
    )
    before = set(find_blobs(read_feed(feed), DocumentKind.configuration))
    after = set(find_blobs(read_feed(feed), DocumentKind.configuration))
    new = after - before
    assert len(new) == 1
    assert sum(map(len, new)) * 20 < sum(map(len, after))


def test_leaving_and_removed_servers() -> None:
    feed, client = build_feed(
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
    assert 'after=9' in client.urls[1]


@pytest.mark.parametrize(
    'unreadable',
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
        build_raw_item(SECOND, NESTED_FIELD + NAMED_SERVER),
        build_raw_item(SECOND, NESTED_FIELD + b'"status": 7}'),
        build_raw_item(SECOND, b'[' * NESTED_DEPTH),
        build_item(SECOND, build_entry(born=2**53)),
        build_item(SECOND, build_entry(born=10**400)),
        build_item(SECOND, build_entry(born=-1)),
        build_item(SECOND, build_entry(slots=10**400)),
        build_item(SECOND, build_entry(slots=2**40)),
        build_item(SECOND, build_entry(service='s' * 100_000)),
        build_item(SECOND, build_entry(address='10.1.0.9:' + '9' * 5000)),
    ],
)
def test_unreadable_entry_is_skipped_and_reported_once(
    unreadable: dict[str, Any],
) -> None:
    """An entry of another writer is stored among those of the servers.

    Used as it is, it makes the whole list unreadable for every node, sends
    requests to a wrong address, or blocks the task that carries calls while
    a host name is resolved. One that raises an unexpected error ends every
    node's process, again after each start.
    """
    feed, _client = build_feed(
        build_page(build_item(FIRST, build_entry()), unreadable),
        build_changes(
            build_item(FIRST, build_entry(state='draining'), revision=10),
            revision=10,
        ),
    )
    reading = read_feed(feed)
    assert set(list_instances(reading)) == {'i-1'}
    assert [each.code for each in reading.refused] == [Code.part_corrupt]
    assert not read_feed(feed).refused


@pytest.mark.parametrize(
    'unreadable',
    [
        b'{"version": "x"}',
        NESTED_FIELD + json.encode(build_configuration()).lstrip(b'{'),
        NESTED_FIELD + b'"clusters": []}',
    ],
)
def test_unreadable_configuration_does_not_hold_up_the_list(
    unreadable: bytes,
) -> None:
    """A configuration of another format keeps the list from every node."""
    feed, _client = build_feed(
        build_page(
            build_raw_item(CONFIGURATION, unreadable),
            build_item(FIRST, build_entry()),
        ),
    )
    reading = read_feed(feed)
    assert set(list_instances(reading)) == {'i-1'}
    assert reading.refused[0].kind is DocumentKind.configuration


def test_dropped_history_causes_a_full_read() -> None:
    """Changes are missed when the store has dropped a watch's history."""
    page = build_page(build_item(FIRST, build_entry()), revision=30)
    feed, client = build_feed(build_page(), 410, page)
    read_feed(feed)
    assert set(list_instances(read_feed(feed))) == {'i-1'}
    assert '/kv-range' in client.urls[2]


def test_changes_too_large_for_one_answer_cause_a_full_read() -> None:
    """Readers asked for the same changes until the history was dropped."""
    page = build_page(build_item(FIRST, build_entry()), revision=30)
    too_large = ReadFailure(code=Code.answer_too_large, detail='4 MB')
    feed, client = build_feed(build_page(), too_large, page)
    read_feed(feed)
    assert set(list_instances(read_feed(feed))) == {'i-1'}
    assert '/kv-range' in client.urls[2]


@pytest.mark.parametrize('status', [429, 500, 503])
def test_refused_read_is_a_failure(status: int) -> None:
    feed, _client = build_feed(status)
    assert isinstance(feed.read(wait=0), Err)


def test_change_between_two_pages_is_applied() -> None:
    """A list mixes two revisions: the store changed between two pages."""
    first = build_page(build_item(FIRST, build_entry()), revision=9)
    second = build_page(
        build_item(SECOND, build_entry(address='10.1.0.9:8145')),
        revision=12,
    )
    removed = {'key': FIRST, 'revision': 11, 'tombstone': True}
    feed, client = build_feed(
        {**first, 'hasMore': True},
        second,
        build_changes(removed, revision=12),
    )
    assert set(list_instances(read_feed(feed))) == {'i-2'}
    assert 'after=9' in client.urls[2]


def test_page_that_is_older_than_its_neighbours_is_brought_up_to_date() -> None:
    """A server is called for good that left between two pages."""
    first, second, third = (
        build_item(f'servers/i-{number}', build_entry()) for number in range(3)
    )
    leaving = build_item(
        'servers/i-1', build_entry(state='draining'), revision=9
    )
    feed, client = build_feed(
        {**build_page(first, revision=9), 'hasMore': True},
        {**build_page(second, revision=8), 'hasMore': True},
        build_page(third, revision=9),
        build_changes(leaving, revision=9),
    )
    assert list_instances(read_feed(feed))['i-1'].state is ListedState.leaving
    assert 'after=8' in client.urls[3]


@pytest.mark.parametrize(
    'rest',
    [(), (build_item(FIRST, build_entry()),)],
    ids=['empty', 'repeated'],
)
def test_pages_that_do_not_go_on_are_no_list(
    rest: tuple[dict[str, Any], ...],
) -> None:
    """All servers behind an empty page are taken for removed."""
    feed, _client = build_feed(
        {**build_page(build_item(FIRST, build_entry())), 'hasMore': True},
        {**build_page(*rest), 'hasMore': True},
    )
    failed = feed.read(wait=1.0)
    assert isinstance(failed, Err)
    assert failed.err_value.code is Code.part_corrupt


def test_failed_watch_continues_from_its_cursor() -> None:
    """A reader reads everything again after each failure.

    On a slow line that takes most of a second, and calls wait meanwhile.
    """
    leaving = build_item(FIRST, build_entry(state='draining'), revision=10)
    feed, client = build_feed(
        build_page(build_item(FIRST, build_entry())),
        503,
        build_page(leaving, revision=10),
        build_changes(leaving, revision=10),
    )
    read_feed(feed)
    assert isinstance(feed.read(wait=1.0), Err)
    feed.restart()
    assert list_instances(read_feed(feed))['i-1'].state is ListedState.leaving
    assert client.urls[2].endswith('/kv-range?prefix=&after=op%2Fconfig')
    assert 'kv-watch' in client.urls[3]
    assert 'after=9' in client.urls[3]


def test_store_with_a_lower_revision_is_read_again() -> None:
    """No change reaches any node any more after the store was set up anew.

    Its revisions start again, and watches continue from the old revision.
    """
    page = build_page(build_item(FIRST, build_entry()), revision=2)
    feed, _client = build_feed(
        build_page(),
        build_changes(revision=1),
        page,
    )
    read_feed(feed)
    assert set(list_instances(read_feed(feed))) == {'i-1'}
