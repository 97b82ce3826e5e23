"""Tests of the number of nodes among which a limit is divided."""

from __future__ import annotations

from wagtaildale.calls.entry.fleet_size import MEMORY_SECONDS, FleetSize


def test_short_list_does_not_make_the_fleet_smaller() -> None:
    size = FleetSize()
    assert size.update(16, now=0) == 16
    assert size.update(6, now=1) == 16
    assert size.update(20, now=2) == 20


def test_removed_nodes_are_forgotten() -> None:
    size = FleetSize()
    size.update(16, now=0)
    assert size.update(6, now=MEMORY_SECONDS - 1) == 16
    assert size.update(6, now=MEMORY_SECONDS) == 6


def test_node_without_a_list_counts_itself() -> None:
    assert FleetSize().update(0, now=0) == 1
