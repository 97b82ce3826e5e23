"""``wagtaildale drain``: starts the planned stop of a node."""

from __future__ import annotations

from typing import TYPE_CHECKING

import click
from result import Err

from wagtaildale.admin.model import DrainReport
from wagtaildale.cli.options import make_client, node_options, output_option
from wagtaildale.cli.output import (
    EXIT_UNREACHABLE,
    OutputFormat,
    fail,
    print_json,
)

if TYPE_CHECKING:
    from pathlib import Path


@click.command()
@node_options
@output_option
def drain(node: str, token_file: Path | None, form: OutputFormat) -> None:
    """Start the planned stop of a node, as SIGTERM does.

    \b
    Example:
      wagtaildale drain --node 127.0.1.1:8083
    \f

    Args:
        node: administration address of the node.
        token_file: file with the token.
        form: output format.
    """
    client = make_client(node, token_file, form)
    found = client.send('/v1/drain', document_type=DrainReport)
    if isinstance(found, Err):
        fail((found.err_value,), form=form, exit_code=EXIT_UNREACHABLE)
    if form is OutputFormat.json:
        print_json(found.ok_value)
    else:
        click.echo(f'leaving; {found.ok_value.in_flight} requests in flight')
