"""Tests of requests under which servers end."""

from __future__ import annotations

from types import MappingProxyType
from typing import TYPE_CHECKING, Final

import pytest
from msgspec import structs

from wagtaildale.calls.tests.mortal import DEADLY, HARMLESS, MortalFleet
from wagtaildale.calls.tests.pairs import wait_until
from wagtaildale.suspects import records
from wagtaildale.telemetry.events import EventKind
from wagtaildale.types import ListedState

if TYPE_CHECKING:
    from collections.abc import Iterator

UPSTREAMS: Final = 6
ENTRIES: Final = 3
ENDS_BORNE: Final = 3
RETRIES_BORNE: Final = 3
COMES_AGAIN: Final = 10
POPULAR: Final = '/files/popular'
ANSWERED: Final = b'HTTP/1.1 200'
NOT_RUN: Final = b'HTTP/1.1 503'
MAY_HAVE_RUN: Final = b'HTTP/1.1 502'
NO_REST: Final = MappingProxyType({3: 0, 4: 0})
LONG_REST: Final = MappingProxyType({3: 1000})


@pytest.fixture
def fleet() -> Iterator[MortalFleet]:
    with MortalFleet(UPSTREAMS, entries=ENTRIES) as made:
        yield made


def list_kinds(fleet: MortalFleet) -> set[EventKind]:
    return {
        event.kind
        for node in fleet.nodes
        for event in node.recorder.read_since(0)
    }


def end_servers(fleet: MortalFleet, count: int) -> None:
    while fleet.ends < count:
        fleet.ask(DEADLY)
        fleet.revive()


def test_request_that_ends_servers_is_not_sent_on_for_ever(
    fleet: MortalFleet,
) -> None:
    """A caller ends every server of a service again and again."""
    end_servers(fleet, ENDS_BORNE)
    before = fleet.count_arrivals(DEADLY)
    for _time in range(COMES_AGAIN):
        fleet.ask(DEADLY)
        fleet.revive()
    assert fleet.count_arrivals(DEADLY) - before <= RETRIES_BORNE
    assert fleet.ask(HARMLESS).startswith(ANSWERED)


def test_request_that_rests_no_more_ends_two_servers_at_most(
    fleet: MortalFleet,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A request that ends servers is tried anew with each visit."""
    monkeypatch.setattr(records, 'TRIAL_DELAYS_SECONDS', NO_REST)
    end_servers(fleet, ENDS_BORNE)
    for time in range(COMES_AGAIN):
        fleet.ask(DEADLY, entry=time % ENTRIES)
        fleet.revive()
    assert fleet.ends <= ENDS_BORNE + len(NO_REST)


@pytest.mark.parametrize('method', ['GET', 'POST'])
def test_caller_of_a_harmful_request_is_told_to_wait(
    fleet: MortalFleet,
    method: str,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A refusal says at once that nothing ran, and not to come at once."""
    monkeypatch.setattr(records, 'TRIAL_DELAYS_SECONDS', LONG_REST)
    path = DEADLY if method == 'GET' else '/bookings'
    fleet.change_deadly(path)
    for backend in fleet.backends:
        backend.end()
    fleet.revive()
    while not fleet.suspects.table.list_restricted():
        assert fleet.ask(path, method=method).startswith(MAY_HAVE_RUN)
        fleet.revive()
    fleet.ask(path, method=method)
    fleet.revive()
    answer = fleet.ask(path, method=method)
    assert answer.startswith(NOT_RUN)
    assert b'"code":4026' in answer
    assert b'retry-after: 60.000' in answer


def test_word_of_a_server_that_ended_is_in_the_log(fleet: MortalFleet) -> None:
    """Operators see ten failed runs, and not that a server ended."""
    fleet.ask(DEADLY)
    assert EventKind.server_ended in list_kinds(fleet)


def test_nobody_is_turned_away_when_all_servers_end_at_once(
    fleet: MortalFleet,
) -> None:
    """A popular lookup is refused since many servers that ran it ended."""
    fleet.change_deadly()
    fleet.end_all(POPULAR, requests=2 * UPSTREAMS)
    fleet.revive()
    assert fleet.suspects.table.records
    answers = [
        fleet.ask(POPULAR, entry=time % ENTRIES)
        for time in range(2 * UPSTREAMS)
    ]
    assert all(answer.startswith(ANSWERED) for answer in answers)


def test_nobody_is_turned_away_when_servers_end_again_and_again(
    fleet: MortalFleet,
) -> None:
    """A popular lookup is refused for servers that end every other moment."""
    fleet.change_deadly()
    for _time in range(2 * ENDS_BORNE):
        fleet.end_all(POPULAR, requests=UPSTREAMS)
        fleet.revive()
        assert fleet.ask(POPULAR).startswith(ANSWERED)


def test_request_beside_one_that_ends_servers_comes_back(
    fleet: MortalFleet,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """An innocent request is turned away for good.

    It was running each time that a server ended.
    """
    monkeypatch.setattr(records, 'TRIAL_DELAYS_SECONDS', NO_REST)
    fleet.change_deadly()
    while not fleet.suspects.table.list_restricted():
        fleet.end_all(POPULAR, requests=1)
        fleet.revive()
    fleet.end_all(POPULAR, requests=1)
    fleet.revive()
    assert fleet.ask(POPULAR).startswith(ANSWERED)
    wait_until(lambda: not fleet.suspects.table.list_restricted())
    assert EventKind.server_ended in list_kinds(fleet)


def test_server_that_leaves_ends_under_nobody(fleet: MortalFleet) -> None:
    """A request is blamed for a planned end of its server."""
    leaving = [
        structs.replace(record, state=ListedState.leaving)
        for record in fleet.records
    ]
    for owner in fleet.owners:
        owner.show(*leaving)
    for entry in fleet.entries:
        entry.show(*fleet.records)
    fleet.ask(DEADLY)
    assert not fleet.suspects.table.records
