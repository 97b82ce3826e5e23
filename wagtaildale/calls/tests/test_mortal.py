"""Tests of requests under which servers end."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

import pytest

from wagtaildale.calls.tests.mortal import DEADLY, HARMLESS, MortalFleet

if TYPE_CHECKING:
    from collections.abc import Iterator

UPSTREAMS: Final = 6
ENDS_BORNE: Final = 3
RETRIES_BORNE: Final = 3
COMES_AGAIN: Final = 10


@pytest.fixture
def fleet() -> Iterator[MortalFleet]:
    with MortalFleet(UPSTREAMS) as made:
        yield made


def test_request_that_ends_servers_is_not_sent_on_for_ever(
    fleet: MortalFleet,
) -> None:
    """A caller ends every server of a service again and again."""
    while fleet.ends < ENDS_BORNE:
        fleet.ask(DEADLY)
        fleet.revive()
    before = fleet.count_arrivals(DEADLY)
    for _time in range(COMES_AGAIN):
        fleet.ask(DEADLY)
        fleet.revive()
    assert fleet.count_arrivals(DEADLY) - before <= RETRIES_BORNE
    assert fleet.ask(HARMLESS).startswith(b'HTTP/1.1 200')
