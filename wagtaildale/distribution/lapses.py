"""Retains instances whose list entries lapsed during a platform outage.

The platform's list has an entry for as long as its instance renews it. While
the platform cannot be written to, entries of live instances lapse. They are
listed again about two seconds after the platform is back; the first lists
before that lack them.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from wagtaildale.distribution.departures import (
    find_departed,
    note_departures,
)
from wagtaildale.distribution.messages import LapsedChanged, PlatformReturned
from wagtaildale.distribution.state import NEVER, DistributionState
from wagtaildale.document.eras import find_era, find_revision
from wagtaildale.membership.decisions import replace_records
from wagtaildale.membership.records import InstanceRecord, decode_record
from wagtaildale.types import DocumentKind, InstanceId, ListedState, Version

if TYPE_CHECKING:
    from wagtaildale.distribution.messages import Effect
    from wagtaildale.document.model import Document

# How long a live instance may take to be listed again: about two seconds
# according to the platform's operators. It stays under three seconds, after
# which the list of a platform that is back has to be in force without
# exceptions.
RELIST_SECONDS: Final = 2.2


def update_list(
    state: DistributionState,
    *,
    document: Document,
    now: float,
) -> list[Effect]:
    """Apply a later instance list, retaining instances that only lapsed.

    After an outage of some seconds, the platform's first list lacks live
    instances, and every request to their service would be refused for two
    seconds. So an instance that vanishes from the list just after an outage
    stays in use until it has to be listed again, unless it was leaving.

    Args:
        state: state of the node; updated in place.
        document: new list.
        now: current time, seconds.

    Returns:
        The changed exceptions to the list, if any.
    """
    lapses = state.lapses
    known = {**lapses.retained, **lapses.listed}
    listed = _decode_records(document)
    returned = _note_era(state, document.version, now)
    retained = _pick_lapsed(known, listed) if now < lapses.retain_until else {}
    note_departures(lapses, known, {**retained, **listed}, now=now)
    lapses.listed = listed
    lapses.era = find_era(document.version)
    return [*returned, *_apply_exceptions(state, retained, now=now)]


def note_platform_return(
    state: DistributionState,
    *,
    kind: DocumentKind,
    confirmed_at: float,
    now: float,
) -> None:
    """Detect that the platform confirms a document again after an outage.

    Only an outage since the start of this process counts: the first message
    to a node that has just started may come from a peer that was long cut off.

    Args:
        state: state of the node before the confirmation is recorded; updated
            in place.
        kind: kind of the document.
        confirmed_at: time of the confirmation, seconds on this node's clock.
        now: current time, seconds.
    """
    last = state.freshness[kind].confirmed_at
    if kind is not DocumentKind.instances or last == NEVER:
        return
    outage_seconds = confirmed_at - max(last, state.joining.started_at)
    if outage_seconds > state.tuning.lapse_seconds:
        state.lapses.retain_until = now + RELIST_SECONDS


def expire_retained(state: DistributionState, *, now: float) -> list[Effect]:
    """Release retained instances that were not listed again in time.

    Args:
        state: state of the node; updated in place.
        now: current time, seconds.

    Returns:
        The changed exceptions to the list, if any.
    """
    lapses = state.lapses
    retained = lapses.retained if now < lapses.retain_until else {}
    if lapses.retained and not retained:
        note_departures(lapses, lapses.retained, lapses.listed, now=now)
    if len(retained) == len(lapses.retained) and not lapses.departed:
        return []
    return _apply_exceptions(state, retained, now=now)


def _pick_lapsed(
    known: dict[InstanceId, InstanceRecord],
    listed: dict[InstanceId, InstanceRecord],
) -> dict[InstanceId, InstanceRecord]:
    occupied = {record.node_id for record in listed.values()}
    return {
        name: record
        for name, record in known.items()
        # An instance whose node has another instance now was replaced.
        if record.node_id not in occupied and record.state is ListedState.live
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
    # Entries that were written after the copy was made are written again.
    state.lapses.retain_until = now + RELIST_SECONDS
    state.lapses.returned_at = now
    return [PlatformReturned(era=era, revision=find_revision(version))]


def _apply_exceptions(
    state: DistributionState,
    retained: dict[InstanceId, InstanceRecord],
    *,
    now: float,
) -> list[Effect]:
    lapses = state.lapses
    departed = find_departed(
        lapses, seconds=_find_departed_seconds(state), now=now
    )
    changed = (
        retained.keys() != lapses.retained.keys() or departed != lapses.departed
    )
    lapses.retained = retained
    lapses.departed = departed
    known = {**retained, **lapses.listed, **departed}
    records = {record.node_id: record for record in known.values()}
    replace_records(state.members, records=records)
    if not changed:
        return []
    return [
        LapsedChanged(
            retained=tuple(retained.values()),
            departed=tuple(departed.values()),
        ),
    ]


def _find_departed_seconds(state: DistributionState) -> float:
    return state.tuning.lapse_seconds + RELIST_SECONDS


def _decode_records(document: Document) -> dict[InstanceId, InstanceRecord]:
    records = (decode_record(blob).unwrap() for blob in document.blobs.values())
    return {record.instance: record for record in records}
