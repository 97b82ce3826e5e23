"""Finds the line of a TOML file on which a key stands.

``tomllib`` gives no positions, and no library of the registry gives them
for a whole document without its own parser state. Table headers and keys
start lines in TOML, so the nearest line is found by walking them.
"""

from __future__ import annotations

import re
from typing import Final

from msgspec import Struct, field

KeyPath = tuple[str | int, ...]

HEADER: Final = re.compile(r'^\s*(\[\[?)\s*([\w.\s"-]+?)\s*\]\]?\s*(#.*)?$')
KEY: Final = re.compile(r'^\s*([\w"-]+)\s*=')


class _Walk(Struct):
    """Where the walk through the lines stands.

    Attributes:
        table: path of the table whose keys follow.
        counts: how many tables of each array were seen.
        best_line: line of the longest match so far, from 1.
        best_length: how many steps of the path it matches.
    """

    table: KeyPath = ()
    counts: dict[KeyPath, int] = field(default_factory=dict)
    best_line: int = 1
    best_length: int = 0


def find_line(text: str, *, path: KeyPath) -> int:
    """Find the line on which a key, or the nearest table above it, stands.

    Args:
        text: the TOML document.
        path: keys and array indices from the root.

    Returns:
        Line number from 1.

    Example:
        >>> find_line('x = 1', path=('x',))
        1
    """
    walk = _Walk()
    for number, line in enumerate(text.splitlines(), start=1):
        header = HEADER.match(line)
        if header is not None:
            _enter_table(walk, header)
            _note_match(walk, number, path, walk.table)
            continue
        key = KEY.match(line)
        if key is not None:
            here = (*walk.table, key.group(1).strip('"'))
            _note_match(walk, number, path, here)
    return walk.best_line


def _enter_table(walk: _Walk, header: re.Match[str]) -> None:
    names = [name.strip(' "') for name in header.group(2).split('.')]
    path: KeyPath = ()
    for name in names[:-1]:
        path = _extend(walk, (*path, name))
    path = (*path, names[-1])
    if header.group(1) == '[[':
        walk.counts.setdefault(path, -1)
        walk.counts[path] += 1
    walk.table = _extend(walk, path)


def _extend(walk: _Walk, path: KeyPath) -> KeyPath:
    count = walk.counts.get(path)
    return path if count is None else (*path, count)


def _note_match(
    walk: _Walk,
    number: int,
    path: KeyPath,
    here: KeyPath,
) -> None:
    length = len(here)
    if path[:length] == here and length > walk.best_length:
        walk.best_line = number
        walk.best_length = length
