"""Gauges of a node."""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING, Final

from wagtaildale.document.eras import find_era
from wagtaildale.telemetry.metrics import Metrics
from wagtaildale.timers.service import read_clock
from wagtaildale.types import DocumentKind

if TYPE_CHECKING:
    from wagtaildale.node import Node

NO_LIMIT: Final = -1
MILLISECONDS: Final = 1000


def make_metrics(node: Node) -> Metrics:
    """Create the metrics of a node.

    Args:
        node: node that is measured.

    Returns:
        Metrics whose values are read when they are scraped.
    """
    parts = node.parts
    metrics = Metrics(parts.tallies, instance=parts.identity.instance)
    state = node.distribution.state
    for add_gauges in (
        _add_platform_gauges,
        _add_backend_gauges,
        _add_line_gauges,
        _add_memory_gauges,
    ):
        add_gauges(metrics, node)
    for kind in DocumentKind:
        metrics.add_gauge(
            f'wagtaildale.{kind.name}.version',
            partial(_read_version, node, kind),
            unit='1',
            description='Version in force on this node.',
        )
    metrics.add_gauge(
        'wagtaildale.platform.era',
        lambda: find_era(state.stores[DocumentKind.instances].held.version),
        unit='1',
        description='How often the platform came back from an older copy.',
    )
    metrics.add_gauge(
        'wagtaildale.control.sent',
        lambda: node.distribution.sockets.sent_bytes,
        unit='By',
        description='Bytes sent to other nodes for control.',
    )
    metrics.add_gauge(
        'wagtaildale.reader',
        lambda: state.appointed,
        unit='1',
        description='Whether this node watches the platform.',
    )
    metrics.add_gauge(
        'wagtaildale.invariants.broken',
        lambda: parts.invariants.broken,
        unit='1',
        description='Invariants found broken: anything but 0 is a defect.',
    )
    return metrics


def _add_platform_gauges(metrics: Metrics, node: Node) -> None:
    metrics.add_gauge(
        'wagtaildale.platform.reads',
        lambda: node.count_reads().reads,
        unit='{read}',
        description='Reads of the platform since the start.',
    )
    metrics.add_gauge(
        'wagtaildale.platform.reads_failed',
        lambda: node.count_reads().failed,
        unit='{read}',
        description='Reads of the platform that failed since the start.',
    )
    counts = node.distribution.counts
    metrics.add_gauge(
        'wagtaildale.platform.refused_entries',
        lambda: counts.refused_entries,
        unit='{entry}',
        description='Entries of the platform skipped as unreadable.',
    )
    metrics.add_gauge(
        'wagtaildale.platform.contradictions',
        lambda: counts.contradictions,
        unit='{answer}',
        description='Answers of the platform that contradict others.',
    )
    metrics.add_gauge(
        'wagtaildale.distribution.defects',
        lambda: counts.defects,
        unit='{message}',
        description='Messages dropped by a defect: anything but 0 is one.',
    )


def _add_memory_gauges(metrics: Metrics, node: Node) -> None:
    memory = node.calls.memory
    metrics.add_gauge(
        'wagtaildale.callers.held',
        lambda: memory.held_bytes,
        unit='By',
        description='Memory that is held for callers.',
    )
    metrics.add_gauge(
        'wagtaildale.callers.limit',
        lambda: memory.limit_bytes,
        unit='By',
        description='Most memory that is held for callers.',
    )
    metrics.add_gauge(
        'wagtaildale.callers.given_up',
        lambda: memory.given_up,
        unit='{connection}',
        description='Connections and calls asked to free what had not run.',
    )


def _add_backend_gauges(metrics: Metrics, node: Node) -> None:
    metrics.add_gauge(
        'wagtaildale.backend.running',
        lambda: len(node.calls.owner.gate.state.running),
        unit='{request}',
        description='Requests at the backend server.',
    )
    metrics.add_gauge(
        'wagtaildale.backend.limit',
        lambda: node.calls.owner.gate.state.limit,
        unit='{request}',
        description='Requests that may run at the backend server.',
    )
    _add_report_gauges(metrics, node)
    metrics.add_gauge(
        'wagtaildale.backend.demand',
        lambda: node.calls.owner.gate.state.demand.measure(read_clock()),
        unit='{request}/s',
        description='Requests that would come if all of them passed.',
    )
    metrics.add_gauge(
        'wagtaildale.upstreams.limited',
        lambda: len(node.calls.entry.parts.placement.statistics.server_limits),
        unit='{upstream}',
        description='Upstreams that take a part of what may come.',
    )
    metrics.add_gauge(
        'wagtaildale.backend.ends',
        lambda: node.calls.owner.trials.end_detector.count,
        unit='{end}',
        description='Times that the backend server ended under requests.',
    )
    metrics.add_gauge(
        'wagtaildale.backend.denials',
        lambda: node.calls.owner.targets.denial_count,
        unit='{request}',
        description='Requests refused for naming another instance.',
    )
    metrics.add_gauge(
        'wagtaildale.retries.entries',
        lambda: node.calls.entry.retry_limits.entries,
        unit='{node}',
        description='Nodes among which the slack for retries is divided.',
    )
    metrics.add_gauge(
        'wagtaildale.requests.suspected',
        node.parts.suspects.count_restricted,
        unit='{request}',
        description='Requests that are run alone, or not at all.',
    )


def _add_report_gauges(metrics: Metrics, node: Node) -> None:
    metrics.add_gauge(
        'wagtaildale.backend.unlisted',
        lambda: node.calls.owner.targets.unlisted_count,
        unit='{request}',
        description='Requests sent to a server that was not listed as live.',
    )
    metrics.add_gauge(
        'wagtaildale.backend.rate_limit',
        lambda: _read_rate_limit(node),
        unit='{request}/s',
        description='Rate that the backend server names; -1 if none.',
    )
    record = node.calls.owner.targets.slow_start.record
    metrics.add_gauge(
        'wagtaildale.backend.slow_start_requests',
        lambda: record.sent_count,
        unit='{request}',
        description='Requests sent to the backend server in slow start.',
    )
    metrics.add_gauge(
        'wagtaildale.backend.slow_start_peak',
        lambda: record.most_sent,
        unit='{request}/s',
        description='Most requests in one second of a slow start.',
    )
    metrics.add_gauge(
        'wagtaildale.backend.pace',
        lambda: node.calls.owner.gate.state.pace.encode(read_clock()),
        unit='%',
        description='Run time in percent of the usual; 0 if not reported.',
    )


def _add_line_gauges(metrics: Metrics, node: Node) -> None:
    sender = node.calls.owner.response_sender
    metrics.add_gauge(
        'wagtaildale.line.outgoing.backlog',
        lambda: sender.backlog_bytes,
        unit='By',
        description='Large responses that have not left, as far as expected.',
    )
    metrics.add_gauge(
        'wagtaildale.line.outgoing.wait',
        lambda: _read_line_wait(node),
        unit='s',
        description='Time until these responses have left.',
    )
    metrics.add_gauge(
        'wagtaildale.line.refusals',
        lambda: sender.refusal_count,
        unit='{request}',
        description='Requests refused for want of bandwidth for the response.',
    )


def _read_line_wait(node: Node) -> float:
    state = node.calls.owner.response_sender.line_state
    return 0 if state is None else state.wait_ms / MILLISECONDS


def _read_rate_limit(node: Node) -> float:
    rate_limit = node.calls.owner.targets.feedback.per_second
    return NO_LIMIT if rate_limit is None else rate_limit


def _read_version(node: Node, kind: DocumentKind) -> float:
    stores = node.distribution.state.stores
    return stores[kind].held.version
