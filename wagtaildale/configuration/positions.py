"""Finds the line of a key in a TOML file.

``tomllib`` reports no positions, and no library in the registry reports them
for a whole document without its own parser state. Table headers and keys
start lines in TOML, so the nearest line is found by scanning the lines.
"""

from __future__ import annotations

import re
from typing import Final

from msgspec import Struct, field

KeyPath = tuple[str | int, ...]

HEADER: Final = re.compile(r'^\s*(\[\[?)\s*([\w.\s"-]+?)\s*\]\]?\s*(#.*)?$')
KEY: Final = re.compile(r'^\s*([\w"-]+)\s*=')


class _LineSearch(Struct):
    """State of the scan of the lines.

    Attributes:
        table: path of the current table.
        counts: index of the last table seen of each array of tables.
        best_line: line of the longest match so far, from 1.
        best_length: number of path steps that this line matches.
    """

    table: KeyPath = ()
    counts: dict[KeyPath, int] = field(default_factory=dict)
    best_line: int = 1
    best_length: int = 0


def find_line(text: str, *, path: KeyPath) -> int:
    """Find the line of a key, or of the nearest table above it.

    Args:
        text: TOML document.
        path: keys and array indices from the root.

    Returns:
        Line number from 1.

    Example:
        >>> find_line('x = 1', path=('x',))
        1
    """
    search = _LineSearch()
    for number, line in enumerate(text.splitlines(), start=1):
        header = HEADER.match(line)
        if header is not None:
            _enter_table(search, header)
            _update_best(search, number, path, search.table)
            continue
        key = KEY.match(line)
        if key is not None:
            key_path = (*search.table, key.group(1).strip('"'))
            _update_best(search, number, path, key_path)
    return search.best_line


def _enter_table(search: _LineSearch, header: re.Match[str]) -> None:
    names = [name.strip(' "') for name in header.group(2).split('.')]
    path: KeyPath = ()
    for name in names[:-1]:
        path = _extend(search, (*path, name))
    path = (*path, names[-1])
    if header.group(1) == '[[':
        search.counts.setdefault(path, -1)
        search.counts[path] += 1
    search.table = _extend(search, path)


def _extend(search: _LineSearch, path: KeyPath) -> KeyPath:
    count = search.counts.get(path)
    return path if count is None else (*path, count)


def _update_best(
    search: _LineSearch,
    number: int,
    path: KeyPath,
    key_path: KeyPath,
) -> None:
    length = len(key_path)
    if path[:length] == key_path and length > search.best_length:
        search.best_line = number
        search.best_length = length
