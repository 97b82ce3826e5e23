"""Keeps instances that the platform forgot while it was away.

The platform's list has an entry for as long as its instance writes there.
While the platform cannot be written to, entries of live instances lapse.
They are back about two seconds after the platform is; until then the first
lists that it gives lack them.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from wagtaildale.distribution.departures import (
    hold_departed,
    note_departures,
)
from wagtaildale.distribution.messages import LapsedChanged, PlatformReturned
from wagtaildale.distribution.state import NEVER, DistributionState
from wagtaildale.document.eras import find_era, find_revision
from wagtaildale.membership.decisions import take_records
from wagtaildale.membership.records import InstanceRecord, decode_record
from wagtaildale.types import InstanceId, DocumentKind, ListedState, Version

if TYPE_CHECKING:
    from wagtaildale.distribution.messages import Effect
    from wagtaildale.document.model import Document

# How long a live instance takes to be listed again: the platform's operators
# say about two seconds. After the platform has been reached again its word
# counts in full within three, so this stays under that.
RETURN_SECONDS: Final = 2.2


def take_list(
    state: DistributionState,
    *,
    document: Document,
    now: float,
) -> list[Effect]:
    """Take a later instance list, and keep who has only lapsed.

    Failure guarded here: the platform comes back after some seconds with
    a list that lacks live instances, and for two seconds every request to
    their service is refused. So whoever vanishes from the list just after
    the platform was away stays in use until it is due back. An instance
    that was leaving does not.

    Args:
        state: the node; moved forward in place.
        document: the later list.
        now: seconds.

    Returns:
        Whom to keep in use or from it, if that has changed.
    """
    lapses = state.lapses
    known = {**lapses.kept, **lapses.listed}
    listed = _decode(document)
    returned = _note_era(state, document.version, now)
    kept = _pick_lapsed(known, listed) if now < lapses.until else {}
    note_departures(lapses, known, {**kept, **listed}, now=now)
    lapses.listed = listed
    lapses.era = find_era(document.version)
    return [*returned, *_keep(state, kept, now=now)]


def note_return(
    state: DistributionState,
    *,
    kind: DocumentKind,
    confirmed_at: float,
    now: float,
) -> None:
    """Note that the platform has confirmed a document after a silence.

    Only what this process has lived through counts as a silence: a node that
    has just started may hear first from a peer that was long cut off.

    Args:
        state: the node, before it takes the confirmation; moved forward in
            place.
        kind: which document.
        confirmed_at: when the platform did, seconds on this node's clock.
        now: seconds.
    """
    last = state.freshness[kind].confirmed_at
    if kind is not DocumentKind.instances or last == NEVER:
        return
    silent = confirmed_at - max(last, state.joining.started_at)
    if silent > state.tuning.lapse_seconds:
        state.lapses.until = now + RETURN_SECONDS


def end_lapses(state: DistributionState, *, now: float) -> list[Effect]:
    """Let go of whoever has not come back in time.

    Args:
        state: the node; moved forward in place.
        now: seconds.

    Returns:
        Whom to keep in use or from it, if that has changed.
    """
    lapses = state.lapses
    kept = lapses.kept if now < lapses.until else {}
    if lapses.kept and not kept:
        note_departures(lapses, lapses.kept, lapses.listed, now=now)
    if len(kept) == len(lapses.kept) and not lapses.held:
        return []
    return _keep(state, kept, now=now)


def _pick_lapsed(
    known: dict[InstanceId, InstanceRecord],
    listed: dict[InstanceId, InstanceRecord],
) -> dict[InstanceId, InstanceRecord]:
    places = {record.node_id for record in listed.values()}
    return {
        name: record
        for name, record in known.items()
        # Whose place is taken was replaced, and does not come back.
        if record.node_id not in places and record.state is ListedState.live
    }


def _note_era(
    state: DistributionState,
    version: Version,
    now: float,
) -> list[Effect]:
    before = state.lapses.era
    era = find_era(version)
    if before is None or era <= before:
        return []
    # What was written since the copy is written again.
    state.lapses.until = now + RETURN_SECONDS
    state.lapses.returned_at = now
    return [PlatformReturned(era=era, revision=find_revision(version))]


def _keep(
    state: DistributionState,
    kept: dict[InstanceId, InstanceRecord],
    *,
    now: float,
) -> list[Effect]:
    lapses = state.lapses
    held = hold_departed(lapses, seconds=_find_hold(state), now=now)
    changed = kept.keys() != lapses.kept.keys() or held != lapses.held
    lapses.kept = kept
    lapses.held = held
    known = {**kept, **lapses.listed, **held}
    records = {record.node_id: record for record in known.values()}
    take_records(state.members, records=records)
    if not changed:
        return []
    return [
        LapsedChanged(
            kept=tuple(kept.values()),
            held=tuple(held.values()),
        ),
    ]


def _find_hold(state: DistributionState) -> float:
    return state.tuning.lapse_seconds + RETURN_SECONDS


def _decode(document: Document) -> dict[InstanceId, InstanceRecord]:
    records = map(decode_record, document.blobs.values())
    return {record.instance: record for record in records}
