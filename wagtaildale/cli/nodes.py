"""Commands that ask nodes: status, explain, timeline."""

from __future__ import annotations

import sys
from typing import TYPE_CHECKING, Final

import click
from result import Err

from wagtaildale.admin.model import Explanation, NodeReport, Timeline
from wagtaildale.cli.options import make_client, node_options, output_option
from wagtaildale.cli.output import (
    EXIT_FAULTS,
    EXIT_UNREACHABLE,
    Form,
    fail,
    print_json,
    print_table,
)
from wagtaildale.telemetry.clock import read_milliseconds

if TYPE_CHECKING:
    from pathlib import Path

    from wagtaildale.admin.model import ClassState
    from wagtaildale.telemetry.events import Event

PERCENT: Final = 100


@click.command()
@node_options
@output_option
def status(node: str, token_file: Path | None, form: Form) -> None:
    """Show whether each class is in its target, and which version is held.

    \b
    Example:
      wagtaildale status --node 127.0.1.1:8083
    \f

    Args:
        node: admin address.
        token_file: file with the token.
        form: how to print.
    """
    client = make_client(node, token_file, form)
    found = client.read('/v1/node', shape=NodeReport)
    if isinstance(found, Err):
        fail((found.err_value,), form=form, exit_code=EXIT_UNREACHABLE)
    if form is Form.json:
        print_json(found.ok_value)
    else:
        _print_report(found.ok_value)


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
@click.option('--since', type=int, default=0, help='After this stamp.')
@node_options
@output_option
def timeline(
    since: int,
    node: str,
    token_file: Path | None,
    form: Form,
) -> None:
    """Print the events of a node in causal order.

    \b
    Example:
      wagtaildale timeline --node 127.0.1.1:8083
    \f

    Args:
        since: stamp of the last event already known.
        node: admin address.
        token_file: file with the token.
        form: how to print.
    """
    client = make_client(node, token_file, form)
    found = client.read(
        '/v1/timeline',
        shape=Timeline,
        query={'since': str(since)},
    )
    if isinstance(found, Err):
        fail((found.err_value,), form=form, exit_code=EXIT_UNREACHABLE)
    if form is Form.json:
        print_json(found.ok_value)
    else:
        rows = map(_describe_event, found.ok_value.events)
        print_table(('at_ms', 'node', 'kind', 'code', 'about'), rows=rows)


def _print_report(report: NodeReport) -> None:
    click.echo(
        f'{report.instance} ({report.service}, {report.data_centre}): '
        f'{report.state}',
    )
    for kind, document in report.documents.items():
        click.echo(
            f'{kind}: version {document.version}, '
            f'confirmed {document.age_ms} ms ago',
        )
    print_table(
        ('class', 'target', 'in time', 'calls', 'not run', 'unknown'),
        rows=map(_describe_class, report.classes),
    )


def _describe_class(state: ClassState) -> list[str]:
    share = PERCENT * state.in_time / state.total if state.total else PERCENT
    met = 'met' if share >= state.percent else 'MISSED'
    return [
        state.name,
        f'{state.percent:g}% in {state.within_ms} ms',
        f'{share:.2f}% {met}' if state.total else 'no calls',
        str(state.total),
        str(state.not_run),
        str(state.unknown),
    ]


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


def _describe_event(event: Event) -> tuple[str, ...]:
    about = [event.subject, event.detail]
    if event.version:
        about.insert(0, f'version {event.version}')
    return (
        str(read_milliseconds(event.stamp)),
        event.node,
        event.kind.value,
        str(event.code or ''),
        ' '.join(text for text in about if text),
    )
