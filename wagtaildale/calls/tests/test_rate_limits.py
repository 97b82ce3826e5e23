"""Tests of servers that report a rate limit."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING, Final

import pytest

from wagtaildale.calls.tests.feedback_servers import FeedbackFleet

if TYPE_CHECKING:
    from collections.abc import Iterator

    from wagtaildale.calls.tests.feedback_servers import FeedbackBackend

ENTRIES: Final = 3
UPSTREAMS: Final = 3
VISITS: Final = 60
PATH: Final = '/files/1'
LIMIT: Final = 1.0
# Allowed excess over the limit: a factor, and a number of requests.
ALLOWED_RATIO: Final = 1.5
ALLOWED_EXTRA_REQUESTS: Final = 5


@pytest.fixture
def fleet() -> Iterator[FeedbackFleet]:
    with FeedbackFleet(UPSTREAMS, entries=ENTRIES) as made:
        yield made


def visit(fleet: FeedbackFleet, times: int = VISITS) -> list[bytes]:
    return [fleet.ask(PATH, entry=time % ENTRIES) for time in range(times)]


def assert_limit_respected(backend: FeedbackBackend, *, since: float) -> None:
    late = [at for at in backend.arrivals if at > since]
    seconds = time.monotonic() - since
    assert len(late) <= ALLOWED_RATIO * LIMIT * seconds + ALLOWED_EXTRA_REQUESTS


def test_server_gets_no_more_than_its_rate_limit(
    fleet: FeedbackFleet,
) -> None:
    """An overloaded server reports a limit, and gets as much as before."""
    limited = fleet.backends[0]
    limited.set_limit(LIMIT)
    visit(fleet, ENTRIES * UPSTREAMS)
    since = time.monotonic()
    answers = visit(fleet)
    assert_limit_respected(limited, since=since)
    assert all(answer.startswith(b'HTTP/1.1 200') for answer in answers)


def test_rate_limit_survives_a_restart_of_the_owner(
    fleet: FeedbackFleet,
) -> None:
    """An owner that has just started admits every request to its server."""
    limited = fleet.backends[0]
    limited.set_limit(LIMIT)
    visit(fleet, ENTRIES * UPSTREAMS)
    fleet.restart_owner(0)
    since = time.monotonic()
    visit(fleet)
    assert_limit_respected(limited, since=since)


def test_callers_of_a_limited_service_are_refused_at_once(
    fleet: FeedbackFleet,
) -> None:
    """Every server of a service reports a limit."""
    for backend in fleet.backends:
        backend.set_limit(LIMIT)
    visit(fleet, ENTRIES * UPSTREAMS)
    since = time.monotonic()
    answers = visit(fleet)
    for limited in fleet.backends:
        assert_limit_respected(limited, since=since)
    refused = [each for each in answers if not each.startswith(b'HTTP/1.1 200')]
    assert refused
    for answer in refused:
        assert answer.startswith(b'HTTP/1.1 503')
        assert b'retry-after: ' in answer
