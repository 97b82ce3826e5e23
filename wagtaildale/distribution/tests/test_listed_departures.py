"""Tests of the departures that a new instance list shows."""

from __future__ import annotations

from wagtaildale.distribution.listed_departures import (
    DepartureWord,
    ListedDeparture,
    list_departures,
)
from wagtaildale.testing.builders import build_instances, build_record
from wagtaildale.types import InstanceId, ListedState


def test_reported_and_removed_instances_are_listed_once() -> None:
    """No log shows by which word a node knows that a server leaves."""
    stays, reports, vanishes = map(build_record, ('a', 'b', 'c'))
    before = build_instances(stays, reports, vanishes)
    leaving = build_record('b', state=ListedState.leaving)
    after = build_instances(stays, leaving, version=2)
    assert set(list_departures(before, after)) == {
        ListedDeparture(instance=InstanceId('b'), word=DepartureWord.reported),
        ListedDeparture(instance=InstanceId('c'), word=DepartureWord.removed),
    }
    later = build_instances(stays, leaving, version=3)
    assert not list(list_departures(after, later))
