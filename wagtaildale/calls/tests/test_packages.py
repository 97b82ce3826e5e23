"""Tests of the direction in which the packages of calls import one another."""

from __future__ import annotations

import ast
from pathlib import Path
from typing import TYPE_CHECKING, Final

import pytest

from wagtaildale import calls

if TYPE_CHECKING:
    from collections.abc import Iterator

PREFIX: Final = 'wagtaildale.calls.'
# Each package may import those before it and itself.
ORDER: Final = ('wire', 'http', 'backend', 'owner', 'entry')


def list_imports(source: str) -> Iterator[str]:
    """List the packages of calls that a module imports when it is loaded."""
    for statement in ast.parse(source).body:
        if isinstance(statement, ast.ImportFrom):
            module = statement.module or ''
            if module.startswith(PREFIX):
                yield module.removeprefix(PREFIX).partition('.')[0]


@pytest.mark.parametrize('package', ORDER)
def test_package_imports_in_one_direction(package: str) -> None:
    folder = Path(calls.__file__).parent / package
    imported = {
        name
        for module in folder.glob('*.py')
        for name in list_imports(module.read_text())
    }
    later = ORDER[ORDER.index(package) + 1 :]
    assert imported.isdisjoint(later)
