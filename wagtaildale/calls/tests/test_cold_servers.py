"""Tests of what a cold server gets, over real sockets."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING, Final

import pytest

from wagtaildale.calls.owner.idle_review import IDLE_SECONDS
from wagtaildale.calls.tests.cold_servers import TOLERATED, ColdPair
from wagtaildale.calls.tests.pairs import wait_until

if TYPE_CHECKING:
    from collections.abc import Iterator

ANSWERED: Final = b'HTTP/1.1 200'


@pytest.fixture
def warm_pair() -> Iterator[ColdPair]:
    """A pair whose server has said that it is warm."""
    with ColdPair(is_configured=False) as pair:
        pair.server.cold_seconds = 0
        pair.configure_owner()
        wait_until(lambda: pair.count_ends() == 1)
        yield pair


def test_owner_without_a_configuration_sends_a_handful() -> None:
    """After a loss of power, an owner takes a cold server for a warm one."""
    with ColdPair(is_configured=False) as pair:
        pair.press(0.4)
        pair.configure_owner()
        pair.press(0.8)
        assert 0 < pair.server.find_most() <= TOLERATED


def test_server_that_restarted_while_idle_counts_as_cold(
    warm_pair: ColdPair,
) -> None:
    """A server that is back before anybody noticed gets its usual rate."""
    warm_pair.press(0.2)
    time.sleep(2 * IDLE_SECONDS)
    warm_pair.server.cold_seconds = 30
    warm_pair.server.restart()
    warm_pair.press(1.2)
    assert 0 < warm_pair.server.find_most() <= TOLERATED


def test_warm_server_gets_its_usual_rate_after_idle_time(
    warm_pair: ColdPair,
) -> None:
    """Each idle time costs callers the rate of a warm server."""
    warm_pair.press(0.2)
    warm_pair.server.end_connections()
    time.sleep(2 * IDLE_SECONDS)
    warm_pair.press(0.5)
    wait_until(lambda: warm_pair.count_ends() == 2)
    assert len(warm_pair.server.arrivals) > 2 * TOLERATED


def test_idle_server_is_not_asked_for_each_request(
    warm_pair: ColdPair,
) -> None:
    """A quiet server gets a health check with every request."""
    asked = warm_pair.server.health_checks
    for number in range(4):
        warm_pair.server.end_connections()
        time.sleep(IDLE_SECONDS)
        assert warm_pair.ask(f'r{number}').startswith(ANSWERED)
    assert warm_pair.server.health_checks <= asked + 1


def test_server_is_asked_until_it_answers() -> None:
    """A lost health check leaves a warm server with a cold one's rate."""
    with ColdPair(is_configured=False) as pair:
        pair.server.cold_seconds = 0
        pair.server.answers_health = False
        pair.configure_owner()
        wait_until(lambda: pair.server.health_checks == 1)
        pair.server.answers_health = True
        wait_until(lambda: pair.count_ends() == 1)
