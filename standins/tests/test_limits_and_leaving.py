"""Tests of rate limits and leaving announced by backend servers."""

from __future__ import annotations

import time
from http.client import HTTPConnection
from typing import TYPE_CHECKING, Final

import pytest
from msgspec import json

from standins.backend import FAULTS_PATH, BackendFaults
from standins.fleet import BACKEND_PORT, Fleet, FleetOptions, Placement
from standins.tests.node_client import read_counts, send_lookup
from wagtaildale.testing.builders import build_compiled
from wagtaildale.testing.loopback import choose_network

if TYPE_CHECKING:
    from collections.abc import Iterator

    from standins.fleet import NodeProcess

NETWORK: Final = choose_network()
PATH: Final = '/files/1'
TIMEOUT_SECONDS: Final = 20.0
LOOKUPS: Final = 80
LIMIT: Final = 1.0
# Excess over the limit that is acceptable, as a factor and in requests.
ALLOWED_SHARE: Final = 1.5
ALLOWED_EXTRA: Final = 5
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
    """The fleet without faults, after requests to all entries."""
    for node in started.nodes:
        set_faults(node, BackendFaults())
    send_lookups(started)
    return started


def set_faults(node: NodeProcess, faults: BackendFaults) -> None:
    address = (node.record.host, BACKEND_PORT)
    connection = HTTPConnection(*address, timeout=TIMEOUT_SECONDS)
    connection.request('POST', FAULTS_PATH.decode(), json.encode(faults))
    connection.getresponse().read()
    connection.close()


def send_lookups(fleet: Fleet) -> list[int]:
    nodes = fleet.nodes
    return [
        send_lookup(nodes[number % len(nodes)], PATH)
        for number in range(LOOKUPS)
    ]


def assert_limit_kept(node: NodeProcess, *, since: float, before: int) -> None:
    runs = read_counts(node).runs - before
    seconds = time.monotonic() - since
    assert runs <= ALLOWED_SHARE * LIMIT * seconds + ALLOWED_EXTRA


@pytest.mark.parametrize('limited', [1, 4])
def test_all_nodes_together_keep_a_rate_limit(
    fleet: Fleet,
    limited: int,
) -> None:
    """Without sharing, each node would send as much as the whole limit."""
    limited_nodes = fleet.nodes[:limited]
    for node in limited_nodes:
        set_faults(node, BackendFaults(rate_limit=LIMIT))
    send_lookups(fleet)
    since = time.monotonic()
    before = [read_counts(each).runs for each in limited_nodes]
    statuses = send_lookups(fleet)
    for number, each in enumerate(limited_nodes):
        assert_limit_kept(each, since=since, before=before[number])
    assert set(statuses) <= {200, 503}
    assert statuses.count(200) >= len(statuses) * (limited < 4)


def test_rate_limit_survives_the_kill_of_its_node(fleet: Fleet) -> None:
    """A node restarted after a kill must still apply the limit."""
    node = fleet.nodes[0]
    set_faults(node, BackendFaults(rate_limit=LIMIT))
    send_lookups(fleet)
    node.kill()
    node.start(fleet.options)
    fleet.wait_ready([node])
    since = time.monotonic()
    before = read_counts(node).runs
    send_lookups(fleet)
    assert_limit_kept(node, since=since, before=before)


def test_leaving_server_gets_no_new_requests(
    fleet: Fleet,
) -> None:
    """A server that announces leaving gets no requests while still listed."""
    leaving_node = fleet.nodes[3]
    set_faults(leaving_node, BackendFaults(leaving=True))
    before = read_counts(leaving_node).runs
    send_lookups(fleet)
    # Each node may send one request before it learns of the leaving.
    assert read_counts(leaving_node).runs - before <= len(fleet.nodes)
