"""The story of one request, from the logs of all nodes that it touched."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from msgspec import Struct

from wagtaildale.errors.codes import MEANINGS, Code
from wagtaildale.telemetry.events import EventKind
from wagtaildale.types import InstanceId

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from wagtaildale.telemetry.lines import LogLine

# A call that a backend server makes for a request is named after it.
CALL_MARK: Final = '.'
# How far back a change of what a node believed may matter: the time in which
# a version is in force everywhere, twice.
BEFORE_MS: Final = 5000
ENDS: Final = frozenset(
    (
        EventKind.call_answered,
        EventKind.call_failed,
        EventKind.call_refused,
    ),
)
# The detail of these names the fingerprint of the request.
HELD_BACK: Final = frozenset((Code.request_on_trial, Code.request_harmful))
BELIEFS: Final = frozenset(
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


class Story(Struct, frozen=True, kw_only=True):
    """What is known of one request.

    Attributes:
        request: its id.
        decisions: on it and on the calls made for it, in causal order.
        beliefs: the last change of each kind before its end, at the nodes
            that decided on it, oldest first.
        end: the line that says how it ended, if it was written.
        restarted: nodes of which more than one process wrote.
        left_out: lines that those nodes did not write in that time.
    """

    request: str
    decisions: tuple[LogLine, ...]
    beliefs: tuple[LogLine, ...]
    end: LogLine | None
    restarted: tuple[InstanceId, ...] = ()
    left_out: int = 0


def tell_story(request: str, lines: Sequence[LogLine]) -> Story:
    """Gather the story of a request.

    Lines are put in order by the hybrid clock, which every message between
    nodes moves forward; two lines of one process keep their order.

    Args:
        request: its id.
        lines: of all nodes.

    Returns:
        Its story; without decisions if no line names it.
    """
    decisions = sorted(
        (line for line in lines if is_about(line, request)),
        key=_read_time,
    )
    nodes = {line.node for line in decisions}
    ends = [
        line
        for line in decisions
        if line.request == request and line.kind in ENDS
    ]
    near = _take_near(lines, decisions, nodes)
    ended = _list_ends(lines, decisions)
    others = (line for line in _pick_beliefs(near) if line not in ended)
    return Story(
        request=request,
        decisions=tuple(decisions),
        beliefs=tuple(sorted((*ended, *others), key=_read_time)),
        end=ends[-1] if ends else None,
        restarted=_find_restarted(lines, nodes),
        left_out=sum(line.left_out for line in near),
    )


def is_about(line: LogLine, request: str) -> bool:
    """Tell whether a line is about a request or a call made for it.

    Args:
        line: any.
        request: id.

    Returns:
        Whether it belongs to the story.
    """
    return line.request == request or line.request.startswith(
        f'{request}{CALL_MARK}',
    )


def find_cause(story: Story) -> LogLine | None:
    """Find the line that says most of why a request failed.

    The entry's last word names the outcome; the owner's last word on the
    same code, or the last refusal or failure at all, has the numbers.

    Args:
        story: of the request.

    Returns:
        The line, or nothing if the request was answered or is unknown.
    """
    end = story.end
    if end is None or end.kind is EventKind.call_answered:
        return None
    faults = [
        line
        for line in story.decisions
        if line.code and line is not end and line.request == story.request
    ]
    alike = [line for line in faults if line.code == end.code]
    return (alike or faults or [end])[-1]


def describe_code(code: int) -> str:
    """Describe a result code.

    Args:
        code: its number.

    Returns:
        Number, name and meaning.
    """
    if code not in set(Code):
        return f'{code}, a code that this version does not know'
    known = Code(code)
    return f'{code} {known.name}: {MEANINGS[known]}'


def _take_near(
    lines: Iterable[LogLine],
    decisions: Sequence[LogLine],
    nodes: set[InstanceId],
) -> list[LogLine]:
    if not decisions:
        return []
    first = decisions[0].at_ms - BEFORE_MS
    last = decisions[-1].at_ms
    near = [
        line
        for line in lines
        if line.node in nodes and first <= line.at_ms <= last
    ]
    return sorted(near, key=_read_time)


def _list_ends(
    lines: Iterable[LogLine],
    decisions: Iterable[LogLine],
) -> list[LogLine]:
    """List the ends of servers for which a request is held back.

    They may be minutes old and at nodes that never saw the request.
    """
    fingerprints = {
        line.detail
        for line in decisions
        if line.code in HELD_BACK and line.detail
    }
    return [
        line
        for line in lines
        if line.kind is EventKind.server_ended
        and not fingerprints.isdisjoint(line.detail.split())
    ]


def _pick_beliefs(near: Sequence[LogLine]) -> tuple[LogLine, ...]:
    # A version's subject is its digest: only the latest version counts.
    latest = {
        (line.node, line.kind, '' if line.version else line.subject): line
        for line in near
        if line.kind in BELIEFS
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
    return tuple(node for node, starts in seen.items() if len(starts) > 1)


def _read_time(line: LogLine) -> int:
    return line.at_ms
