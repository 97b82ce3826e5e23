"""Tests of what an owner tells its entries of a server that turns slow."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from wagtaildale.calls.tests.pairs import wait_until
from wagtaildale.timers.service import read_clock

if TYPE_CHECKING:
    from wagtaildale.calls.tests.pairs import Pair
    from wagtaildale.testing.mesh import MeshNode

SLOW = 3.0


def find_slowness(node: MeshNode, pair: Pair) -> float:
    now = read_clock()
    placement = node.calls.entry.parts.placement
    upstream = placement.statistics.find(pair.far.record.instance, now=now)
    return upstream.speed.find_slowness(now)


def turn(pair: Pair, ratio: float) -> None:
    owner = pair.far.owner
    owner.gate.state.slowness.ratio = ratio
    pair.far.calls.loop.submit(owner.teller.tell_changes).result()


def test_entry_hears_that_a_server_turns_slow_and_well_again(
    pair: Pair,
) -> None:
    """Lookups go to a server that has turned slow, one late after the other.

    Its owner knows it after some runs, and every entry has to find it out
    with requests of its own; and again when the server is well.
    """
    pair.ask('GET', '/files/7')
    turn(pair, SLOW)
    wait_until(lambda: find_slowness(pair.near, pair) > SLOW / 2)
    pair.far.owner.gate.state.slowness.announced_at = 0
    turn(pair, 1)
    wait_until(
        lambda: find_slowness(pair.near, pair) == pytest.approx(1, abs=0.2),
    )


def test_node_hears_it_of_its_own_server(pair: Pair) -> None:
    pair.far.show(pair.far.record)
    turn(pair, SLOW)
    assert find_slowness(pair.far, pair) > SLOW / 2
