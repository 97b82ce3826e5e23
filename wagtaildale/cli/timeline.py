"""``wagtaildale timeline``: shows events of all nodes in causal order."""

from __future__ import annotations

import time
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import TYPE_CHECKING, Final

import click
from msgspec import Struct
from result import Err, Ok

from wagtaildale.admin.client import AdminClient
from wagtaildale.admin.model import InstanceAddresses, Timeline
from wagtaildale.cli.options import make_client, node_options, output_option
from wagtaildale.cli.output import (
    EXIT_UNREACHABLE,
    OutputFormat,
    fail,
    print_json,
    print_table,
)
from wagtaildale.telemetry.clock import read_milliseconds
from wagtaildale.telemetry.timeline_page import write_page

if TYPE_CHECKING:
    from collections.abc import Iterable

    from wagtaildale.telemetry.events import Event

WORKER_COUNT: Final = 16
FOLLOW_INTERVAL_SECONDS: Final = 1.0


class EventFilter(Struct, frozen=True, kw_only=True):
    """Filter of events; a field that is None matches all events.

    Attributes:
        about: text that must be part of the version, the subject (class or
            peer) or the detail.
        kind: kind of the event.
        instance: instance of the node.
    """

    about: str | None = None
    kind: str | None = None
    instance: str | None = None

    def matches(self, event: Event) -> bool:
        """Check whether an event passes the filter.

        Args:
            event: event to check.

        Returns:
            Whether every field that is set matches.
        """
        texts = (str(event.version), event.subject, event.detail)
        if self.about and not any(self.about in text for text in texts):
            return False
        if self.kind and event.kind.value != self.kind:
            return False
        return not self.instance or event.node == self.instance


@click.command()
@click.option('--about', help='Version, request, class or peer.')
@click.option('--kind', help='Kind of event, such as version-applied.')
@click.option('--instance', help='Events of this node only.')
@click.option('--follow', is_flag=True, help='Keep printing new events.')
@click.option(
    '--page',
    type=click.Path(dir_okay=False, path_type=Path),
    help='Write an HTML page with a plot to this file.',
)
@node_options
@output_option
def timeline(
    node: str,
    token_file: Path | None,
    *,
    form: OutputFormat,
    follow: bool,
    page: Path | None,
    **filters: str | None,
) -> None:
    """Collect the events of all nodes and merge them in causal order.

    \b
    Examples:
      wagtaildale timeline --node 127.0.1.1:8083 --kind version-applied
      wagtaildale timeline --node 127.0.1.1:8083 --page timeline.html
    \f

    Args:
        node: administration address of any node.
        token_file: file with the token.
        form: output format.
        follow: whether to keep printing new events.
        page: file for the page with the plot.
        filters: fields of the event filter.
    """
    client = make_client(node, token_file, form)
    event_filter = EventFilter(**filters)
    clients = _find_clients(client, form)
    events = collect_events(clients, since=0)
    matching = [event for event in events if event_filter.matches(event)]
    if page is not None:
        page.write_text(write_page(matching), encoding='utf-8')
        click.echo(f'{len(matching)} events in {page}')
        return
    _print(matching, form)
    while follow:
        time.sleep(FOLLOW_INTERVAL_SECONDS)
        since = max((event.stamp for event in events), default=0)
        events = collect_events(clients, since=since) or events
        _print([each for each in events if each.stamp > since], form)


def collect_events(
    clients: Iterable[AdminClient],
    *,
    since: int,
) -> list[Event]:
    """Collect events from nodes and merge them.

    Args:
        clients: clients of the nodes; nodes that do not answer are skipped.
        since: stamp of the last event already known.

    Returns:
        Events sorted by stamp, which is causal order.
    """
    query = {'since': str(since)}
    with ThreadPoolExecutor(WORKER_COUNT) as executor:
        found = executor.map(
            lambda client: client.read(
                '/v1/timeline',
                document_type=Timeline,
                query=query,
            ),
            clients,
        )
    events = [
        event
        for timeline_read in found
        if isinstance(timeline_read, Ok)
        for event in timeline_read.ok_value.events
    ]
    return sorted(events, key=_read_sort_key)


def _read_sort_key(event: Event) -> tuple[int, str]:
    return event.stamp, event.node


def _find_clients(client: AdminClient, form: OutputFormat) -> list[AdminClient]:
    found = client.read('/v1/instances', document_type=InstanceAddresses)
    if isinstance(found, Err):
        fail((found.err_value,), form=form, exit_code=EXIT_UNREACHABLE)
    return [
        AdminClient(address=instance.admin, token=client.token)
        for instance in found.ok_value.instances
    ]


def _print(events: list[Event], form: OutputFormat) -> None:
    if form is OutputFormat.json:
        print_json(Timeline(events=tuple(events)))
    elif events:
        header = ('at_ms', 'node', 'kind', 'code', 'about')
        print_table(header, rows=map(_describe_event, events))


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
