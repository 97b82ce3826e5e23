"""Tests of the command line as scripts use it."""

from __future__ import annotations

from pathlib import Path
from typing import TYPE_CHECKING

import pytest
from click.testing import CliRunner
from msgspec import json

from wagtaildale.cli.errors import write_markdown
from wagtaildale.cli.main import main
from wagtaildale.testing.builders import MESH_TEXT

if TYPE_CHECKING:
    from click.testing import Result

ROOT = Path(__file__).parents[3]


def run(*arguments: str) -> Result:
    return CliRunner().invoke(main, arguments)


@pytest.fixture
def mesh_file(tmp_path: Path) -> Path:
    path = tmp_path / 'mesh.toml'
    path.write_text(MESH_TEXT)
    return path


@pytest.mark.parametrize('name', ['hailmark', 'puertas'])
def test_examples_are_valid(name: str) -> None:
    outcome = run('check', str(ROOT / 'examples' / f'{name}.toml'))
    assert outcome.exit_code == 0, outcome.output


def test_check_prints_file_line_and_remedy(mesh_file: Path) -> None:
    mesh_file.write_text(MESH_TEXT.replace('idempotent', 'weight'))
    outcome = run('check', str(mesh_file))
    assert outcome.exit_code == 1
    assert 'E2006' in outcome.stderr
    assert 'mesh.toml:12' in outcome.stderr
    assert 'state a class and its target instead' in outcome.stderr


def test_check_prints_json(mesh_file: Path) -> None:
    mesh_file.write_text('name = 7')
    outcome = run('check', str(mesh_file), '--output', 'json')
    assert outcome.exit_code == 1
    codes = [fault['code'] for fault in json.decode(outcome.stdout)['faults']]
    assert sorted(codes) == [2004, 2005]


def test_compile_writes_manifest_and_parts(
    mesh_file: Path,
    tmp_path: Path,
) -> None:
    out = tmp_path / 'out'
    outcome = run(
        'compile', str(mesh_file), '--version', '3', '--out', str(out)
    )
    assert outcome.exit_code == 0, outcome.output
    manifest = json.decode((out / 'manifest.json').read_bytes())
    part = out / 'parts' / '{0}.json'.format(manifest['parts']['casefiles'])
    assert manifest['version'] == 3
    assert part.exists()


def test_compile_refuses_version_zero(mesh_file: Path, tmp_path: Path) -> None:
    out = str(tmp_path / 'out')
    outcome = run('compile', str(mesh_file), '--version', '0', '--out', out)
    assert outcome.exit_code == 1
    assert 'E2012' in outcome.stderr


def test_diff_lists_changes(mesh_file: Path, tmp_path: Path) -> None:
    other = tmp_path / 'other.toml'
    other.write_text(MESH_TEXT.replace('within_ms = 150', 'within_ms = 90'))
    outcome = run('diff', str(mesh_file), str(other))
    assert outcome.exit_code == 0
    assert 'casefiles/lookup.within_ms' in outcome.stdout
    assert 'nothing changes' in run('diff', *2 * [str(other)]).stdout


def test_unreachable_node_has_its_exit_code() -> None:
    outcome = run('status', '--node', '127.0.0.1:1')
    assert outcome.exit_code == 3
    assert 'E6002' in outcome.stderr


def test_errors_prints_known_codes_only() -> None:
    assert 'outcome_unknown' in run('errors', '4012').stdout
    assert run('errors', '1').exit_code == 2


def test_errors_page_is_current() -> None:
    page = (ROOT / 'docs' / 'errors.md').read_text()
    assert page == write_markdown()
