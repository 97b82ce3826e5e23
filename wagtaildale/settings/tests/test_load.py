"""Tests of reading the settings file of a daemon."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from wagtaildale.errors.codes import Code
from wagtaildale.settings.load import load_settings, parse_settings, read_token
from wagtaildale.settings.model import AdminSettings
from wagtaildale.testing.assertions import assert_codes, assert_err, assert_ok

if TYPE_CHECKING:
    from pathlib import Path

TEXT = """
instance = "casefiles-1"
service = "casefiles"
data_centre = "derby"
region = "midlands"
host = "127.0.0.1"
entry_port = 8080
owner_port = 8081
control_port = 8082
admin_port = 8083

[backend]
host = "127.0.0.1"
port = 8090

[platform]
url = "http://127.0.0.1:8500"
"""


def test_valid_settings() -> None:
    settings = assert_ok(parse_settings(TEXT, name='a.toml'))
    assert settings.limits.drain_seconds > 0


@pytest.mark.parametrize(
    ('old', 'new', 'code'),
    [
        ('port = 8090', 'prot = 8090', Code.settings_malformed),
        ('8080', '"8080"', Code.settings_malformed),
        ('8080', '70000', Code.settings_malformed),
        ('8080', '8081', Code.settings_impossible),
        ('http:', 'file:', Code.settings_malformed),
        ('region = "midlands"\n', '', Code.settings_malformed),
        ('[platform]', '[platform', Code.settings_malformed),
        ('host = "127.0.0.1"', 'host = "derby.example"', 1002),
        ('[platform]', '[limits]\nline_mbps = -1\n[platform]', 1002),
        ('[platform]', '[bounds]\nslow_start_factor = 0\n[platform]', 1002),
        ('[platform]', '[bounds]\nslow_start_slack = -1\n[platform]', 1002),
    ],
)
def test_invalid_settings_have_their_code(
    old: str, new: str, code: Code
) -> None:
    text = TEXT.replace(old, new, 1)
    faults = assert_err(parse_settings(text, name='a.toml'))
    assert {fault.code for fault in faults} == {code}


def test_missing_file_is_a_fault(tmp_path: Path) -> None:
    faults = assert_err(load_settings(tmp_path / 'none.toml'))
    assert_codes(faults, Code.settings_unreadable)


def test_token_is_read_and_never_shown(
    tmp_path: Path,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    secret = tmp_path / 'token'
    secret.write_text('s3cret\n')
    by_file = AdminSettings(token_file=str(secret))
    assert assert_ok(read_token(by_file)) == 's3cret'
    assert 's3cret' not in repr(by_file)
    by_variable = AdminSettings(token_variable='NO_SUCH_VARIABLE')
    monkeypatch.delenv('NO_SUCH_VARIABLE', raising=False)
    fault = assert_err(read_token(by_variable))
    assert fault.code is Code.secret_unreadable
