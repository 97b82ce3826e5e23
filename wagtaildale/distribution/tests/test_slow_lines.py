"""Tests of the time to apply a version where only slow lines are left."""

from __future__ import annotations

import random
from math import inf
from typing import Final

import pytest

from wagtaildale.distribution.tests.watched_fleet import (
    DRAIN_SECONDS,
    WatchedFleet,
    publish_configuration,
)
from wagtaildale.types import DocumentKind, InstanceId

NODES: Final = 44
SLOW_MBPS: Final = 3.5
# A full read takes as long as one of 600 KB, for 2,500 routes, at 3.5 Mbit/s.
LARGE_READ_MBPS: Final = 2.3
# Two nodes of each data centre are on fast lines.
FAST_NAMES: Final = tuple(InstanceId(f'n{number:02}') for number in range(4))
START_SECONDS: Final = 8.0
LOST_SHARE: Final = 0.05
APPLY_SECONDS: Final = DRAIN_SECONDS
VERSION_INTERVAL_SECONDS: Final = 0.4
# Seconds between the loss of the fast lines and the first version.
SECONDS_BEFORE: Final = (0, 1, 3)
SEEDS: Final = range(8)
# Of the 20 nodes on slow lines of a data centre; two may begin before either
# hears of the other, and a claim may be lost.
MOST_SLOW_READERS: Final = 4


def build_fleet(seed: int, *, slow_mbps: float = SLOW_MBPS) -> WatchedFleet:
    """Build a running fleet with few fast lines, where messages are lost."""
    random.seed(seed)
    slow = tuple(f'n{number:02}' for number in range(len(FAST_NAMES), NODES))
    fleet = WatchedFleet(NODES, slow=slow, slow_mbps=slow_mbps)
    fleet.read_share = 1
    fleet.network.lost_share = LOST_SHARE
    fleet.pass_time(START_SECONDS)
    return fleet


def kill_fast_nodes(fleet: WatchedFleet, *, all_data_centres: bool) -> None:
    """End the nodes on fast lines."""
    for name in FAST_NAMES:
        if all_data_centres or name in fleet.near:
            fleet.network.nodes[name].running = False


def measure_versions(fleet: WatchedFleet) -> list[float]:
    """Measure how long each of two versions of a series takes, seconds."""
    first = measure_version(fleet)
    fleet.pass_time(VERSION_INTERVAL_SECONDS)
    return [first, measure_version(fleet)]


def measure_version(fleet: WatchedFleet) -> float:
    """Publish a version and measure how long it takes, seconds."""
    version = publish_configuration(fleet.network)
    return fleet.measure_spread(version, kind=DocumentKind.configuration)


@pytest.mark.parametrize('seconds_before', SECONDS_BEFORE)
@pytest.mark.parametrize('seed', SEEDS)
def test_version_reaches_a_data_centre_without_fast_lines_in_time(
    seed: int, seconds_before: float
) -> None:
    """A version crosses data centres by digests alone, one a second."""
    fleet = build_fleet(seed)
    kill_fast_nodes(fleet, all_data_centres=False)
    fleet.pass_time(seconds_before)
    assert max(measure_versions(fleet)) < APPLY_SECONDS


@pytest.mark.parametrize('seconds_before', SECONDS_BEFORE)
@pytest.mark.parametrize('seed', SEEDS)
def test_version_is_in_time_where_only_slow_lines_are_left(
    seed: int, seconds_before: float
) -> None:
    """Nodes on slow lines begin to read too late for a version to apply."""
    fleet = build_fleet(seed)
    kill_fast_nodes(fleet, all_data_centres=True)
    fleet.pass_time(seconds_before)
    assert max(measure_versions(fleet)) < APPLY_SECONDS


@pytest.mark.parametrize('seed', SEEDS)
def test_version_is_in_time_where_fast_lines_get_no_answer(seed: int) -> None:
    """Nodes on slow lines wait for the ranks of all nodes of a data centre."""
    fleet = build_fleet(seed)
    for name in FAST_NAMES:
        fleet.stuck_until[name] = inf
    assert max(measure_versions(fleet)) < APPLY_SECONDS


@pytest.mark.parametrize('seed', SEEDS)
def test_few_slow_nodes_read_where_fast_lines_get_no_answer(seed: int) -> None:
    """Calls on all lines of a data centre wait behind full reads at once."""
    fleet = build_fleet(seed)
    for name in FAST_NAMES:
        fleet.stuck_until[name] = inf
    most = 0
    for _step in range(round(START_SECONDS)):
        fleet.pass_time(1)
        slow = set(fleet.list_near_watchers()) - set(FAST_NAMES)
        most = max(most, len(slow))
    assert most <= MOST_SLOW_READERS


@pytest.mark.parametrize('seed', SEEDS)
def test_large_version_is_in_time_where_only_slow_lines_are_left(
    seed: int,
) -> None:
    """A full read alone takes over half of the time to apply."""
    fleet = build_fleet(seed, slow_mbps=LARGE_READ_MBPS)
    kill_fast_nodes(fleet, all_data_centres=True)
    assert measure_version(fleet) < APPLY_SECONDS
