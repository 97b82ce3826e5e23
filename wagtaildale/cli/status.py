"""``wagtaildale status``: shows whether each class meets its target."""

from __future__ import annotations

import time
from collections import Counter
from typing import TYPE_CHECKING, Final

import click
from msgspec import structs
from result import Err

from wagtaildale.admin.model import ClassState, FleetReport, NodeReport
from wagtaildale.cli.options import make_client, node_options, output_option
from wagtaildale.cli.output import (
    EXIT_UNREACHABLE,
    OutputFormat,
    fail,
    print_json,
    print_table,
)

if TYPE_CHECKING:
    from collections.abc import Iterable
    from pathlib import Path

    from wagtaildale.admin.client import AdminClient

PERCENT: Final = 100
WATCH_INTERVAL_SECONDS: Final = 2.0
MAX_LISTED_NAMES: Final = 12
MAX_REPORT_AGE_MS: Final = 3000
# Shorter waits are left out, so that the list is short in normal operation.
# Owners report the wait to entries in the same steps.
MIN_SHOWN_WAIT_MS: Final = 250
CONFIGURATION: Final = 'configuration'


@click.command()
@click.option('--watch', is_flag=True, help='Print again every 2 s.')
@node_options
@output_option
def status(
    node: str,
    token_file: Path | None,
    *,
    watch: bool,
    form: OutputFormat,
) -> None:
    """Show whether each class meets its target, and the versions in force.

    Any node reports on the whole fleet.

    \b
    Examples:
      wagtaildale status --node 127.0.1.1:8083
      wagtaildale status --node 127.0.1.1:8083 --watch
    \f

    Args:
        node: administration address of any node.
        token_file: file with the token.
        watch: whether to print again until interrupted.
        form: output format.
    """
    client = make_client(node, token_file, form)
    _show(client, form)
    while watch:
        time.sleep(WATCH_INTERVAL_SECONDS)
        click.clear()
        _show(client, form)


def sum_classes(reports: Iterable[NodeReport]) -> list[ClassState]:
    """Add up the counts of each class over all nodes.

    Args:
        reports: reports of nodes.

    Returns:
        Counts of each class, sorted by name.
    """
    totals: dict[str, ClassState] = {}
    for report in reports:
        for state in report.classes:
            known = totals.get(state.name)
            added = state if known is None else _add(known, state)
            totals[state.name] = added
    return [totals[name] for name in sorted(totals)]


def print_fleet(fleet: FleetReport) -> None:
    """Print the report on a fleet as text.

    Args:
        fleet: reports of the nodes.
    """
    reports = [part.report for part in fleet.parts]
    states = Counter(report.state for report in reports)
    listed = ', '.join(f'{count} {name}' for name, count in states.items())
    oldest = max((part.age_ms for part in fleet.parts), default=0)
    click.echo(
        f'{len(reports)} nodes known to {fleet.asked}: {listed}; '
        f'oldest report {oldest} ms',
    )
    missing = _list_missing(fleet)
    if missing:
        click.echo(f'not reached recently: {_join_names(missing)}')
    _print_versions(reports)
    click.echo()
    print_table(
        ('class', 'target', 'in time', 'calls', 'not run', 'unknown'),
        rows=map(_describe_class, sum_classes(reports)),
    )


def _show(client: AdminClient, form: OutputFormat) -> None:
    found = client.read('/v1/fleet', document_type=FleetReport)
    if isinstance(found, Err):
        fail((found.err_value,), form=form, exit_code=EXIT_UNREACHABLE)
    if form is OutputFormat.json:
        print_json(found.ok_value)
    else:
        print_fleet(found.ok_value)


def _list_missing(fleet: FleetReport) -> tuple[str, ...]:
    outdated = [
        part.report.instance
        for part in fleet.parts
        if part.age_ms > MAX_REPORT_AGE_MS
    ]
    return (*fleet.unknown, *outdated)


def _print_versions(reports: list[NodeReport]) -> None:
    held = Counter(
        report.documents[CONFIGURATION].version for report in reports
    )
    latest = max(held, default=0)
    click.echo(f'version {latest} in force on {held[latest]} nodes')
    for node_report in reports:
        document = node_report.documents[CONFIGURATION]
        if document.version < latest:
            reason = document.refused.get(str(latest), 'not received yet')
            click.echo(
                f'behind: {node_report.instance} holds {document.version}; '
                f'{latest}: {reason}',
            )
    _print_evacuations(reports)
    _print_outgoing_lines(reports)
    broken = sum(report.invariants_broken for report in reports)
    if broken:
        click.echo(f'INVARIANTS BROKEN: {broken}; please report this defect')


def _print_evacuations(reports: list[NodeReport]) -> None:
    known = Counter(name for report in reports for name in report.evacuated)
    for name, count in sorted(known.items()):
        click.echo(f'evacuated: {name}, known to {count} of {len(reports)}')


def _print_outgoing_lines(reports: list[NodeReport]) -> None:
    for report in reports:
        line = report.outgoing_line
        if line is not None and line.wait_ms >= MIN_SHOWN_WAIT_MS:
            click.echo(
                f'outgoing line of {report.instance}: {line.wait_ms} ms, '
                f'{line.backlog_bytes} bytes wait',
            )


def _join_names(names: tuple[str, ...]) -> str:
    named = ', '.join(names[:MAX_LISTED_NAMES])
    more = len(names) - MAX_LISTED_NAMES
    return f'{named} and {more} more' if more > 0 else named


def _add(one: ClassState, other: ClassState) -> ClassState:
    summed = {
        name: getattr(one, name) + getattr(other, name)
        for name in (
            'total',
            'answered',
            'in_time',
            'not_run',
            'unknown',
            'retried',
            'hedged',
        )
    }
    codes = Counter(one.codes)
    codes.update(other.codes)
    return structs.replace(
        one,
        **summed,
        codes=dict(codes),
        within_ms=one.within_ms or other.within_ms,
        percent=one.percent or other.percent,
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
