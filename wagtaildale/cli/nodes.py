"""Commands that ask one node: explain, drain."""

from __future__ import annotations

import sys
from typing import TYPE_CHECKING

import click
from result import Err

from wagtaildale.admin.model import DrainReport, Explanation
from wagtaildale.cli.options import make_client, node_options, output_option
from wagtaildale.cli.output import (
    EXIT_FAULTS,
    EXIT_UNREACHABLE,
    Form,
    fail,
    print_json,
)

if TYPE_CHECKING:
    from pathlib import Path


@click.command()
@click.argument('method')
@click.argument('path')
@node_options
@output_option
def explain(
    method: str,
    path: str,
    node: str,
    token_file: Path | None,
    form: Form,
) -> None:
    """Explain where a request by METHOD for PATH would go.

    \b
    Example:
      wagtaildale explain GET /files/7 --node 127.0.1.1:8083
    \f

    Args:
        method: HTTP method.
        path: without the query.
        node: admin address.
        token_file: file with the token.
        form: how to print.
    """
    client = make_client(node, token_file, form)
    found = client.read(
        '/v1/explain',
        shape=Explanation,
        query={'method': method, 'path': path},
    )
    if isinstance(found, Err):
        fail((found.err_value,), form=form, exit_code=EXIT_UNREACHABLE)
    explanation = found.ok_value
    if form is Form.json:
        print_json(explanation)
    else:
        _print_explanation(explanation)
    if not explanation.found:
        sys.exit(EXIT_FAULTS)


@click.command()
@node_options
@output_option
def drain(node: str, token_file: Path | None, form: Form) -> None:
    """Begin the planned stop of a node, as SIGTERM does.

    \b
    Example:
      wagtaildale drain --node 127.0.1.1:8083
    \f

    Args:
        node: admin address.
        token_file: file with the token.
        form: how to print.
    """
    client = make_client(node, token_file, form)
    found = client.send('/v1/drain', shape=DrainReport)
    if isinstance(found, Err):
        fail((found.err_value,), form=form, exit_code=EXIT_UNREACHABLE)
    if form is Form.json:
        print_json(found.ok_value)
    else:
        click.echo(f'leaving; {found.ok_value.in_flight} requests in flight')


def _print_explanation(explanation: Explanation) -> None:
    head = f'{explanation.method} {explanation.path}'
    if not explanation.found:
        click.echo(f'{head}: no class (version {explanation.version})')
        return
    safety = 'idempotent' if explanation.idempotent else 'not idempotent'
    click.echo(
        f'{head}: {explanation.work_class} by {explanation.template}, '
        f'{safety}, version {explanation.version}',
    )
    click.echo(
        f'target: {explanation.percent:g}% within {explanation.within_ms} ms, '
        f'deadline {explanation.deadline_ms} ms',
    )
    for upstream in explanation.upstreams:
        click.echo(f'  {upstream}')
