"""Tests of nodes whose servers end under a request, as processes."""

from __future__ import annotations

import time
from functools import partial
from typing import TYPE_CHECKING, Final

import pytest
from click.testing import CliRunner
from msgspec import json

from standins.backend import BackendFaults
from standins.fleet import Fleet, FleetOptions, Placement
from standins.tests.asking import PATIENCE, ask, read_counts
from wagtaildale.cli.main import main
from wagtaildale.testing.builders import build_compiled

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from click.testing import Result

    from standins.fleet import NodeProcess

NETWORK: Final = 45
DEADLY: Final = '/files/deadly'
ENDED: Final = 'servers ended'
VISITS: Final = 12
ENDS_BORNE: Final = 6
PLACEMENT: Final = Placement(
    region='midlands',
    data_centres=('derby', 'coventry'),
    services={'casefiles': 4},
)


@pytest.fixture(scope='module')
def fleet() -> Iterator[Fleet]:
    options = FleetOptions(
        network=NETWORK,
        backend=BackendFaults(ends_under=DEADLY),
    )
    with Fleet(PLACEMENT, options=options) as started:
        started.start(build_compiled(1))
        yield started


def count_ends(fleet: Fleet) -> int:
    return sum(read_counts(node).ends for node in fleet.nodes)


def show(node: NodeProcess, *arguments: str) -> Result:
    address = f'{node.record.host}:{node.record.admin_port}'
    command = ['suspects', '--node', address, *arguments]
    return CliRunner().invoke(main, command)


def is_held_back(node: NodeProcess) -> bool:
    # Harmful, or about to be tried once more.
    return ENDED in show(node).output


def is_not_held_back(node: NodeProcess) -> bool:
    return not is_held_back(node)


def wait_until(condition: Callable[[], bool]) -> None:
    deadline = time.monotonic() + PATIENCE
    while not condition():
        assert time.monotonic() < deadline
        time.sleep(0.05)


def test_request_at_all_nodes_ends_few_servers(
    fleet: Fleet,
) -> None:
    """One caller ends the servers of a service again and again."""
    for visit in range(VISITS):
        ask(fleet.nodes[visit % len(fleet.nodes)], DEADLY)
    assert count_ends(fleet) <= ENDS_BORNE
    for node in fleet.nodes:
        wait_until(partial(is_held_back, node))
        assert ask(node, '/files/1') == 200


def test_node_that_starts_again_is_told(fleet: Fleet) -> None:
    """A request comes to a node that was not there when servers ended."""
    before = count_ends(fleet)
    node = fleet.nodes[0]
    node.kill()
    node.start(fleet.options)
    fleet.wait_ready([node])
    wait_until(partial(is_held_back, node))
    ask(node, DEADLY)
    assert count_ends(fleet) <= before + 1


def test_operators_let_a_request_run_again(fleet: Fleet) -> None:
    """A server was mended, and its callers are refused for an hour."""
    shown = json.decode(show(fleet.nodes[0], '--output', 'json').stdout)
    fingerprint = shown['suspects'][0]['fingerprint']
    cleared = show(fleet.nodes[1], '--clear', fingerprint)
    assert cleared.exit_code == 0, cleared.output
    assert 'cleared' in cleared.stdout
    for node in fleet.nodes:
        wait_until(partial(is_not_held_back, node))


@pytest.mark.parametrize('named', ['00', 'x', ''])
def test_unknown_fingerprint_is_a_fault(fleet: Fleet, named: str) -> None:
    outcome = show(fleet.nodes[0], '--clear', named)
    assert outcome.exit_code == 1
    assert 'E6003' in outcome.output
