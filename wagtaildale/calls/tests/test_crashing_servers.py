"""Tests of requests that end the servers that run them."""

from __future__ import annotations

from types import MappingProxyType
from typing import TYPE_CHECKING, Final

import pytest
from msgspec import structs

from wagtaildale.calls.tests.crashing_servers import (
    FATAL,
    HARMLESS,
    CrashingFleet,
)
from wagtaildale.calls.tests.pairs import wait_until
from wagtaildale.suspects import records
from wagtaildale.telemetry.events import EventKind
from wagtaildale.types import ListedState

if TYPE_CHECKING:
    from collections.abc import Iterator

UPSTREAMS: Final = 6
ENTRIES: Final = 3
ALLOWED_ENDS: Final = 3
ALLOWED_RETRIES: Final = 3
REPEATS: Final = 10
POPULAR: Final = '/files/popular'
ANSWERED: Final = b'HTTP/1.1 200'
NOT_RUN: Final = b'HTTP/1.1 503'
MAY_HAVE_RUN: Final = b'HTTP/1.1 502'
NO_BACKOFF_SECONDS: Final = MappingProxyType({3: 0, 4: 0})
LONG_BACKOFF_SECONDS: Final = MappingProxyType({3: 1000})


@pytest.fixture
def fleet() -> Iterator[CrashingFleet]:
    with CrashingFleet(UPSTREAMS, entries=ENTRIES) as made:
        yield made


def list_kinds(fleet: CrashingFleet) -> set[EventKind]:
    return {
        event.kind
        for node in fleet.nodes
        for event in node.recorder.read_since(0)
    }


def end_servers(fleet: CrashingFleet, count: int) -> None:
    while fleet.crash_count < count:
        fleet.ask(FATAL)
        fleet.restart_crashed()


def test_request_that_ends_servers_is_not_forwarded_for_ever(
    fleet: CrashingFleet,
) -> None:
    """One caller ends every server of a service again and again."""
    end_servers(fleet, ALLOWED_ENDS)
    before = fleet.count_arrivals(FATAL)
    for _visit in range(REPEATS):
        fleet.ask(FATAL)
        fleet.restart_crashed()
    assert fleet.count_arrivals(FATAL) - before <= ALLOWED_RETRIES
    assert fleet.ask(HARMLESS).startswith(ANSWERED)


def test_request_without_backoff_ends_two_more_servers_at_most(
    fleet: CrashingFleet,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A request that ends servers is tried again on each visit."""
    monkeypatch.setattr(records, 'TRIAL_DELAYS_SECONDS', NO_BACKOFF_SECONDS)
    end_servers(fleet, ALLOWED_ENDS)
    for visit in range(REPEATS):
        fleet.ask(FATAL, entry=visit % ENTRIES)
        fleet.restart_crashed()
    assert fleet.crash_count <= ALLOWED_ENDS + len(NO_BACKOFF_SECONDS)


@pytest.mark.parametrize('method', ['GET', 'POST'])
def test_caller_of_a_harmful_request_gets_a_retry_delay(
    fleet: CrashingFleet,
    method: str,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A refusal says that nothing ran, and names a delay for the retry."""
    monkeypatch.setattr(records, 'TRIAL_DELAYS_SECONDS', LONG_BACKOFF_SECONDS)
    path = FATAL if method == 'GET' else '/bookings'
    fleet.change_fatal_paths(path)
    for backend in fleet.backends:
        backend.crash()
    fleet.restart_crashed()
    while not fleet.suspects.table.list_restricted():
        assert fleet.ask(path, method=method).startswith(MAY_HAVE_RUN)
        fleet.restart_crashed()
    fleet.ask(path, method=method)
    fleet.restart_crashed()
    answer = fleet.ask(path, method=method)
    assert answer.startswith(NOT_RUN)
    assert b'"code":4026' in answer
    assert b'retry-after: 60.000' in answer


def test_end_of_a_server_is_logged(
    fleet: CrashingFleet,
) -> None:
    """Operators see ten failed runs, but not that a server ended."""
    fleet.ask(FATAL)
    assert EventKind.server_ended in list_kinds(fleet)


def test_no_caller_is_refused_when_all_servers_end_at_once(
    fleet: CrashingFleet,
) -> None:
    """A popular lookup is refused because many servers ended running it."""
    fleet.change_fatal_paths()
    fleet.crash_all(POPULAR, requests=2 * UPSTREAMS)
    fleet.restart_crashed()
    assert fleet.suspects.table.records
    answers = [
        fleet.ask(POPULAR, entry=visit % ENTRIES)
        for visit in range(2 * UPSTREAMS)
    ]
    assert all(answer.startswith(ANSWERED) for answer in answers)


def test_no_caller_is_refused_when_servers_end_again_and_again(
    fleet: CrashingFleet,
) -> None:
    """A popular lookup is refused because servers end repeatedly."""
    fleet.change_fatal_paths()
    for _visit in range(2 * ALLOWED_ENDS):
        fleet.crash_all(POPULAR, requests=UPSTREAMS)
        fleet.restart_crashed()
        assert fleet.ask(POPULAR).startswith(ANSWERED)


def test_request_that_runs_beside_a_fatal_one_runs_again(
    fleet: CrashingFleet,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A harmless request is refused permanently.

    It was running each time that a server ended.
    """
    monkeypatch.setattr(records, 'TRIAL_DELAYS_SECONDS', NO_BACKOFF_SECONDS)
    fleet.change_fatal_paths()
    while not fleet.suspects.table.list_restricted():
        fleet.crash_all(POPULAR, requests=1)
        fleet.restart_crashed()
    fleet.crash_all(POPULAR, requests=1)
    fleet.restart_crashed()
    assert fleet.ask(POPULAR).startswith(ANSWERED)
    wait_until(lambda: not fleet.suspects.table.list_restricted())
    assert EventKind.server_ended in list_kinds(fleet)


def test_planned_end_of_a_server_makes_no_request_suspected(
    fleet: CrashingFleet,
) -> None:
    """A request is suspected because of a planned end of its server."""
    leaving = [
        structs.replace(record, state=ListedState.leaving)
        for record in fleet.records
    ]
    for owner in fleet.owners:
        owner.set_instances(*leaving)
    for entry in fleet.entries:
        entry.set_instances(*fleet.records)
    fleet.ask(FATAL)
    assert not fleet.suspects.table.records
