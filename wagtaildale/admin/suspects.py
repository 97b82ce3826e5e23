"""Reports on requests during which backend servers have ended."""

from __future__ import annotations

from typing import TYPE_CHECKING

from werkzeug.exceptions import NotFound

from wagtaildale.admin.model import SuspectsReport, SuspectState
from wagtaildale.suspects.fingerprints import Fingerprint
from wagtaildale.suspects.messages import RequestAnswered
from wagtaildale.suspects.records import find_standing
from wagtaildale.timers.service import read_clock

if TYPE_CHECKING:
    from wagtaildale.node import Node
    from wagtaildale.suspects.records import Record


def report_suspects(node: Node) -> SuspectsReport:
    """Report the requests during which backend servers have ended.

    Args:
        node: node of this process.

    Returns:
        State of each request, sorted by the number of ended servers, the
        largest first.
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


def clear_suspect(node: Node, fingerprint_text: str) -> SuspectsReport:
    """Let a request run again on all nodes and for all callers.

    Args:
        node: node of this process, which sends the change to the others.
        fingerprint_text: fingerprint of the request, hexadecimal.

    Returns:
        State of the request before it was cleared.

    Raises:
        NotFound: if this node suspects no such request.
    """
    now = read_clock()
    cleared = {
        fingerprint: record
        for fingerprint, record in _find_same_subject(
            node, fingerprint_text
        ).items()
        if record.ends
    }
    if not cleared:
        raise NotFound
    for cleared_fingerprint in cleared:
        node.parts.inbox.put(RequestAnswered(cleared_fingerprint))
    states = [_describe(*pair, now) for pair in cleared.items()]
    return SuspectsReport(suspects=tuple(states))


def _find_same_subject(
    node: Node, fingerprint_text: str
) -> dict[Fingerprint, Record]:
    try:
        fingerprint = Fingerprint(bytes.fromhex(fingerprint_text))
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
