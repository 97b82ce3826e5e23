"""Tests of servers that were replaced while the list names earlier ones."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

import pytest

from wagtaildale.calls import server_identity
from wagtaildale.calls.tests.pairs import wait_until
from wagtaildale.calls.tests.replaced_servers import ReplacedFleet
from wagtaildale.settings.model import RETRY_SHARE, RETRY_SLACK
from wagtaildale.telemetry.events import EventKind

if TYPE_CHECKING:
    from collections.abc import Iterator

UPSTREAMS: Final = 5
REQUESTS: Final = 100
LONG_SECONDS: Final = 60.0


@pytest.fixture
def fleet() -> Iterator[ReplacedFleet]:
    with ReplacedFleet(UPSTREAMS) as made:
        yield made


def test_repeats_at_replaced_servers_stay_within_the_budget(
    fleet: ReplacedFleet,
) -> None:
    """Operators see requests reach twice as many servers as they allow.

    All servers of a service start anew while the platform is silent, and
    each turns away what names the one before it. Its owner passed that on as
    a refusal of its own, and after one of those an entry asks elsewhere
    without spending a repeat, since no server has seen the request. With
    none left in the budget a request still arrived three times:

        run-ended code=4006 attempt=2 outcome=not-run detail="status 421"
        call-redirected code=4006 outcome=not-run detail="status 421"
        run-ended code=4006 attempt=3 outcome=not-run detail="status 421"
        call-refused code=4006 not_retried=budget-spent

    In one such day 3,090 requests were redirected and 275 retried. An owner
    now says whether its server got the request; such a one costs a repeat.
    """
    fleet.replace_all()
    for number in range(REQUESTS):
        fleet.ask(f'r{number}')
    assert fleet.count_repeats() <= RETRY_SHARE * REQUESTS + RETRY_SLACK


def test_server_is_not_asked_again_for_whom_it_is_not(
    fleet: ReplacedFleet,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A third of all requests reach servers that turn them away.

    While the platform is silent each owner goes on handing requests to its
    server for an instance that the server has said it is not: 6,698 of
    11,273 requests of one such day, 2,389 of 6,953 once each cost a repeat.
    """
    monkeypatch.setattr(server_identity, 'DENIED_SECONDS', LONG_SECONDS)
    fleet.replace_all()
    for number in range(REQUESTS):
        fleet.ask(f'r{number}')
    assert len(fleet.list_arrivals()) <= 2 * UPSTREAMS


def test_requests_are_run_by_the_server_that_took_an_address(
    fleet: ReplacedFleet,
) -> None:
    """Callers are refused by a service whose servers are all well.

    Its servers started anew while the platform is silent. Everybody names
    those before them, and for as long as that lasts nothing is run.
    """
    fleet.publish_health_path()
    fleet.replace_all()
    for number in range(REQUESTS):
        fleet.ask(f'r{number}')
    answers = [fleet.ask(f's{number}') for number in range(REQUESTS)]
    booking = fleet.ask('b', method='POST')
    assert all(answer.startswith(b'HTTP/1.1 200') for answer in answers)
    assert booking.startswith(b'HTTP/1.1 200')


def test_server_that_does_not_say_who_it_is_shows_in_the_log(
    fleet: ReplacedFleet,
) -> None:
    """Callers are refused for as long as the platform is silent, unexplained.

    Servers answer their health checks without naming themselves.
    """
    fleet.publish_health_path()
    for backend in fleet.backends:
        backend.instance = ''
    fleet.ask('r')
    wait_until(lambda: EventKind.server_unnamed in fleet.list_events())
    assert EventKind.server_named not in fleet.list_events()
