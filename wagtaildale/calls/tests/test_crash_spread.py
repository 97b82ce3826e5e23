"""Tests of how many servers a request that crashes them can take down."""

from __future__ import annotations

from concurrent.futures import ThreadPoolExecutor
from typing import TYPE_CHECKING, Final

import pytest

from wagtaildale.calls.tests.crashing_servers import (
    FATAL,
    HARMLESS,
    CrashingFleet,
)
from wagtaildale.calls.tests.pairs import wait_until

if TYPE_CHECKING:
    from wagtaildale.testing.mesh import MeshNode

ENTRIES: Final = 3
REQUESTS: Final = 12
POPULAR: Final = '/files/popular'
ANSWERED: Final = b'HTTP/1.1 200'


def ask_entries(fleet: CrashingFleet, path: str) -> list[bytes]:
    return [
        fleet.ask(path, entry=number % ENTRIES) for number in range(REQUESTS)
    ]


@pytest.mark.parametrize('upstreams', [2, 3, 6])
def test_request_crashes_one_server_at_a_time(upstreams: int) -> None:
    """A request must not crash a second server while the first is down."""
    with CrashingFleet(upstreams, entries=ENTRIES) as fleet:
        ask_entries(fleet, FATAL)
        assert fleet.crash_count == 1
        answers = ask_entries(fleet, HARMLESS)
        assert all(answer.startswith(ANSWERED) for answer in answers)


def test_each_of_several_requests_crashes_one_server_at_a_time() -> None:
    """Two requests must not crash every server of a service together."""
    paths = (FATAL, '/files/deadly-2')
    with CrashingFleet(6, entries=ENTRIES, fatal_paths=paths) as fleet:
        for path in (*paths, *paths):
            ask_entries(fleet, path)
        assert fleet.crash_count == len(paths)


def test_request_is_retried_where_a_server_crashed() -> None:
    """A request must not be held back for good once its server is up."""
    with CrashingFleet(3, entries=ENTRIES) as fleet:
        fleet.ask(FATAL)
        first = [each.has_crashed for each in fleet.backends]
        fleet.restart_crashed()
        wait_until(
            lambda: bool(ask_entries(fleet, FATAL)) and fleet.crash_count == 2
        )
        assert [each.has_crashed for each in fleet.backends] == first


def test_concurrent_requests_reach_a_restarted_server_one_by_one() -> None:
    """Five callers waiting for a server must not all reach it at once."""
    with CrashingFleet(3, entries=ENTRIES) as fleet:
        fleet.ask(FATAL)
        fleet.restart_crashed()
        before = fleet.count_arrivals(FATAL)
        with ThreadPoolExecutor(5) as callers:
            for number in range(5):
                callers.submit(fleet.ask, FATAL, entry=number % ENTRIES)
        assert fleet.count_arrivals(FATAL) <= before + 1


def test_run_elsewhere_is_abandoned_when_a_server_crashes() -> None:
    """A request running at two servers must not crash both in turn."""
    with CrashingFleet(2, entries=1) as fleet, ThreadPoolExecutor(2) as callers:
        for backend in fleet.backends:
            backend.may_answer.clear()
        wait_until(lambda: all(is_connected(each, 1) for each in fleet.owners))
        asked = [callers.submit(fleet.ask, POPULAR, entry=0)]
        wait_until(lambda: fleet.count_arrivals(POPULAR) == 1)
        asked.append(callers.submit(fleet.ask, POPULAR, entry=0))
        wait_until(lambda: fleet.count_arrivals(POPULAR) == 2)
        assert all(each.arrivals for each in fleet.backends)
        fleet.backends[0].crash()
        answers = [each.result() for each in asked]
        assert not any(answer.startswith(ANSWERED) for answer in answers)
        assert not fleet.backends[1].may_answer.is_set()


def test_popular_lookup_beside_a_crash_is_not_delayed() -> None:
    """A lookup that all callers send ran at the server that crashed."""
    with CrashingFleet(3, entries=ENTRIES) as fleet:
        ask_entries(fleet, POPULAR)
        fleet.crash_one(POPULAR)
        answers = ask_entries(fleet, POPULAR)
        assert all(answer.startswith(ANSWERED) for answer in answers)


def test_crashed_server_gets_no_requests_until_it_is_up() -> None:
    """Entries must not rediscover every half second that a server is down."""
    with CrashingFleet(3, entries=ENTRIES) as fleet:
        wait_until(lambda: all(is_connected(each) for each in fleet.owners))
        fleet.ask(FATAL)
        down = next(
            owner
            for owner, each in zip(fleet.owners, fleet.backends, strict=True)
            if each.has_crashed
        )
        wait_until(lambda: all(knows_of_down(each) for each in fleet.entries))
        before = down.owner.pool.opened_count
        for _time in range(5):
            answers = ask_entries(fleet, HARMLESS)
            assert all(answer.startswith(ANSWERED) for answer in answers)
        assert down.owner.pool.opened_count == before
        fleet.restart_crashed()
        wait_until(
            lambda: (
                bool(ask_entries(fleet, HARMLESS))
                and down.owner.pool.opened_count > before
            ),
        )


def is_connected(owner: MeshNode, entries: int = ENTRIES) -> bool:
    return owner.calls.peer_port.open_connections >= entries


def knows_of_down(entry: MeshNode) -> bool:
    return bool(entry.calls.entry.parts.placement.statistics.down_servers)
