"""Checks the shape of a table against a Struct and reports all faults.

``msgspec.convert`` stops at the first fault, but operators need all of them.
Each leaf field is converted separately, so that msgspec still checks it.
"""

from __future__ import annotations

from types import MappingProxyType
from typing import Any, Final, get_args, get_origin, get_type_hints

from msgspec import Struct, structs
from result import Err

from wagtaildale.configuration.positions import KeyPath
from wagtaildale.decoding.toml_files import convert_table
from wagtaildale.errors.codes import Code

Table = dict[str, Any]

HAND_TUNING: Final = frozenset(
    (
        'address',
        'addresses',
        'backends',
        'connections',
        'endpoints',
        'host',
        'hosts',
        'instances',
        'limit',
        'port',
        'proxy',
        'retries',
        'upstreams',
        'weight',
        'weights',
    ),
)
REMEDIES: Final = MappingProxyType(
    {
        Code.hand_tuning: (
            'no such key: upstreams, weights and limits are determined '
            'automatically; state a class and its target instead'
        ),
        Code.key_missing: 'this key',
    },
)


class Finding(Struct, frozen=True, kw_only=True):
    """One fault of shape or semantics, without its line."""

    code: Code
    path: KeyPath
    got: str
    expected: str


def check_shape(
    table: object,
    *,
    shape: type[Struct],
    path: KeyPath = (),
) -> list[Finding]:
    """Check a table against the Struct that it will be converted to.

    Args:
        table: value from the TOML file.
        shape: Struct class.
        path: path of the table from the root of the file.

    Returns:
        All faults found; none if ``msgspec.convert`` would succeed.
    """
    if not isinstance(table, dict):
        return [_describe_invalid(path, table, 'a table')]
    findings = _check_keys(table, shape, path)
    hints = get_type_hints(shape, include_extras=True)
    for name in hints.keys() & table.keys():
        field_path = (*path, name)
        findings.extend(_check_field(table[name], hints[name], field_path))
    return sorted(findings, key=_make_sort_key)


def _make_sort_key(finding: Finding) -> tuple[str, ...]:
    return tuple(str(step) for step in finding.path)


def _check_keys(
    table: Table,
    shape: type[Struct],
    path: KeyPath,
) -> list[Finding]:
    known = {field.name: field for field in structs.fields(shape)}
    findings = [
        _describe_unknown(path, key, sorted(known))
        for key in table
        if key not in known
    ]
    findings.extend(
        Finding(
            code=Code.key_missing,
            path=path,
            got='no ' + name,
            expected=f'the key {name} in this table',
        )
        for name, field in known.items()
        if field.required and name not in table
    )
    return findings


def _check_field(raw_value: Any, hint: Any, path: KeyPath) -> list[Finding]:
    element = _find_struct(hint)
    if element is None:
        return _convert_leaf(raw_value, hint, path)
    if not _is_sequence(hint):
        return check_shape(raw_value, shape=element, path=path)
    if not isinstance(raw_value, list) or not raw_value:
        return _convert_leaf(raw_value, hint, path)
    return [
        finding
        for index, entry in enumerate(raw_value)
        for finding in check_shape(entry, shape=element, path=(*path, index))
    ]


def _convert_leaf(raw_value: Any, hint: Any, path: KeyPath) -> list[Finding]:
    converted = convert_table(raw_value, hint, code=Code.field_invalid)
    if isinstance(converted, Err):
        return [_describe_invalid(path, raw_value, converted.err_value.detail)]
    return []


def _find_struct(hint: Any) -> type[Struct] | None:
    if isinstance(hint, type) and issubclass(hint, Struct):
        return hint
    for part in get_args(hint):
        found = _find_struct(part)
        if found is not None:
            return found
    return None


def _is_sequence(hint: Any) -> bool:
    if get_origin(hint) is tuple:
        return True
    return any(get_origin(part) is tuple for part in get_args(hint))


def _describe_unknown(path: KeyPath, key: str, known: list[str]) -> Finding:
    hand_tuning = key in HAND_TUNING
    code = Code.hand_tuning if hand_tuning else Code.key_unknown
    one_of = 'one of ' + ', '.join(known)
    return Finding(
        code=code,
        path=(*path, key),
        got=f'the key {key}',
        expected=REMEDIES.get(code, one_of),
    )


def _describe_invalid(
    path: KeyPath, raw_value: object, expected: str
) -> Finding:
    return Finding(
        code=Code.field_invalid,
        path=path,
        got=repr(raw_value),
        expected=expected,
    )
