"""Tests of the platform's settings file."""

from __future__ import annotations

from pathlib import Path

import pytest
from msgspec import json
from result import Err

from wagtaildale import node
from wagtaildale.errors.codes import Code
from wagtaildale.lifecycle import stop
from wagtaildale.platform.settings import read_settings, translate_settings
from wagtaildale.platform.tests.builders import (
    NESTED_FIELD,
    SETTINGS,
    build_file,
)
from wagtaildale.telemetry import log


def test_platform_names_are_translated() -> None:
    settings = translate_settings(build_file())
    assert settings.instance == '10.4.0.13'
    assert settings.region == 'midlands'
    assert (settings.entry_port, settings.owner_port) == (8147, 8146)
    assert settings.backend.port == 8145
    assert settings.platform.url == 'http://10.200.1.7:8142'


def test_own_address_is_not_a_seed() -> None:
    settings = translate_settings(build_file())
    assert settings.distribution.seeds == ('tcp://10.1.0.36:8529',)


def test_bounds_are_in_seconds_and_keep_defaults() -> None:
    bounds = translate_settings(build_file()).bounds
    assert bounds.apply_seconds == 2.0
    assert bounds.stop_seconds == 6.0
    assert bounds.retry_slack == 64
    assert bounds.retry_share > 0


@pytest.mark.parametrize(
    'text',
    [
        b'',
        b'{',
        b'[]',
        json.encode({**SETTINGS, 'limits': {'maxFds': 'many'}}),
        json.encode({**SETTINGS, 'heartbeatMs': 0}),
        json.encode({**SETTINGS, 'appAddr': '10.4.0.13'}),
        json.encode({**SETTINGS, 'zone': 'atlantis'}),
        NESTED_FIELD + json.encode({**SETTINGS}).lstrip(b'{'),
    ],
)
def test_malformed_file_is_a_fault(tmp_path: Path, text: bytes) -> None:
    path = tmp_path / 'settings.json'
    path.write_bytes(text)
    read = read_settings(path)
    assert isinstance(read, Err)
    assert read.err_value[0].code is Code.settings_malformed


def test_missing_file_is_a_fault(tmp_path: Path) -> None:
    read = read_settings(tmp_path / 'nowhere.json')
    assert isinstance(read, Err)
    assert read.err_value[0].code is Code.file_unreadable


def test_stop_that_passes_its_bound_ends_before_the_kill() -> None:
    """A process is killed although its stop has passed its bound.

    After the bound follow the last poll of the stop, the end of the tasks and
    the end of the log, each within a bounded time.
    """
    longest = stop.POLL_SECONDS + node.CLOSE_SECONDS + log.CLOSE_SECONDS
    settings = translate_settings(build_file())
    margin = settings.bounds.stop_seconds - settings.limits.drain_seconds
    assert longest < margin
