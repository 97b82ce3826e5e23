"""Builds the reports on a node from the state of its parts."""

from __future__ import annotations

import resource
import time
from typing import TYPE_CHECKING, Final

from wagtaildale.admin.line_reports import (
    describe_outgoing_line,
    report_outgoing_line,
)
from wagtaildale.admin.model import (
    BackendState,
    ClassState,
    ControlState,
    DocumentState,
    Explanation,
    NodeReport,
)
from wagtaildale.configuration.qualified_names import qualify_class
from wagtaildale.membership.state import get_topology
from wagtaildale.timers.service import read_clock
from wagtaildale.types import DocumentKind

if TYPE_CHECKING:
    from wagtaildale.configuration.model import WorkClass
    from wagtaildale.membership.records import InstanceRecord
    from wagtaildale.node import Node
    from wagtaildale.routing.view import FleetView
    from wagtaildale.telemetry.tallies import ClassTally

MEMORY_FILE: Final = '/proc/self/statm'


def report_node(node: Node) -> NodeReport:
    """Report on a node.

    The state of the distribution task is read while the task changes it, so
    the fields may be from slightly different times; each one is correct.

    Args:
        node: node of this process.

    Returns:
        State of the node.
    """
    parts = node.parts
    state = node.distribution.state
    return NodeReport(
        instance=parts.identity.instance,
        incarnation=parts.identity.incarnation,
        service=parts.settings.service,
        data_centre=parts.settings.data_centre,
        state=parts.states[-1].value,
        reader=state.appointed,
        documents={
            kind.name: _report_document(node, kind) for kind in DocumentKind
        },
        away=tuple(sorted(parts.view.current.away)),
        neighbours=get_topology(state.members).neighbours,
        control=_report_control(node),
        classes=report_classes(node),
        backend=_report_backend(node),
        invariants_broken=parts.invariants.broken,
        cpu_seconds=time.process_time(),
        resident_bytes=_read_resident_bytes(),
        evacuated=tuple(sorted(parts.view.current.evacuated)),
        outgoing_line=report_outgoing_line(node),
    )


def report_classes(node: Node) -> tuple[ClassState, ...]:
    """Report on every class that a node's entry has served.

    Args:
        node: node of this process.

    Returns:
        Reports sorted by name, with those of classes that are in force but
        unused.
    """
    parts = node.parts
    classes = _list_classes(parts.view.current)
    tallies = parts.tallies.sum_up()
    names = sorted(classes.keys() | tallies.keys())
    return tuple(
        _report_class(name, classes.get(name), tallies.get(name))
        for name in names
    )


def explain_request(node: Node, *, method: str, path: str) -> Explanation:
    """Explain where a request would go.

    Args:
        node: node of this process.
        method: HTTP method.
        path: path without the query.

    Returns:
        Class and upstreams of the request.
    """
    view = node.parts.view.current
    match = view.table.find(method, path) if view.table else None
    if match is None:
        return Explanation(
            method=method,
            path=path,
            version=view.version,
            found=False,
        )
    work_class = match.work_class
    return Explanation(
        method=method,
        path=path,
        version=view.version,
        found=True,
        work_class=qualify_class(match.service, work_class.name),
        template=match.template,
        idempotent=work_class.idempotent,
        within_ms=work_class.within_ms,
        percent=work_class.percent,
        deadline_ms=work_class.deadline_ms,
        bulk=work_class.is_bulk,
        upstreams=tuple(
            _describe_upstream(node, view, record)
            for record in view.upstreams.get(match.service, ())
        ),
    )


def _describe_upstream(
    node: Node,
    view: FleetView,
    record: InstanceRecord,
) -> str:
    now = read_clock()
    placement = node.calls.entry.parts.placement
    upstream = placement.statistics.find(record.instance, now=now)
    is_local = record.data_centre == node.parts.settings.data_centre
    location = 'own data centre' if is_local else record.data_centre
    load = round(upstream.measure_load(now) * 100)
    slowness = round(upstream.slowness.estimate(now), 1)
    return ', '.join(
        (
            f'{record.instance}: {location}',
            _describe_availability(node, view, record),
            f'{load}% of its limit',
            f'{slowness} times the usual time',
            *describe_outgoing_line(upstream, now=now),
        ),
    )


def _describe_availability(
    node: Node,
    view: FleetView,
    record: InstanceRecord,
) -> str:
    statistics = node.calls.entry.parts.placement.statistics
    if statistics.leaving_servers.is_leaving(record):
        return 'leaves'
    if record.instance in view.away:
        return 'away'
    now = read_clock()
    room = statistics.server_limits.find_limited_rank_share(
        record.instance, now=now
    )
    return 'takes work' if room >= 1 else f'takes {room:.2f} of its work'


def _list_classes(view: FleetView) -> dict[str, WorkClass]:
    if view.table is None:
        return {}
    return {
        qualify_class(match.service, match.work_class.name): match.work_class
        for match in view.table.list_matches()
    }


def _report_class(
    name: str,
    work_class: WorkClass | None,
    tally: ClassTally | None,
) -> ClassState:
    return ClassState(
        name=name,
        within_ms=work_class.within_ms if work_class else 0,
        percent=work_class.percent if work_class else 0,
        total=tally.total if tally else 0,
        answered=tally.answered if tally else 0,
        in_time=tally.in_time if tally else 0,
        not_run=tally.not_run if tally else 0,
        unknown=tally.unknown if tally else 0,
        retried=tally.retried if tally else 0,
        hedged=tally.hedged if tally else 0,
        codes=_write_codes(tally),
    )


def _write_codes(tally: ClassTally | None) -> dict[str, int]:
    if tally is None:
        return {}
    return {
        f'{code.value} {code.name}': count
        for code, count in tuple(tally.codes.items())
    }


def _report_document(node: Node, kind: DocumentKind) -> DocumentState:
    state = node.distribution.state
    store = state.stores[kind]
    holding = state.describe_holding(kind, read_clock())
    return DocumentState(
        version=holding.version,
        digest=holding.digest.hex(),
        age_ms=holding.age_ms,
        refused={
            f'{version}': str(fault)
            for (version, _digest), fault in tuple(store.refused.items())
        },
    )


def _report_control(node: Node) -> ControlState:
    counts = node.distribution.counts
    sockets = node.distribution.sockets
    return ControlState(
        sent_bytes=sockets.sent_bytes,
        received_bytes=sockets.received_bytes,
        sent=counts.messages_out,
        received=counts.messages_in,
        malformed=counts.malformed,
        misdirected=counts.misdirected,
        refused_peers=sockets.refused_peers,
    )


def _report_backend(node: Node) -> BackendState:
    state = node.calls.owner.gate.state
    return BackendState(
        slots=state.slots,
        limit=int(state.limit),
        running=len(state.running),
        queued=len(state.queue),
        draining=state.draining,
    )


def _read_resident_bytes() -> int:
    with open(MEMORY_FILE, encoding='ascii') as status:
        pages = int(status.read().split()[1])
    return pages * resource.getpagesize()
