"""Reads and checks the settings file of a daemon."""

from __future__ import annotations

import os
from pathlib import Path
from typing import TYPE_CHECKING

from msgspec import structs
from result import Err, Ok, Result

from wagtaildale.configuration.files import place_findings, read_text
from wagtaildale.configuration.shapes import check_shape
from wagtaildale.decoding.toml_files import convert_table, decode_toml
from wagtaildale.errors.codes import Code
from wagtaildale.errors.faults import Fault, Faults
from wagtaildale.settings.model import Settings

if TYPE_CHECKING:
    from wagtaildale.settings.model import AdminSettings, TeamToken


def load_settings(path: Path | str) -> Result[Settings, Faults]:
    """Read and check a settings file.

    Args:
        path: path of the TOML file.

    Returns:
        The settings, or all faults of the file.
    """
    text = read_text(path)
    if isinstance(text, Err):
        return Err(_replace_code(text.err_value, Code.settings_unreadable))
    return parse_settings(text.ok_value, name=str(path))


def parse_settings(text: str, *, name: str) -> Result[Settings, Faults]:
    """Parse and check the text of a settings file.

    Args:
        text: TOML document.
        name: name of the file, for faults.

    Returns:
        The settings, or all faults of the text.
    """
    decoded = decode_toml(text, code=Code.settings_malformed)
    if isinstance(decoded, Err):
        detail = decoded.err_value.detail
        return Err((_make_malformed_fault(name, detail, 'TOML 1.0'),))
    table = decoded.ok_value
    findings = check_shape(table, shape=Settings)
    if findings:
        faults = place_findings(findings, text=text, name=name)
        return Err(_replace_code(faults, Code.settings_malformed))
    converted = convert_table(table, Settings, code=Code.settings_malformed)
    if isinstance(converted, Err):
        detail = converted.err_value.detail
        return Err((_make_malformed_fault(name, detail, 'settings'),))
    settings = converted.ok_value
    faults = _check_conflicts(settings, name)
    return Err(faults) if faults else Ok(settings)


def read_token(
    settings: AdminSettings | TeamToken,
) -> Result[str | None, Fault]:
    """Read a token of the administration API.

    Args:
        settings: settings that name the file or variable of the token.

    Returns:
        The token, None if none is configured, or a fault. The fault never
        contains the token.
    """
    if settings.token_variable is not None:
        return _read_variable(settings.token_variable)
    if settings.token_file is None:
        return Ok(None)
    text = read_text(settings.token_file)
    if isinstance(text, Err):
        return Err(_make_secret_fault(settings.token_file))
    token = text.ok_value.strip()
    return Ok(token) if token else Err(_make_secret_fault(settings.token_file))


def _read_variable(name: str) -> Result[str | None, Fault]:
    token = os.environ.get(name)
    return Ok(token) if token else Err(_make_secret_fault(f'${name}'))


def _make_secret_fault(where: str) -> Fault:
    return Fault(
        code=Code.secret_unreadable,
        where=where,
        got='nothing',
        expected='a token in this file or variable',
    )


def _check_conflicts(settings: Settings, name: str) -> Faults:
    ports = {
        'entry_port': settings.entry_port,
        'owner_port': settings.owner_port,
        'control_port': settings.control_port,
        'admin_port': settings.admin_port,
    }
    if settings.ready_port is not None:
        ports['ready_port'] = settings.ready_port
    if settings.backend.host == settings.host:
        ports['backend.port'] = settings.backend.port
    faults = [
        _make_conflict_fault(
            name, key, f'port {port}, which another setting uses too'
        )
        for key, port in ports.items()
        if list(ports.values()).count(port) > 1
    ]
    admin = settings.admin
    if admin.token_file is not None and admin.token_variable is not None:
        got = 'both token_file and token_variable'
        faults.append(_make_conflict_fault(name, 'admin', got))
    return tuple(faults)


def _make_conflict_fault(name: str, key: str, got: str) -> Fault:
    return Fault(
        code=Code.settings_impossible,
        where=f'{name}: {key}',
        got=got,
        expected='different ports, and only one source for each token',
    )


def _make_malformed_fault(name: str, got: str, expected: str) -> Fault:
    return Fault(
        code=Code.settings_malformed,
        where=name,
        got=got,
        expected=expected,
    )


def _replace_code(faults: Faults, code: Code) -> Faults:
    return tuple(structs.replace(fault, code=code) for fault in faults)
