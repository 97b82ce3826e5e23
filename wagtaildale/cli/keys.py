"""``wagtaildale keys``: keys for the connections between nodes."""

from __future__ import annotations

from pathlib import Path

import click
from result import Err

from wagtaildale.cli.options import output_option
from wagtaildale.cli.output import OutputFormat, fail, print_json
from wagtaildale.keys.pairs import write_new_pair


@click.group()
def keys() -> None:
    """Make the fleet's keys."""


@keys.command()
@click.argument('path', type=click.Path(path_type=Path))
@output_option
def new(path: Path, form: OutputFormat) -> None:
    """Make a key pair and write its secret to the new file PATH.

    Give the file to every node and name it in [keys] of their settings.

    \b
    Example:
      wagtaildale keys new fleet.key
    \f

    Args:
        path: of the file.
        form: how to print.
    """
    pair = write_new_pair(path)
    if isinstance(pair, Err):
        fail((pair.err_value,), form=form)
    public = pair.ok_value.public.decode()
    if form is OutputFormat.json:
        print_json({'file': str(path), 'public': public})
    else:
        click.echo(f'secret in {path}; public key {public}')
