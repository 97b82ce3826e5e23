"""Pages on requests under which servers have ended."""

from __future__ import annotations

from typing import TYPE_CHECKING

from werkzeug.exceptions import NotFound

from wagtaildale.admin.model import SuspectState, SuspectsReport
from wagtaildale.suspects.fingerprints import Fingerprint
from wagtaildale.suspects.messages import RequestAnswered
from wagtaildale.suspects.records import find_standing
from wagtaildale.timers.service import read_clock

if TYPE_CHECKING:
    from wagtaildale.node import Node
    from wagtaildale.suspects.records import Record


def report_suspects(node: Node) -> SuspectsReport:
    """Report the requests under which servers have ended.

    Args:
        node: that is asked.

    Returns:
        What it knows of each, the gravest first.
    """
    now = read_clock()
    records = node.parts.suspects.current.records
    states = [
        _describe(fingerprint, record, now)
        for fingerprint, record in records.items()
        if record.ends
    ]
    states.sort(key=_read_ends, reverse=True)
    return SuspectsReport(suspects=tuple(states))


def clear_suspect(node: Node, named: str) -> SuspectsReport:
    """Let a request run again, at all nodes, whoever sends it.

    Args:
        node: that is told, and tells the others.
        named: fingerprint, hexadecimal.

    Returns:
        What was known of it.

    Raises:
        NotFound: where this node suspects no such request.
    """
    now = read_clock()
    cleared = {
        fingerprint: record
        for fingerprint, record in _find_alike(node, named).items()
        if record.ends
    }
    if not cleared:
        raise NotFound
    for alike in cleared:
        node.parts.inbox.put(RequestAnswered(alike))
    states = [_describe(*pair, now) for pair in cleared.items()]
    return SuspectsReport(suspects=tuple(states))


def _find_alike(node: Node, named: str) -> dict[Fingerprint, Record]:
    try:
        fingerprint = Fingerprint(bytes.fromhex(named))
    except ValueError:
        return {}
    return node.parts.suspects.current.list_same_subject(fingerprint)


def _describe(
    fingerprint: Fingerprint,
    record: Record,
    now: float,
) -> SuspectState:
    standing = find_standing(record.ends, since=record.since, now=now)
    return SuspectState(
        fingerprint=fingerprint.hex(),
        ends=record.ends,
        standing=standing.value,
        seen_seconds_ago=max(0, round(now - record.seen_at)),
    )


def _read_ends(state: SuspectState) -> int:
    return state.ends
