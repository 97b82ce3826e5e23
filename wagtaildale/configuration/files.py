"""Reads and checks operators' files."""

from __future__ import annotations

from pathlib import Path
from typing import TYPE_CHECKING

from result import Err, Ok, Result

from wagtaildale.configuration.model import MeshEntry
from wagtaildale.configuration.positions import KeyPath, find_line
from wagtaildale.configuration.semantics import check_semantics
from wagtaildale.configuration.shapes import Finding, check_shape
from wagtaildale.decoding.toml_files import convert_table, decode_toml
from wagtaildale.errors.codes import Code
from wagtaildale.errors.faults import Fault, Faults

if TYPE_CHECKING:
    from collections.abc import Iterable

    from wagtaildale.decoding.failures import DecodingFailure


def read_mesh(path: Path | str) -> Result[MeshEntry, Faults]:
    """Read and check an operators' file.

    Args:
        path: path of the TOML file.

    Returns:
        The mesh, or all faults of the file with their lines.
    """
    text = read_text(path)
    if isinstance(text, Err):
        return text
    return parse_mesh(text.ok_value, name=str(path))


def read_text(path: Path | str) -> Result[str, Faults]:
    """Read a text file.

    Args:
        path: path of the file.

    Returns:
        The text, or a fault that states why it cannot be read.
    """
    try:
        return Ok(Path(path).read_text(encoding='utf-8'))
    except (OSError, UnicodeDecodeError) as error:
        fault = Fault(
            code=Code.file_unreadable,
            where=str(path),
            got=str(error),
            expected='a readable file in UTF-8',
        )
        return Err((fault,))


def parse_mesh(text: str, *, name: str) -> Result[MeshEntry, Faults]:
    """Parse and check the text of an operators' file.

    Args:
        text: TOML document.
        name: name of the file, for faults.

    Returns:
        The mesh, or all faults of the text with their lines.
    """
    decoded = decode_toml(text, code=Code.file_malformed)
    if isinstance(decoded, Err):
        return Err((_make_fault(decoded.err_value, name, 'TOML 1.0'),))
    table = decoded.ok_value
    findings = check_shape(table, shape=MeshEntry)
    if findings:
        return Err(place_findings(findings, text=text, name=name))
    converted = convert_table(table, MeshEntry, code=Code.field_invalid)
    if isinstance(converted, Err):
        return Err((_make_fault(converted.err_value, name, 'a mesh'),))
    mesh = converted.ok_value
    findings = check_semantics(mesh)
    if findings:
        return Err(place_findings(findings, text=text, name=name))
    return Ok(mesh)


def place_findings(
    findings: Iterable[Finding],
    *,
    text: str,
    name: str,
) -> Faults:
    """Turn findings into faults with line numbers.

    Args:
        findings: findings of the checks of shape or semantics.
        text: TOML document that was checked.
        name: name of the file, for faults.

    Returns:
        One fault for each finding.
    """
    return tuple(_add_line(finding, text, name) for finding in findings)


def _make_fault(failure: DecodingFailure, name: str, expected: str) -> Fault:
    return Fault(
        code=failure.code,
        where=name,
        got=failure.detail,
        expected=expected,
    )


def _add_line(finding: Finding, text: str, name: str) -> Fault:
    line = find_line(text, path=finding.path)
    key = _format_path(finding.path)
    return Fault(
        code=finding.code,
        where=f'{name}:{line}: {key}',
        got=finding.got,
        expected=finding.expected,
    )


def _format_path(path: KeyPath) -> str:
    steps = (
        f'[{step}]' if isinstance(step, int) else f'.{step}' for step in path
    )
    return ''.join(steps).lstrip('.') or 'the file'
