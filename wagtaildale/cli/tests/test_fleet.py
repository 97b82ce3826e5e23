"""Tests of the commands that query nodes, on a fleet of two nodes."""

from __future__ import annotations

import os
import signal
import subprocess
import sys
import time
from pathlib import Path
from typing import TYPE_CHECKING

import pytest
from click.testing import CliRunner
from msgspec import json

from standins.fleet import Fleet, FleetOptions, NodeProcess, Placement
from wagtaildale.cli.main import main
from wagtaildale.testing.builders import MESH_TEXT, build_compiled
from wagtaildale.testing.loopback import choose_network

if TYPE_CHECKING:
    from collections.abc import Iterator

    from click.testing import Result

NETWORK = choose_network()
NODE = f'{NETWORK}.1:8083'
PLACEMENT = Placement(
    region='midlands',
    data_centres=('derby',),
    services={'casefiles': 2},
)


@pytest.fixture(scope='module')
def fleet() -> Iterator[Fleet]:
    with Fleet(PLACEMENT, options=FleetOptions(network=NETWORK)) as started:
        started.start(build_compiled(1))
        yield started


def run(*arguments: str) -> Result:
    return CliRunner().invoke(main, [*arguments, '--node', NODE])


def wait_for_line(node: NodeProcess, text: str) -> None:
    deadline = time.monotonic() + 5
    while text not in node.log_path.read_text():
        assert time.monotonic() < deadline, f'no line with {text}'
        time.sleep(0.02)


def wait_for_status(text: str) -> None:
    deadline = time.monotonic() + 5
    while text not in run('status').stdout:
        assert time.monotonic() < deadline, f'no status with {text}'
        time.sleep(0.02)


def test_status_of_the_fleet(fleet: Fleet) -> None:
    outcome = run('status')
    assert outcome.exit_code == 0, outcome.output
    assert 'version 1 in force on 2 nodes' in outcome.stdout
    assert 'casefiles/lookup' in outcome.stdout
    parts = json.decode(run('status', '--output', 'json').stdout)['parts']
    assert len(parts) == 2


def test_status_shows_an_evacuation(fleet: Fleet) -> None:
    """An operator cannot see whether all nodes know of an evacuation."""
    fleet.publish_instances(evacuated=('derby',))
    wait_for_status('evacuated: derby, known to 2 of 2')
    fleet.publish_instances()
    wait_for_line(fleet.nodes[0], 'evacuation-ended')


def test_explain(fleet: Fleet) -> None:
    outcome = run('explain', 'GET', '/files/7')
    assert outcome.exit_code == 0
    assert 'casefiles/lookup by /files/{claim}' in outcome.stdout
    assert run('explain', 'GET', '/nope').exit_code == 1


def test_timeline_is_merged_and_filtered(fleet: Fleet, tmp_path: Path) -> None:
    text = run('timeline', '--output', 'json').stdout
    events = json.decode(text)['events']
    stamps = [event['stamp'] for event in events]
    assert stamps == sorted(stamps)
    assert {event['node'] for event in events} == {
        'casefiles-1',
        'casefiles-2',
    }
    shown = run('timeline', '--kind', 'version-applied').stdout
    assert shown.count('version-applied') == 2
    page = tmp_path / 'page.html'
    assert run('timeline', '--page', str(page)).exit_code == 0
    assert '<svg' in page.read_text()


def test_log_has_one_line_of_pairs_per_event(fleet: Fleet) -> None:
    # Lines are written in batches, so the last ones appear after a delay.
    wait_for_line(fleet.nodes[0], 'kind=node-ready')
    lines = fleet.nodes[0].log_path.read_text().splitlines()
    assert all(line.startswith('at_ms=') for line in lines)


def test_hup_changes_nothing_and_is_logged(fleet: Fleet) -> None:
    node = fleet.nodes[0]
    node.send_signal(signal.SIGHUP)
    wait_for_line(node, 'settings-kept')
    assert node.is_running()


def test_drain_ends_the_node_cleanly(fleet: Fleet) -> None:
    node = fleet.nodes[1]
    address = f'{node.record.host}:{node.record.admin_port}'
    outcome = CliRunner().invoke(main, ['drain', '--node', address])
    assert outcome.exit_code == 0, outcome.output
    assert node.wait() == 0


def test_invalid_settings_end_the_daemon_with_a_code(tmp_path: Path) -> None:
    path = tmp_path / 'bad.toml'
    path.write_text(MESH_TEXT)
    outcome = subprocess.run(
        [sys.executable, '-m', 'wagtaildale.daemon', '--settings', str(path)],
        capture_output=True,
        text=True,
        env=dict(os.environ),
        check=False,
    )
    assert outcome.returncode == 2
    assert 'E1002' in outcome.stderr
