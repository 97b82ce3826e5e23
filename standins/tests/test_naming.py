"""Tests of nodes whose servers name limits or leave, as processes."""

from __future__ import annotations

import time
from http.client import HTTPConnection
from typing import TYPE_CHECKING, Final

import pytest
from msgspec import json

from standins.backend import FAULTS_PATH, BackendFaults
from standins.fleet import BACKEND_PORT, Fleet, FleetOptions, Placement
from standins.tests.asking import ask, read_counts
from wagtaildale.testing.builders import build_compiled

if TYPE_CHECKING:
    from collections.abc import Iterator

    from standins.fleet import NodeProcess

NETWORK: Final = 46
PATH: Final = '/files/1'
PATIENCE: Final = 20.0
VISITS: Final = 80
LIMIT: Final = 1.0
# What users bear beyond the limit, whatever its size.
ALLOWED_SHARE: Final = 1.5
ALLOWED_MORE: Final = 5
PLACEMENT: Final = Placement(
    region='midlands',
    data_centres=('derby', 'coventry'),
    services={'casefiles': 4},
)


@pytest.fixture(scope='module')
def started() -> Iterator[Fleet]:
    options = FleetOptions(network=NETWORK)
    with Fleet(PLACEMENT, options=options) as fleet:
        fleet.start(build_compiled(1))
        yield fleet


@pytest.fixture
def fleet(started: Fleet) -> Fleet:
    """The fleet with sound servers that all entries have asked."""
    for node in started.nodes:
        set_faults(node, BackendFaults())
    visit(started)
    return started


def set_faults(node: NodeProcess, faults: BackendFaults) -> None:
    address = (node.record.host, BACKEND_PORT)
    connection = HTTPConnection(*address, timeout=PATIENCE)
    connection.request('POST', FAULTS_PATH.decode(), json.encode(faults))
    connection.getresponse().read()
    connection.close()


def visit(fleet: Fleet) -> list[int]:
    nodes = fleet.nodes
    return [ask(nodes[time % len(nodes)], PATH) for time in range(VISITS)]


def assert_kept(node: NodeProcess, *, since: float, before: int) -> None:
    runs = read_counts(node).runs - before
    seconds = time.monotonic() - since
    assert runs <= ALLOWED_SHARE * LIMIT * seconds + ALLOWED_MORE


@pytest.mark.parametrize('limited', [1, 4])
def test_all_nodes_together_keep_a_limit(
    fleet: Fleet,
    limited: int,
) -> None:
    """Servers name a limit, and each node sends as much as that."""
    in_need = fleet.nodes[:limited]
    for node in in_need:
        set_faults(node, BackendFaults(rate_limit=LIMIT))
    visit(fleet)
    since = time.monotonic()
    before = [read_counts(each).runs for each in in_need]
    statuses = visit(fleet)
    for number, each in enumerate(in_need):
        assert_kept(each, since=since, before=before[number])
    assert set(statuses) <= {200, 503}
    assert statuses.count(200) >= len(statuses) * (limited < 4)


def test_limit_outlives_a_killed_node(fleet: Fleet) -> None:
    """A node is killed, and its successor lets everything through."""
    node = fleet.nodes[0]
    set_faults(node, BackendFaults(rate_limit=LIMIT))
    visit(fleet)
    node.kill()
    node.start(fleet.options)
    fleet.wait_ready([node])
    since = time.monotonic()
    before = read_counts(node).runs
    visit(fleet)
    assert_kept(node, since=since, before=before)


def test_server_that_leaves_is_not_asked(
    fleet: Fleet,
) -> None:
    """A server says that it leaves, and is asked while it is listed."""
    leaver = fleet.nodes[3]
    set_faults(leaver, BackendFaults(leaving=True))
    before = read_counts(leaver).runs
    visit(fleet)
    # Word of it crosses the requests that are under way.
    assert read_counts(leaver).runs - before <= len(fleet.nodes)
