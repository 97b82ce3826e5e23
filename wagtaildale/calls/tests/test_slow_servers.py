"""Tests of how owners notify entries of a server that becomes slow."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from wagtaildale.calls.tests.pairs import wait_until
from wagtaildale.timers.service import read_clock

if TYPE_CHECKING:
    from wagtaildale.calls.tests.pairs import Pair
    from wagtaildale.testing.mesh import MeshNode

SLOWNESS_RATIO = 3.0


def find_slowness(node: MeshNode, pair: Pair) -> float:
    now = read_clock()
    placement = node.calls.entry.parts.placement
    upstream = placement.statistics.find(
        pair.owner_node.record.instance, now=now
    )
    return upstream.slowness.estimate(now)


def set_slowness(pair: Pair, ratio: float) -> None:
    owner = pair.owner_node.owner
    owner.gate.state.slowness.ratio = ratio
    pair.owner_node.calls.loop.submit(
        owner.load_notifier.notify_changes
    ).result()


def test_entry_learns_that_a_server_slows_down_and_recovers(
    pair: Pair,
) -> None:
    """Lookups keep going to a slow server and are answered late.

    The owner detects the slowness after some runs. Without a notification,
    every entry would have to detect it, and the recovery, with requests of
    its own.
    """
    pair.ask('GET', '/files/7')
    set_slowness(pair, SLOWNESS_RATIO)
    wait_until(
        lambda: find_slowness(pair.entry_node, pair) > SLOWNESS_RATIO / 2
    )
    pair.owner_node.owner.gate.state.slowness.announced_at = 0
    set_slowness(pair, 1)
    wait_until(
        lambda: (
            find_slowness(pair.entry_node, pair) == pytest.approx(1, abs=0.2)
        ),
    )


def test_node_learns_that_its_own_server_slows_down(pair: Pair) -> None:
    pair.owner_node.set_instances(pair.owner_node.record)
    set_slowness(pair, SLOWNESS_RATIO)
    assert find_slowness(pair.owner_node, pair) > SLOWNESS_RATIO / 2
