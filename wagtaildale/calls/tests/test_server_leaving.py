"""Tests of servers that announce in their answers that they are leaving."""

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
LEAVING_HEADER: Final = b'server-leaving: 1\r\n'
ANSWERED: Final = b'HTTP/1.1 200'
NOT_RUN: Final = b'HTTP/1.1 503'


@pytest.fixture
def fleet() -> Iterator[FeedbackFleet]:
    with FeedbackFleet(UPSTREAMS, entries=ENTRIES) as made:
        yield made


def visit(fleet: FeedbackFleet, *, entry: int = 0) -> list[bytes]:
    return [fleet.ask(PATH, entry=entry) for _visit in range(VISITS)]


def announce_leaving(fleet: FeedbackFleet) -> None:
    """Announce that the first server is leaving, and wait for an answer."""
    fleet.backends[0].feedback_headers = LEAVING_HEADER
    wait_until(lambda: LEAVING_HEADER in fleet.ask(PATH))


def test_server_that_announces_leaving_gets_no_more(
    fleet: FeedbackFleet,
) -> None:
    """A server listed as ready has announced that it is leaving."""
    announce_leaving(fleet)
    before = len(fleet.backends[0].arrivals)
    for entry in range(ENTRIES):
        answers = visit(fleet, entry=entry)
        assert all(answer.startswith(ANSWERED) for answer in answers)
    assert len(fleet.backends[0].arrivals) == before


def test_entry_remembers_a_leaving_server_its_owner_forgot(
    fleet: FeedbackFleet,
) -> None:
    """The node beside a leaving server restarts and loses its state."""
    announce_leaving(fleet)
    fleet.restart_owner(0)
    fleet.show(*fleet.records)
    before = len(fleet.backends[0].arrivals)
    visit(fleet)
    assert len(fleet.backends[0].arrivals) == before


def test_callers_are_refused_if_all_servers_leave(
    fleet: FeedbackFleet,
) -> None:
    """With no other server left, requests go to servers about to end."""
    for backend in fleet.backends:
        backend.feedback_headers = LEAVING_HEADER
    wait_until(lambda: fleet.ask(PATH).startswith(NOT_RUN))
    before = sum(len(each.arrivals) for each in fleet.backends)
    for answer in visit(fleet):
        assert answer.startswith(NOT_RUN)
    assert sum(len(each.arrivals) for each in fleet.backends) == before


def test_server_that_starts_again_is_used_again(fleet: FeedbackFleet) -> None:
    """A server that restarts under its id is never used again."""
    announce_leaving(fleet)
    for other in fleet.backends:
        other.feedback_headers = LEAVING_HEADER
    restarted = fleet.backends[0]
    restarted.feedback_headers = b''
    before = len(restarted.arrivals)
    started = structs.replace(fleet.records[0], born=7)
    fleet.show(started, *fleet.records[1:])
    for answer in visit(fleet):
        assert answer.startswith(ANSWERED)
    assert len(restarted.arrivals) > before


def test_reconnecting_entry_uses_a_server_that_started_again(
    fleet: FeedbackFleet,
) -> None:
    """An owner repeats the announcement of its server's earlier run."""
    announce_leaving(fleet)
    for other in fleet.backends[1:]:
        other.feedback_headers = LEAVING_HEADER
    fleet.backends[0].feedback_headers = b''
    # Connections to owners of leaving servers are closed by a refresh.
    calls = fleet.entries[0].calls
    calls.loop.submit(calls.entry.refresh).result()
    started = structs.replace(fleet.records[0], born=7)
    fleet.show(started, *fleet.records[1:])
    for answer in visit(fleet):
        assert answer.startswith(ANSWERED)
