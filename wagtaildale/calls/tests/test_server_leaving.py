"""Tests of servers that say in their answers that they leave."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

import pytest
from msgspec import structs

from wagtaildale.calls.tests.feedback_servers import FeedbackFleet
from wagtaildale.calls.tests.pairs import wait_until

if TYPE_CHECKING:
    from collections.abc import Iterator

ENTRIES: Final = 2
UPSTREAMS: Final = 3
VISITS: Final = 30
PATH: Final = '/files/1'
LEAVES: Final = b'server-leaving: 1\r\n'
ANSWERED: Final = b'HTTP/1.1 200'
NOT_RUN: Final = b'HTTP/1.1 503'


@pytest.fixture
def fleet() -> Iterator[FeedbackFleet]:
    with FeedbackFleet(UPSTREAMS, entries=ENTRIES) as made:
        yield made


def visit(fleet: FeedbackFleet, *, entry: int = 0) -> list[bytes]:
    return [fleet.ask(PATH, entry=entry) for _time in range(VISITS)]


def hear_leaving(fleet: FeedbackFleet) -> None:
    """Let the first server leave, and its first entry pass that on."""
    fleet.backends[0].says = LEAVES
    wait_until(lambda: LEAVES in fleet.ask(PATH))


def test_server_that_says_it_leaves_gets_no_more(fleet: FeedbackFleet) -> None:
    """A server that is listed as ready has said that it leaves."""
    hear_leaving(fleet)
    before = len(fleet.backends[0].arrivals)
    for entry in range(ENTRIES):
        answers = visit(fleet, entry=entry)
        assert all(answer.startswith(ANSWERED) for answer in answers)
    assert len(fleet.backends[0].arrivals) == before


def test_entry_remembers_when_the_owner_does_not(fleet: FeedbackFleet) -> None:
    """The process beside a leaving server starts anew and knows nothing."""
    hear_leaving(fleet)
    fleet.restart_owner(0)
    fleet.show(*fleet.records)
    before = len(fleet.backends[0].arrivals)
    visit(fleet)
    assert len(fleet.backends[0].arrivals) == before


def test_callers_are_refused_where_all_servers_leave(
    fleet: FeedbackFleet,
) -> None:
    """With no other left, requests go to servers that are about to end."""
    for backend in fleet.backends:
        backend.says = LEAVES
    wait_until(lambda: fleet.ask(PATH).startswith(NOT_RUN))
    before = sum(len(each.arrivals) for each in fleet.backends)
    for answer in visit(fleet):
        assert answer.startswith(NOT_RUN)
    assert sum(len(each.arrivals) for each in fleet.backends) == before


def test_server_that_starts_again_is_used_again(fleet: FeedbackFleet) -> None:
    """A server keeps its id when it starts again, and is left out for good."""
    hear_leaving(fleet)
    for other in fleet.backends:
        other.says = LEAVES
    again = fleet.backends[0]
    again.says = b''
    before = len(again.arrivals)
    started = structs.replace(fleet.records[0], born=7)
    fleet.show(started, *fleet.records[1:])
    for answer in visit(fleet):
        assert answer.startswith(ANSWERED)
    assert len(again.arrivals) > before
