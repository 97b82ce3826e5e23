"""Reconstructs the history of a request from the logs of all its nodes."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from msgspec import Struct

from wagtaildale.errors.codes import MEANINGS, Code
from wagtaildale.telemetry.events import EventKind
from wagtaildale.types import InstanceId

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from wagtaildale.telemetry.log_lines import LogLine

# Separates the id of a request from the suffix in the id of a call that a
# backend server makes for it.
CALL_SEPARATOR: Final = '.'
# State changes this long before a request may have affected it: twice the time
# in which a version comes into force on all nodes.
LOOKBACK_MS: Final = 5000
END_KINDS: Final = frozenset(
    (
        EventKind.call_answered,
        EventKind.call_failed,
        EventKind.call_refused,
    ),
)
# Lines with these codes have the fingerprint of the request as their detail.
SUSPECT_CODES: Final = frozenset((Code.request_on_trial, Code.request_harmful))
STATE_KINDS: Final = frozenset(
    (
        EventKind.node_started,
        EventKind.node_ready,
        EventKind.node_leaving,
        EventKind.node_stopped,
        EventKind.woke_late,
        EventKind.version_applied,
        EventKind.version_refused,
        EventKind.instances_applied,
        EventKind.lapsed_changed,
        EventKind.platform_returned,
        EventKind.source_failed,
        EventKind.source_recovered,
        EventKind.upstream_ejected,
        EventKind.upstream_restored,
        EventKind.upstream_leaving,
        EventKind.server_ended,
        EventKind.server_down,
        EventKind.server_up,
        EventKind.server_limited,
        EventKind.server_unlimited,
        EventKind.server_leaving,
        EventKind.slow_start_began,
        EventKind.slow_start_ended,
        EventKind.evacuation_began,
        EventKind.evacuation_ended,
        EventKind.server_word_refused,
        EventKind.request_suspected,
        EventKind.request_cleared,
        EventKind.backend_slow,
        EventKind.backend_well,
        EventKind.connection_silent,
        EventKind.connection_lost,
        EventKind.peer_suspected,
        EventKind.peer_dead,
        EventKind.peer_leaving,
        EventKind.peer_refuted,
        EventKind.invariant_broken,
    ),
)
# Part of the detail of each refusal because of an outgoing line.
OUTGOING_LINE: Final = 'outgoing line'


class RequestHistory(Struct, frozen=True, kw_only=True):
    """Log lines that explain one request.

    Attributes:
        request: id of the request.
        decisions: decisions on the request and on the calls made for it, in
            causal order.
        beliefs: last state change of each kind before the end of the request,
            on the nodes that decided on it, oldest first.
        end: line that reports the end of the request, if it was written.
        restarted: nodes whose lines come from more than one process.
        left_out: number of lines that those nodes dropped in that time.
    """

    request: str
    decisions: tuple[LogLine, ...]
    beliefs: tuple[LogLine, ...]
    end: LogLine | None
    restarted: tuple[InstanceId, ...] = ()
    left_out: int = 0


def collect_history(request: str, lines: Sequence[LogLine]) -> RequestHistory:
    """Collect the history of a request.

    Lines are sorted by the hybrid clock, which every message between nodes
    advances; lines of one process keep their order.

    Args:
        request: id of the request.
        lines: log lines of all nodes.

    Returns:
        History of the request; it has no decisions if no line has the id.
    """
    decisions = sorted(
        (line for line in lines if is_about(line, request)),
        key=_read_time,
    )
    nodes = {line.node for line in decisions}
    ends = [
        line
        for line in decisions
        if line.request == request and line.kind in END_KINDS
    ]
    nearby = _select_nearby(lines, decisions, nodes)
    server_ends = _list_server_ends(lines, decisions)
    others = (
        line
        for line in _select_latest_states(nearby)
        if line not in server_ends
    )
    return RequestHistory(
        request=request,
        decisions=tuple(decisions),
        beliefs=tuple(sorted((*server_ends, *others), key=_read_time)),
        end=ends[-1] if ends else None,
        restarted=_find_restarted(lines, nodes),
        left_out=sum(line.left_out for line in nearby),
    )


def is_about(line: LogLine, request: str) -> bool:
    """Check whether a line concerns a request or a call made for it.

    Args:
        line: line of the log.
        request: id of the request.

    Returns:
        Whether the line is part of the request's history.
    """
    return line.request == request or line.request.startswith(
        f'{request}{CALL_SEPARATOR}',
    )


def find_cause(history: RequestHistory) -> LogLine | None:
    """Find the line that best explains why a request failed.

    The entry's last line has the outcome. The details are in the last other
    line with the same code, usually the owner's, or else in the last line
    with any code.

    Args:
        history: history of the request.

    Returns:
        The line, or None if the request was answered or its end is unknown.
    """
    end = history.end
    if end is None or end.kind is EventKind.call_answered:
        return None
    faults = [
        line
        for line in history.decisions
        if line.code and line is not end and line.request == history.request
    ]
    same_code = [line for line in faults if line.code == end.code]
    if is_line_refusal(end):
        # Refusals for another reason, of earlier attempts, are not the cause.
        line_refusals = [line for line in same_code if is_line_refusal(line)]
        return (line_refusals or [end])[-1]
    return (same_code or faults or [end])[-1]


def is_line_refusal(line: LogLine) -> bool:
    """Check whether a line reports a refusal because of an outgoing line.

    Entries and owners name the outgoing line in the detail of such a refusal.

    Args:
        line: line of the log.

    Returns:
        Whether an outgoing line could not carry the response in time.
    """
    return line.code == Code.overloaded and OUTGOING_LINE in line.detail


def describe_code(code: int) -> str:
    """Describe a result code.

    Args:
        code: number of the code.

    Returns:
        Number, name and meaning of the code.
    """
    if code not in set(Code):
        return f'{code}, a code that this version does not know'
    known = Code(code)
    return f'{code} {known.name}: {MEANINGS[known]}'


def _select_nearby(
    lines: Iterable[LogLine],
    decisions: Sequence[LogLine],
    nodes: set[InstanceId],
) -> list[LogLine]:
    if not decisions:
        return []
    first = decisions[0].at_ms - LOOKBACK_MS
    last = decisions[-1].at_ms
    nearby = [
        line
        for line in lines
        if line.node in nodes and first <= line.at_ms <= last
    ]
    return sorted(nearby, key=_read_time)


def _list_server_ends(
    lines: Iterable[LogLine],
    decisions: Iterable[LogLine],
) -> list[LogLine]:
    """List the server ends because of which a request was restricted.

    They may be minutes older than the request and come from nodes that never
    received it.
    """
    fingerprints = {
        line.detail
        for line in decisions
        if line.code in SUSPECT_CODES and line.detail
    }
    return [
        line
        for line in lines
        if line.kind is EventKind.server_ended
        and not fingerprints.isdisjoint(line.detail.split())
    ]


def _select_latest_states(nearby: Sequence[LogLine]) -> tuple[LogLine, ...]:
    # The subject of a line with a version is a digest, so it is left out of
    # the key: only the latest version matters.
    latest = {
        (line.node, line.kind, '' if line.version else line.subject): line
        for line in nearby
        if line.kind in STATE_KINDS
    }
    return tuple(sorted(latest.values(), key=_read_time))


def _find_restarted(
    lines: Iterable[LogLine],
    nodes: set[InstanceId],
) -> tuple[InstanceId, ...]:
    seen: dict[InstanceId, set[int]] = {}
    for line in lines:
        if line.node in nodes:
            seen.setdefault(line.node, set()).add(line.incarnation)
    return tuple(
        node for node, incarnations in seen.items() if len(incarnations) > 1
    )


def _read_time(line: LogLine) -> int:
    return line.at_ms
