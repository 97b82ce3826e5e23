"""Tests of replaced servers while the list still names earlier ones."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

import pytest

from wagtaildale.calls.owner import server_identity
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


def test_retries_at_replaced_servers_stay_within_the_budget(
    fleet: ReplacedFleet,
) -> None:
    """Requests reach twice as many servers as the retry budget allows.

    All servers of a service restart while the platform is unreachable, and
    each refuses requests for its predecessor. If the owner reports that as a
    refusal of its own, the entry redirects the request without spending a
    retry, as if no server had seen it. With an empty budget, a request then
    still arrives three times, and redirects far outnumber retries (3,090 and
    275). An owner therefore reports whether its server received the request,
    and such a refusal costs a retry.
    """
    fleet.replace_all()
    for number in range(REQUESTS):
        fleet.ask(f'r{number}')
    assert fleet.count_repeats() <= RETRY_SHARE * REQUESTS + RETRY_SLACK


def test_server_gets_no_more_requests_for_an_instance_it_denied(
    fleet: ReplacedFleet,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A third of all requests reach servers that refuse them.

    While the platform is unreachable, an owner keeps sending its server
    requests for an instance that the server has denied to be. Without a memory
    of the denial, that is 6,698 of 11,273 requests, and 2,389 of 6,953 if each
    costs a retry.
    """
    monkeypatch.setattr(server_identity, 'DENIAL_RECHECK_SECONDS', LONG_SECONDS)
    fleet.replace_all()
    for number in range(REQUESTS):
        fleet.ask(f'r{number}')
    assert len(fleet.list_arrivals()) <= 2 * UPSTREAMS


def test_requests_run_on_the_server_that_took_over_an_address(
    fleet: ReplacedFleet,
) -> None:
    """Callers are refused by a service whose servers are all healthy.

    The servers restarted while the platform is unreachable. Requests name
    their predecessors, and nothing runs until the platform is back.
    """
    fleet.publish_health_path()
    fleet.replace_all()
    for number in range(REQUESTS):
        fleet.ask(f'r{number}')
    answers = [fleet.ask(f's{number}') for number in range(REQUESTS)]
    booking = fleet.ask('b', method='POST')
    assert all(answer.startswith(b'HTTP/1.1 200') for answer in answers)
    assert booking.startswith(b'HTTP/1.1 200')


def test_server_that_names_itself_in_a_refusal_is_not_asked_again(
    fleet: ReplacedFleet,
) -> None:
    """Callers are refused by healthy servers whose health check is refused."""
    for backend in fleet.backends:
        backend.names_itself = True
    fleet.replace_all()
    answers = [fleet.ask(f'r{number}') for number in range(REQUESTS)]
    served = [each for each in answers if each.startswith(b'HTTP/1.1 200')]
    assert len(served) >= REQUESTS - UPSTREAMS
    assert len(fleet.list_arrivals()) <= REQUESTS + UPSTREAMS


def test_server_that_does_not_identify_itself_is_logged(
    fleet: ReplacedFleet,
) -> None:
    """Callers are refused while the platform is unreachable, unexplained.

    The servers answer health checks without naming their instance.
    """
    fleet.publish_health_path()
    for backend in fleet.backends:
        backend.instance = ''
    fleet.ask('r')
    wait_until(lambda: EventKind.server_unnamed in fleet.list_events())
    assert EventKind.server_named not in fleet.list_events()
