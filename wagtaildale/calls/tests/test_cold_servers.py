"""Tests of what a cold server gets, over real sockets."""

from __future__ import annotations

from wagtaildale.calls.tests.cold_servers import TOLERATED, ColdPair


def test_owner_without_a_configuration_sends_a_handful() -> None:
    """After a loss of power, an owner takes a cold server for a warm one."""
    with ColdPair(is_configured=False) as pair:
        pair.press(0.4)
        pair.configure_owner()
        pair.press(0.8)
        assert 0 < pair.server.find_most() <= TOLERATED
