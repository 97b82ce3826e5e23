"""Output of the commands, as text for people or as JSON for programs."""

from __future__ import annotations

import sys
from enum import Enum
from typing import TYPE_CHECKING, Any, Final, NoReturn, final

import click
from msgspec import json

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from wagtaildale.errors.faults import Fault

EXIT_FAULTS: Final = 1
EXIT_UNREACHABLE: Final = 3
COLUMN_GAP: Final = '  '


@final
class OutputFormat(Enum):
    """Format of the printed results."""

    text = 'text'
    json = 'json'


def print_json(document: Any) -> None:
    """Print a document as JSON.

    Args:
        document: value that msgspec can encode.
    """
    click.echo(json.format(json.encode(document)).decode())


def print_table(
    header: Sequence[str], *, rows: Iterable[Sequence[str]]
) -> None:
    """Print a table whose columns are as wide as their longest cell.

    Args:
        header: names of the columns.
        rows: rows with one text for each column.
    """
    lines = [tuple(header), *(tuple(row) for row in rows)]
    widths = [max(map(len, column)) for column in zip(*lines, strict=True)]
    for line in lines:
        cells = (
            cell.ljust(width) for cell, width in zip(line, widths, strict=True)
        )
        click.echo(COLUMN_GAP.join(cells).rstrip())


def fail(
    faults: Iterable[Fault],
    *,
    form: OutputFormat,
    exit_code: int = EXIT_FAULTS,
) -> NoReturn:
    """Print faults and end the program.

    Args:
        faults: faults to print.
        form: output format.
        exit_code: exit code of the program.
    """
    listed = list(faults)
    if form is OutputFormat.json:
        print_json({'faults': listed})
    else:
        for fault in listed:
            click.echo(str(fault), err=True)
    sys.exit(exit_code)
