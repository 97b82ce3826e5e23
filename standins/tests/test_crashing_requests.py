"""Tests of requests that crash backend servers, with real processes."""

from __future__ import annotations

import time
from functools import partial
from typing import TYPE_CHECKING, Final

import pytest
from click.testing import CliRunner
from msgspec import json

from standins.backend import BackendFaults
from standins.fleet import Fleet, FleetOptions, Placement
from standins.tests.node_client import TIMEOUT_SECONDS, read_counts, send_lookup
from wagtaildale.cli.main import main
from wagtaildale.testing.builders import build_compiled
from wagtaildale.testing.loopback import choose_network

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from click.testing import Result

    from standins.fleet import NodeProcess

NETWORK: Final = choose_network()
CRASH_PATH: Final = '/files/deadly'
CRASH_REASON: Final = 'servers ended'
LOOKUPS: Final = 12
CRASHES_ALLOWED: Final = 6
PLACEMENT: Final = Placement(
    region='midlands',
    data_centres=('derby', 'coventry'),
    services={'casefiles': 4},
)


@pytest.fixture(scope='module')
def fleet() -> Iterator[Fleet]:
    options = FleetOptions(
        network=NETWORK,
        backend=BackendFaults(ends_under=CRASH_PATH),
    )
    with Fleet(PLACEMENT, options=options) as started:
        started.start(build_compiled(1))
        yield started


def count_crashes(fleet: Fleet) -> int:
    return sum(read_counts(node).ends for node in fleet.nodes)


def run_suspects_command(node: NodeProcess, *arguments: str) -> Result:
    address = f'{node.record.host}:{node.record.admin_port}'
    command = ['suspects', '--node', address, *arguments]
    return CliRunner().invoke(main, command)


def is_refused(node: NodeProcess) -> bool:
    # Covers requests that are refused or about to get one more try.
    return CRASH_REASON in run_suspects_command(node).output


def is_not_refused(node: NodeProcess) -> bool:
    return not is_refused(node)


def wait_until(condition: Callable[[], bool]) -> None:
    deadline = time.monotonic() + TIMEOUT_SECONDS
    while not condition():
        assert time.monotonic() < deadline
        time.sleep(0.05)


def test_repeated_request_crashes_few_servers(
    fleet: Fleet,
) -> None:
    """A repeated request could crash all servers of a service in turn."""
    for number in range(LOOKUPS):
        send_lookup(fleet.nodes[number % len(fleet.nodes)], CRASH_PATH)
    assert count_crashes(fleet) <= CRASHES_ALLOWED
    for node in fleet.nodes:
        wait_until(partial(is_refused, node))
        assert send_lookup(node, '/files/1') == 200


def test_restarted_node_learns_crashing_requests(fleet: Fleet) -> None:
    """A node that restarts after crashes must still refuse the request."""
    before = count_crashes(fleet)
    node = fleet.nodes[0]
    node.kill()
    node.start(fleet.options)
    fleet.wait_ready([node])
    wait_until(partial(is_refused, node))
    send_lookup(node, CRASH_PATH)
    assert count_crashes(fleet) <= before + 1


def test_cleared_request_runs_again(fleet: Fleet) -> None:
    """Without clearing, a fixed server's callers are refused for an hour."""
    shown = json.decode(
        run_suspects_command(fleet.nodes[0], '--output', 'json').stdout
    )
    fingerprint = shown['suspects'][0]['fingerprint']
    cleared = run_suspects_command(fleet.nodes[1], '--clear', fingerprint)
    assert cleared.exit_code == 0, cleared.output
    assert 'cleared' in cleared.stdout
    for node in fleet.nodes:
        wait_until(partial(is_not_refused, node))


@pytest.mark.parametrize('fingerprint', ['00', 'x', ''])
def test_unknown_fingerprint_is_an_error(
    fleet: Fleet, fingerprint: str
) -> None:
    outcome = run_suspects_command(fleet.nodes[0], '--clear', fingerprint)
    assert outcome.exit_code == 1
    assert 'E6003' in outcome.output
