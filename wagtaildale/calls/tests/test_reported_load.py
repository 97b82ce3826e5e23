"""Tests of servers that report their load."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

import pytest

from wagtaildale.calls.tests.feedback_servers import FeedbackFleet

if TYPE_CHECKING:
    from collections.abc import Iterator

    from wagtaildale.admission.pace import ReportedPace

PATH: Final = '/files/1'
SLOW_PERCENT: Final = 250


@pytest.fixture
def fleet() -> Iterator[FeedbackFleet]:
    with FeedbackFleet(1, entries=1) as made:
        yield made


def find_known_pace(fleet: FeedbackFleet) -> ReportedPace:
    """Find what the entry knows of the pace of the only server."""
    instance = fleet.records[0].instance
    statistics = fleet.entries[0].calls.entry.parts.placement.statistics
    return statistics.find(instance, now=0).slowness.pace


def test_entries_learn_the_pace_with_each_answer(fleet: FeedbackFleet) -> None:
    """An entry sends urgent requests to a server in a slow period."""
    fleet.backends[0].feedback_headers = b'x-server-load: 1,0,4,250\r\n'
    fleet.ask(PATH)
    assert find_known_pace(fleet).percent == SLOW_PERCENT


@pytest.mark.parametrize('text', [b'', b'1,0,4', b'1,0,4,250,1', b'slow'])
def test_servers_without_a_valid_pace_are_of_unknown_pace(
    fleet: FeedbackFleet, text: bytes
) -> None:
    """A server without a pace is handled like one that reports it."""
    if text:
        fleet.backends[0].feedback_headers = b'x-server-load: %b\r\n' % text
    answer = fleet.ask(PATH)
    assert answer.startswith(b'HTTP/1.1 200')
    assert not find_known_pace(fleet).is_known
