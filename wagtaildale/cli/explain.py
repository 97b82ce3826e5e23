"""``wagtaildale explain``: where a request would go, or why one failed."""

from __future__ import annotations

import sys
from typing import TYPE_CHECKING, Final

import click
from result import Err

from wagtaildale.admin.model import Explanation
from wagtaildale.cli.options import (
    make_client,
    optional_node_options,
    output_option,
)
from wagtaildale.cli.output import (
    EXIT_FAULTS,
    EXIT_UNREACHABLE,
    OutputFormat,
    fail,
    print_json,
)
from wagtaildale.telemetry.log_lines import read_lines
from wagtaildale.telemetry.request_history import (
    RequestHistory,
    collect_history,
    describe_code,
    find_cause,
    is_line_refusal,
)

if TYPE_CHECKING:
    from collections.abc import Sequence
    from pathlib import Path

    from wagtaildale.telemetry.log_lines import LogLine, ParsedLog

METHODS: Final = frozenset(
    ('GET', 'HEAD', 'POST', 'PUT', 'DELETE', 'PATCH', 'OPTIONS'),
)


@click.command()
@click.argument('subject')
@click.argument('rest', nargs=-1, required=True, metavar='PATH | FILE...')
@optional_node_options
@output_option
def explain(
    subject: str,
    rest: tuple[str, ...],
    node: str | None,
    token_file: Path | None,
    form: OutputFormat,
) -> None:
    """Explain where a request would go, or how one ended.

    With a method and a path, the command asks a node where such a request
    would go. With a request's id and the logs of the nodes, it prints the
    history of the request: each decision on it with the values that led to
    it, the last state changes of the nodes, and the code at its end. FILE may
    be - for standard input.

    \b
    Examples:
      wagtaildale explain GET /files/7 --node 127.0.1.1:8083
      wagtaildale explain 9c41d07be2a35f68 node-*.log
    \f

    Args:
        subject: HTTP method, or id of a request.
        rest: path, or names of log files.
        node: administration address; required with a method and a path.
        token_file: file with the token.
        form: output format.
    """
    if subject not in METHODS:
        _explain_ended(subject, rest, form)
        return
    if node is None:
        raise click.UsageError(
            'got a method and no --node, expected the node to ask',
        )
    _explain_route(
        subject, rest[0], node=node, token_file=token_file, form=form
    )


def _explain_ended(
    request: str, paths: Sequence[str], form: OutputFormat
) -> None:
    texts: list[str] = []
    for path in paths:
        with click.open_file(path, errors='replace') as opened:
            texts.extend(opened)
    parsed_log = read_lines(texts)
    history = collect_history(request, parsed_log.lines)
    if form is OutputFormat.json:
        print_json(history)
    else:
        _print_history(history, parsed_log)
    if not history.decisions:
        sys.exit(EXIT_FAULTS)


def _print_history(history: RequestHistory, parsed_log: ParsedLog) -> None:
    if history.decisions:
        begin = history.decisions[0].at_ms
        _print_lines('what the nodes had last learned', history.beliefs, begin)
        _print_lines('decisions', history.decisions, begin)
        _print_end(history)
    else:
        click.echo(
            f'no line names request {history.request}: got '
            f'{len(parsed_log.lines)} lines of the log; give the logs of all '
            'nodes, of the time of the request',
        )
    _print_gaps(history, parsed_log)


def _print_lines(header: str, lines: Sequence[LogLine], begin: int) -> None:
    click.echo(f'{header}:')
    for line in lines:
        click.echo(f'  {line.at_ms - begin:+6d} ms  {_describe(line)}')


def _describe(line: LogLine) -> str:
    words = [line.node, line.kind.value]
    if line.code:
        words.append(f'code={line.code}')
    if line.version:
        words.append(f'version={line.version}')
    words.extend(
        text for text in (line.request, line.subject, line.detail) if text
    )
    words.extend(f'{key}={found}' for key, found in line.inputs.items())
    return ' '.join(words)


def _print_end(history: RequestHistory) -> None:
    end = history.end
    if end is None:
        click.echo(
            'end: not written; the entry ended, or its lines were left out',
        )
        return
    click.echo(f'end: {end.kind.value}, {describe_code(end.code)}')
    cause = find_cause(history)
    if cause is None:
        return
    if is_line_refusal(cause):
        # Without this, the meaning of the code would point to the slots.
        click.echo(f'cause: {cause.code}, the outgoing line, not the slots')
    elif cause is not end:
        click.echo(f'cause: {describe_code(cause.code)}')
    if cause is not end or is_line_refusal(cause):
        click.echo(f'  {_describe(cause)}')


def _print_gaps(history: RequestHistory, parsed_log: ParsedLog) -> None:
    if parsed_log.torn:
        click.echo(f'passed over: {parsed_log.torn} torn lines')
    if parsed_log.foreign:
        click.echo(f'passed over: {parsed_log.foreign} lines of other programs')
    if history.left_out:
        click.echo(
            f'left out by these nodes at the time: {history.left_out} lines',
        )
    for node in history.restarted:
        click.echo(f'{node} was started more than once in these logs')


def _explain_route(
    method: str,
    path: str,
    *,
    node: str,
    token_file: Path | None,
    form: OutputFormat,
) -> None:
    client = make_client(node, token_file, form)
    found = client.read(
        '/v1/explain',
        document_type=Explanation,
        query={'method': method, 'path': path},
    )
    if isinstance(found, Err):
        fail((found.err_value,), form=form, exit_code=EXIT_UNREACHABLE)
    explanation = found.ok_value
    if form is OutputFormat.json:
        print_json(explanation)
    else:
        _print_explanation(explanation)
    if not explanation.found:
        sys.exit(EXIT_FAULTS)


def _print_explanation(explanation: Explanation) -> None:
    header = f'{explanation.method} {explanation.path}'
    if not explanation.found:
        click.echo(f'{header}: no class (version {explanation.version})')
        return
    safety = 'idempotent' if explanation.idempotent else 'not idempotent'
    if explanation.bulk:
        safety = f'{safety}, bulk'
    click.echo(
        f'{header}: {explanation.work_class} by {explanation.template}, '
        f'{safety}, version {explanation.version}',
    )
    click.echo(
        f'target: {explanation.percent:g}% within {explanation.within_ms} ms, '
        f'deadline {explanation.deadline_ms} ms',
    )
    for upstream in explanation.upstreams:
        click.echo(f'  {upstream}')
