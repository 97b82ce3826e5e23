"""Tests of the parts of the administration API that need no running fleet."""

from __future__ import annotations

from pathlib import Path

import pytest

from wagtaildale.admin.openapi import write_api
from wagtaildale.admin.proposals import check_proposal
from wagtaildale.admin.scopes import (
    BEARER,
    UNRESTRICTED,
    Scope,
    TokenAuthenticator,
    make_authenticator,
)
from wagtaildale.errors.codes import Code
from wagtaildale.routing.view import ViewHolder
from wagtaildale.settings.model import AdminSettings, TeamToken
from wagtaildale.testing.assertions import assert_codes, assert_err, assert_ok
from wagtaildale.testing.builders import MESH_TEXT, build_configuration
from wagtaildale.types import TeamName

ROOT = Path(__file__).parents[3]
FIELD = Scope(team=TeamName('field'))
OTHER = Scope(team=TeamName('other'))


def build_view() -> ViewHolder:
    holder = ViewHolder()
    holder.replace_configuration(build_configuration(3))
    return holder


def test_openapi_file_is_current() -> None:
    assert (ROOT / 'docs' / 'openapi.json').read_bytes() == write_api()


@pytest.mark.parametrize(
    ('header', 'scope'),
    [
        (f'{BEARER}all', UNRESTRICTED),
        (f'{BEARER}mine', FIELD),
        (f'{BEARER}wrong', None),
        ('all', None),
        ('', None),
    ],
)
def test_token_has_its_scope(header: str, scope: Scope | None) -> None:
    authenticator = TokenAuthenticator({'all': UNRESTRICTED, 'mine': FIELD})
    assert authenticator.find_scope(header) == scope


def test_api_without_tokens_is_unrestricted() -> None:
    assert TokenAuthenticator({}).find_scope('') is UNRESTRICTED


def test_team_sees_its_own_services() -> None:
    view = build_view().current
    assert FIELD.covers('casefiles', view=view)
    assert not OTHER.covers('casefiles', view=view)
    assert UNRESTRICTED.covers('casefiles', view=view)


def test_missing_team_token_is_a_fault() -> None:
    team = TeamToken(team=TeamName('field'), token_file='/no/such/file')
    fault = assert_err(make_authenticator(AdminSettings(teams=(team,))))
    assert fault.code is Code.secret_unreadable


def test_team_tokens_are_read(tmp_path: Path) -> None:
    secret = tmp_path / 'token'
    secret.write_text('t\n')
    team = TeamToken(team=TeamName('field'), token_file=str(secret))
    authenticator = assert_ok(make_authenticator(AdminSettings(teams=(team,))))
    assert authenticator.find_scope(f'{BEARER}t') == FIELD


def test_proposal_lists_changes() -> None:
    view = build_view().current
    report = check_proposal(MESH_TEXT, view=view, scope=UNRESTRICTED)
    subjects = {change.subject for change in report.changes}
    assert 'casefiles/booking' in subjects
    hidden = check_proposal(MESH_TEXT, view=view, scope=OTHER)
    assert not hidden.changes


def test_invalid_proposal_lists_its_faults() -> None:
    view = build_view().current
    text = MESH_TEXT.replace('true', '1')
    report = check_proposal(text, view=view, scope=UNRESTRICTED)
    assert_codes(report.faults, Code.field_invalid)
