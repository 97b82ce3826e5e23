"""``wagtaildale suspects``: lists or clears requests that end servers."""

from __future__ import annotations

from typing import TYPE_CHECKING

import click
from result import Err

from wagtaildale.admin.model import SuspectsReport
from wagtaildale.cli.options import make_client, node_options, output_option
from wagtaildale.cli.output import (
    EXIT_FAULTS,
    EXIT_UNREACHABLE,
    OutputFormat,
    fail,
    print_json,
)
from wagtaildale.errors.codes import Code

if TYPE_CHECKING:
    from pathlib import Path


@click.command()
@click.option(
    '--clear',
    metavar='FINGERPRINT',
    help='Let such a request run again, on all nodes.',
)
@node_options
@output_option
def suspects(
    clear: str | None,
    node: str,
    token_file: Path | None,
    form: OutputFormat,
) -> None:
    """Show requests during which servers ended, or let one run again.

    \b
    Examples:
      wagtaildale suspects --node 127.0.1.1:8083
      wagtaildale suspects --clear 1491a5636dda7380de45d748 \\
        --node 127.0.1.1:8083
    \f

    Args:
        clear: fingerprint of the request that may run again.
        node: administration address of any node.
        token_file: file with the token.
        form: output format.
    """
    client = make_client(node, token_file, form)
    if clear is None:
        found = client.read('/v1/suspects', document_type=SuspectsReport)
    else:
        found = client.send(
            '/v1/suspects/clear',
            document_type=SuspectsReport,
            body=clear.encode(),
        )
    if isinstance(found, Err):
        fault = found.err_value
        unknown = fault.code is Code.admin_not_found
        fail(
            (fault,),
            form=form,
            exit_code=EXIT_FAULTS if unknown else EXIT_UNREACHABLE,
        )
    if form is OutputFormat.json:
        print_json(found.ok_value)
    else:
        _print(found.ok_value, cleared=clear is not None)


def _print(report: SuspectsReport, *, cleared: bool) -> None:
    if not report.suspects:
        click.echo('no request is suspected')
    for suspect in report.suspects:
        standing = 'cleared' if cleared else suspect.standing
        click.echo(
            f'{suspect.fingerprint}  {standing}: {suspect.ends} servers ended '
            f'one after the other, came {suspect.seen_seconds_ago} s ago',
        )
