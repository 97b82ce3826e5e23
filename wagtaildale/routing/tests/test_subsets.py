"""Tests of the subset of a large service that an entry calls."""

from __future__ import annotations

from collections import Counter

import pytest

from wagtaildale.membership.records import InstanceRecord
from wagtaildale.routing.subsets import (
    MAX_NEAR_WEIGHT,
    MAX_UPSTREAMS_PER_WEIGHT,
    MIN_FAR_WEIGHT,
    MIN_SUBSET_WEIGHT,
    rank_upstreams,
)
from wagtaildale.testing.builders import build_record
from wagtaildale.types import DataCentre, InstanceId

DATA_CENTRES = (
    'derby',
    'coventry',
    'nottingham',
    'northampton',
    'leicester-a',
    'b',
)


def spread_over_data_centres(
    count: int, data_centres: tuple[str, ...] = DATA_CENTRES
) -> list[str]:
    return [data_centres[number % len(data_centres)] for number in range(count)]


def build_records(data_centres: list[str]) -> tuple[InstanceRecord, ...]:
    return tuple(
        build_record(f'i{number}', data_centre=data_centre)
        for number, data_centre in enumerate(data_centres)
    )


def select(
    records: tuple[InstanceRecord, ...],
    *,
    entry: int,
    data_centre: str,
) -> list[InstanceRecord]:
    ranked = rank_upstreams(
        records,
        entry=InstanceId(f'e{entry}'),
        data_centre=DataCentre(data_centre),
    )
    return ranked.select(lambda _record: True)


def test_every_entry_of_a_large_service_has_near_upstreams() -> None:
    """Prevents traffic between data centres though fifteen servers are near.

    With ninety servers in six data centres, a subset of twelve drawn from the
    whole list has two near ones on average, and for some entries none.
    """
    records = build_records(spread_over_data_centres(90))
    for entry in range(200):
        subset = select(records, entry=entry, data_centre='derby')
        near = [each for each in subset if each.data_centre == 'derby']
        assert len(near) == MAX_NEAR_WEIGHT
        assert len(subset) == MAX_NEAR_WEIGHT + MIN_FAR_WEIGHT


def test_subsets_spread_over_a_large_service() -> None:
    records = build_records(spread_over_data_centres(100, ('derby',)))
    used: Counter[str] = Counter()
    for entry in range(200):
        subset = select(records, entry=entry, data_centre='derby')
        assert len(subset) == MIN_SUBSET_WEIGHT
        used.update(record.instance for record in subset)
    assert len(used) == 100
    assert max(used.values()) < 3 * 200 * MIN_SUBSET_WEIGHT / 100


@pytest.mark.parametrize('near', [0, 1, 5])
def test_far_upstreams_fill_the_subset_if_few_are_near(near: int) -> None:
    """A data centre may have one server of a service, or none."""
    data_centres = [
        *spread_over_data_centres(near, ('derby',)),
        *spread_over_data_centres(60, DATA_CENTRES[1:]),
    ]
    subset = select(build_records(data_centres), entry=1, data_centre='derby')
    assert len(subset) == MIN_SUBSET_WEIGHT
    found = [each for each in subset if each.data_centre == 'derby']
    assert len(found) == near


def test_subset_of_a_small_service_has_all_upstreams() -> None:
    records = build_records(spread_over_data_centres(7, DATA_CENTRES[:3]))
    assert set(select(records, entry=1, data_centre='derby')) == set(records)


def test_change_of_the_list_moves_few_upstreams() -> None:
    records = build_records(spread_over_data_centres(90))
    before = select(records, entry=1, data_centre='derby')
    after = select(records[6:], entry=1, data_centre='derby')
    assert len(set(before) - set(after)) <= 3


def test_limited_upstreams_count_by_the_share_they_accept() -> None:
    """If all near servers accept a third, four far ones would get the rest."""
    records = build_records(spread_over_data_centres(600))
    ranked = rank_upstreams(
        records,
        entry=InstanceId('e1'),
        data_centre=DataCentre(DATA_CENTRES[0]),
    )
    whole = ranked.select(_want)
    thirds = ranked.select(_want, find_weight=lambda _record: 1 / 3)
    accepting_nothing = ranked.select(_want, find_weight=lambda _record: 0)
    assert len(thirds) == 3 * len(whole)
    assert len(accepting_nothing) <= MAX_UPSTREAMS_PER_WEIGHT * (
        MAX_NEAR_WEIGHT + MIN_SUBSET_WEIGHT
    )


def _want(_record: InstanceRecord) -> bool:
    return True
