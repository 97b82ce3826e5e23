"""Tests of reading operators' files."""

from __future__ import annotations

import pytest

from wagtaildale.configuration.compiled import compile_mesh, decode_parts
from wagtaildale.configuration.comparison import (
    Change,
    ChangeKind,
    compare_parts,
)
from wagtaildale.configuration.files import parse_mesh
from wagtaildale.configuration.model import SlowStart, WorkClass
from wagtaildale.errors.codes import Code
from wagtaildale.testing.assertions import assert_codes, assert_err, assert_ok
from wagtaildale.testing.builders import MESH_TEXT
from wagtaildale.types import ServiceName


def test_valid_file() -> None:
    mesh = assert_ok(parse_mesh(MESH_TEXT, name='mesh.toml'))
    assert [service.name for service in mesh.services] == ['casefiles']


@pytest.mark.parametrize(
    ('old', 'new', 'code', 'line'),
    [
        ('team = "field"', 'team = 7', Code.field_invalid, 6),
        ('team = "field"', 'teem = "field"', Code.key_unknown, 6),
        ('team = "field"\n', '', Code.key_missing, 4),
        ('name = "lookup"', 'name = "booking"', Code.name_twice, 17),
        ('path = "/files/{claim}"', 'path = "x"', Code.field_invalid, 11),
        ('percent = 99 }', 'percent = 101 }', Code.field_invalid, 13),
        ('deadline_ms = 1000', 'deadline_ms = 100', Code.field_invalid, 14),
        ('name = "lookup"', 'weight = 2', Code.hand_tuning, 9),
    ],
)
def test_fault_names_its_line(
    old: str,
    new: str,
    code: Code,
    line: int,
) -> None:
    text = MESH_TEXT.replace(old, new, 1)
    faults = assert_err(parse_mesh(text, name='mesh.toml'))
    places = {(fault.code, fault.where.split(':')[1]) for fault in faults}
    assert (code, str(line)) in places, list(map(str, faults))


SLOW_START = 'team = "field"\nslow_start = { seconds = 3, per_second = 7.5 }'


def test_slow_start_is_published() -> None:
    text = MESH_TEXT.replace('team = "field"', SLOW_START)
    mesh = assert_ok(parse_mesh(text, name='mesh.toml'))
    compiled = assert_ok(compile_mesh(mesh, version=1))
    part = decode_parts(compiled)[ServiceName('casefiles')]
    assert part.slow_start == SlowStart(seconds=3, per_second=7.5)


@pytest.mark.parametrize(
    ('old', 'new', 'code'),
    [
        ('seconds = 3', 'seconds = 0', Code.field_invalid),
        ('per_second = 7.5', 'per_second = -1', Code.field_invalid),
        ('per_second = 7.5', 'per_second = "x"', Code.field_invalid),
        (', per_second = 7.5', '', Code.key_missing),
        ('seconds = 3', 'second = 3', Code.key_unknown),
    ],
)
def test_unusable_slow_start_is_a_fault(old: str, new: str, code: Code) -> None:
    """A bound that cannot be kept holds back all requests of a service."""
    text = MESH_TEXT.replace('team = "field"', SLOW_START.replace(old, new))
    faults = assert_err(parse_mesh(text, name='mesh.toml'))
    assert code in {fault.code for fault in faults}


def compile_classes(text: str) -> tuple[WorkClass, ...]:
    mesh = assert_ok(parse_mesh(text, name='mesh.toml'))
    compiled = assert_ok(compile_mesh(mesh, version=1))
    return decode_parts(compiled)[ServiceName('casefiles')].classes


@pytest.mark.parametrize('name', ['lookup', 'booking'])
def test_bulk_is_published_of_any_class(name: str) -> None:
    text = MESH_TEXT.replace(
        f'name = "{name}"', f'name = "{name}"\nbulk = true'
    )
    bulk = [each.name for each in compile_classes(text) if each.is_bulk]
    assert bulk == [name]


@pytest.mark.parametrize('line', ['bulk = false\n', ''])
def test_class_that_is_not_bulk_keeps_its_hash(line: str) -> None:
    """An update of the build changes the hash of every published part.

    Each part would be sent to every node again, though nothing has changed.
    The hash is that of the build before the field existed.
    """
    text = MESH_TEXT.replace('methods = ["GET"]', f'{line}methods = ["GET"]')
    mesh = assert_ok(parse_mesh(text, name='mesh.toml'))
    compiled = assert_ok(compile_mesh(mesh, version=1))
    assert compiled.manifest.parts == {
        'casefiles': 'b5239fe0bdac2ec8e5d9ae683aa28600'
    }


@pytest.mark.parametrize(
    ('line', 'code'),
    [
        ('bulk = "yes"', Code.field_invalid),
        ('bulk = 1', Code.field_invalid),
        ('bulky = true', Code.key_unknown),
    ],
)
def test_unusable_bulk_is_a_fault(line: str, code: Code) -> None:
    text = MESH_TEXT.replace('name = "lookup"', f'name = "lookup"\n{line}')
    faults = assert_err(parse_mesh(text, name='mesh.toml'))
    assert_codes(faults, code)


def test_comparison_shows_a_class_that_becomes_bulk() -> None:
    text = MESH_TEXT.replace('name = "lookup"', 'name = "lookup"\nbulk = true')
    meshes = [
        assert_ok(parse_mesh(each, name='mesh.toml'))
        for each in (MESH_TEXT, text)
    ]
    old, new = (
        decode_parts(assert_ok(compile_mesh(mesh, version=1)))
        for mesh in meshes
    )
    assert compare_parts(old, new=new) == [
        Change(
            kind=ChangeKind.added,
            subject='casefiles/lookup.bulk',
            new='True',
        ),
    ]


def test_all_faults_are_reported_together() -> None:
    text = MESH_TEXT.replace('true', '1').replace('"POST"', '"PRINT"')
    faults = assert_err(parse_mesh(text, name='mesh.toml'))
    assert_codes(faults, Code.field_invalid, Code.field_invalid)


def test_route_to_missing_service_is_a_fault() -> None:
    text = f"""{MESH_TEXT}
[[services.routes]]
methods = ["GET"]
path = "/old/{{claim}}"
service = "gone"
work_class = "lookup"
"""
    faults = assert_err(parse_mesh(text, name='mesh.toml'))
    assert_codes(faults, Code.service_missing)


def test_malformed_toml_is_a_fault() -> None:
    faults = assert_err(parse_mesh('a = = b', name='mesh.toml'))
    assert_codes(faults, Code.file_malformed)
