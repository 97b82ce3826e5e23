"""``wagtaildale keys``: creates keys for the connections between nodes."""

from __future__ import annotations

from pathlib import Path

import click
from result import Err

from wagtaildale.cli.options import output_option
from wagtaildale.cli.output import OutputFormat, fail, print_json
from wagtaildale.keys.pairs import write_new_pair


@click.group()
def keys() -> None:
    """Create the keys of the fleet."""


@keys.command()
@click.argument('path', type=click.Path(path_type=Path))
@output_option
def new(path: Path, form: OutputFormat) -> None:
    """Create a key pair and write its secret key to the new file PATH.

    Give the file to every node and name it in [keys] of their settings.

    \b
    Example:
      wagtaildale keys new fleet.key
    \f

    Args:
        path: path of the new file.
        form: output format.
    """
    pair = write_new_pair(path)
    if isinstance(pair, Err):
        fail((pair.err_value,), form=form)
    public = pair.ok_value.public.decode()
    if form is OutputFormat.json:
        print_json({'file': str(path), 'public': public})
    else:
        click.echo(f'secret in {path}; public key {public}')
