"""Tests of evacuated data centres and cold servers in the store."""

from __future__ import annotations

import pytest
from msgspec import json

from wagtaildale.platform.settings import translate_settings
from wagtaildale.platform.tests.builders import (
    build_configuration,
    build_entry,
    build_file,
    build_item,
)
from wagtaildale.platform.tests.feeds import (
    build_changes,
    build_feed,
    build_page,
    find_blobs,
    list_instances,
    read_feed,
)
from wagtaildale.types import DocumentKind

CONFIGURATION = 'op/config'
EVACUATION = 'op/evacuate/derby'
FIRST = 'servers/i-1'


def build_slow_starting() -> dict[str, object]:
    configuration = build_configuration()
    configuration['clusters'][0].update(coldS=3.0, coldPerS=7.5)
    return configuration


def test_evacuation_is_part_of_the_list_until_it_is_taken_back() -> None:
    """Servers of an evacuated data centre are used until it is empty."""
    feed, _client = build_feed(
        build_page(build_item(FIRST, build_entry())),
        build_changes(build_item(EVACUATION, {}, revision=10), revision=10),
        build_changes(
            {'key': EVACUATION, 'revision': 11, 'tombstone': True}, revision=11
        ),
    )
    marks = [
        list_instances(read_feed(feed))['i-1'].is_evacuated
        for _read in range(3)
    ]
    assert marks == [False, True, False]


def test_full_read_has_the_evacuation() -> None:
    """A node that starts during an evacuation does not know of it."""
    feed, _client = build_feed(
        build_page(
            build_item(EVACUATION, {}), build_item(FIRST, build_entry())
        ),
    )
    assert list_instances(read_feed(feed))['i-1'].is_evacuated


def test_evacuation_of_an_unknown_data_centre_changes_nothing() -> None:
    feed, _client = build_feed(
        build_page(
            build_item('op/evacuate/nowhere', {}),
            build_item(FIRST, build_entry()),
        ),
    )
    assert not list_instances(read_feed(feed))['i-1'].is_evacuated


def test_list_without_evacuation_reads_as_before() -> None:
    """Two builds make different contents of one version."""
    feed, _client = build_feed(build_page(build_item(FIRST, build_entry())))
    blob = find_blobs(read_feed(feed), DocumentKind.instances)[0]
    assert not {'evacuated', 'slow_start_ms'} & json.decode(blob).keys()


@pytest.mark.parametrize(
    ('configuration', 'expected_ms'),
    [(build_slow_starting(), 2500), (build_configuration(), 0)],
)
def test_cold_time_is_listed_if_the_service_has_a_slow_start(
    configuration: dict[str, object], expected_ms: int
) -> None:
    """Each report of a server that just started changes the whole list."""
    status = {'state': 'ready', 'sequence': 8, 'coldLeftMs': 2500.4}
    feed, _client = build_feed(
        build_page(
            build_item(CONFIGURATION, configuration),
            build_item(FIRST, build_entry(status=status)),
        ),
    )
    record = list_instances(read_feed(feed))['i-1']
    assert record.slow_start_left_ms == expected_ms


def test_bounds_of_a_slow_start_are_read() -> None:
    bounds = translate_settings(
        build_file(bounds=['coldOver=1.5', 'coldSlack=8', 'evacuateMs=5000'])
    ).bounds
    assert (bounds.slow_start_factor, bounds.slow_start_slack) == (1.5, 8)
    assert bounds.expects_slow_start


def test_platform_without_slow_starts_bounds_no_fresh_owner() -> None:
    """A node that restarts turns away what its warm server could take."""
    bounds = translate_settings(build_file(bounds=['graceS=6'])).bounds
    assert not bounds.expects_slow_start
