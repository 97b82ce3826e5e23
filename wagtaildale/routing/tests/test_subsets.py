"""Tests of which upstreams of a large service an entry calls."""

from __future__ import annotations

from collections import Counter

import pytest

from wagtaildale.membership.records import InstanceRecord
from wagtaildale.routing.subsets import (
    MIN_FAR,
    MAX_NEAR,
    MAX_UPSTREAMS_PER_WEIGHT,
    SUBSET_SIZE,
    rank_upstreams,
)
from wagtaildale.testing.builders import build_record
from wagtaildale.types import DataCentre, InstanceId

PLACES = ('derby', 'coventry', 'nottingham', 'northampton', 'leicester-a', 'b')


def build_service(count: int, places: tuple[str, ...] = PLACES) -> list[str]:
    return [places[number % len(places)] for number in range(count)]


def build_records(places: list[str]) -> tuple[InstanceRecord, ...]:
    return tuple(
        build_record(f'i{number}', data_centre=place)
        for number, place in enumerate(places)
    )


def select(
    records: tuple[InstanceRecord, ...],
    *,
    entry: int,
    place: str,
) -> list[InstanceRecord]:
    ranked = rank_upstreams(
        records,
        entry=InstanceId(f'e{entry}'),
        data_centre=DataCentre(place),
    )
    return ranked.select(lambda _record: True)


def test_every_entry_of_a_large_service_has_near_upstreams() -> None:
    """Lookups cross data centres on a calm day though fifteen servers are near.

    With ninety servers in six data centres, twelve that are drawn over the
    whole list have two near ones among them on average, and for some
    entries none.
    """
    records = build_records(build_service(90))
    for entry in range(200):
        subset = select(records, entry=entry, place='derby')
        near = [each for each in subset if each.data_centre == 'derby']
        assert len(near) == MAX_NEAR
        assert len(subset) == MAX_NEAR + MIN_FAR


def test_subsets_spread_over_a_large_service() -> None:
    records = build_records(build_service(100, ('derby',)))
    used: Counter[str] = Counter()
    for entry in range(200):
        subset = select(records, entry=entry, place='derby')
        assert len(subset) == SUBSET_SIZE
        used.update(record.instance for record in subset)
    assert len(used) == 100
    assert max(used.values()) < 3 * 200 * SUBSET_SIZE / 100


@pytest.mark.parametrize('near', [0, 1, 5])
def test_far_upstreams_fill_up_what_is_not_near(near: int) -> None:
    """A data centre has one server of a service, or none at all."""
    places = [
        *build_service(near, ('derby',)),
        *build_service(60, PLACES[1:]),
    ]
    subset = select(build_records(places), entry=1, place='derby')
    assert len(subset) == SUBSET_SIZE
    found = [each for each in subset if each.data_centre == 'derby']
    assert len(found) == near


def test_small_service_is_called_whole() -> None:
    records = build_records(build_service(7, PLACES[:3]))
    assert set(select(records, entry=1, place='derby')) == set(records)


def test_a_change_of_the_list_moves_few() -> None:
    records = build_records(build_service(90))
    before = select(records, entry=1, place='derby')
    after = select(records[6:], entry=1, place='derby')
    assert len(set(before) - set(after)) <= 3


def test_limited_upstreams_count_as_the_part_that_they_take() -> None:
    """All near servers take a third, and four far ones get the rest."""
    records = build_records(build_service(600))
    ranked = rank_upstreams(
        records,
        entry=InstanceId('e1'),
        data_centre=DataCentre(PLACES[0]),
    )
    whole = ranked.select(_want)
    thirds = ranked.select(_want, weigh=lambda _record: 1 / 3)
    nothing = ranked.select(_want, weigh=lambda _record: 0)
    assert len(thirds) == 3 * len(whole)
    assert len(nothing) <= MAX_UPSTREAMS_PER_WEIGHT * (MAX_NEAR + SUBSET_SIZE)


def _want(_record: InstanceRecord) -> bool:
    return True
