"""Tests of key files."""

from __future__ import annotations

from typing import TYPE_CHECKING

from wagtaildale.errors.codes import Code
from wagtaildale.keys.pairs import read_pairs, write_new_pair
from wagtaildale.testing.assertions import assert_codes, assert_err, assert_ok

if TYPE_CHECKING:
    from pathlib import Path


def test_written_pair_is_read_back(tmp_path: Path) -> None:
    path = tmp_path / 'fleet.key'
    pair = assert_ok(write_new_pair(path))
    assert assert_ok(read_pairs((str(path),))) == (pair,)
    assert pair.secret.decode() not in repr(pair)
    assert path.stat().st_mode & 0o777 == 0o600


def test_existing_file_is_not_overwritten(tmp_path: Path) -> None:
    path = tmp_path / 'fleet.key'
    assert_ok(write_new_pair(path))
    before = path.read_bytes()
    fault = assert_err(write_new_pair(path))
    assert fault.code is Code.secret_unreadable
    assert path.read_bytes() == before


def test_each_invalid_file_is_a_fault(tmp_path: Path) -> None:
    short = tmp_path / 'short.key'
    short.write_text('abc')
    short.chmod(0o600)
    readable = tmp_path / 'loose.key'
    assert_ok(write_new_pair(readable))
    readable.chmod(0o644)
    paths = (str(short), str(readable), str(tmp_path / 'none.key'))
    faults = assert_err(read_pairs(paths))
    assert_codes(faults, *(3 * [Code.secret_unreadable]))
