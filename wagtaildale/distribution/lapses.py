"""Keeps instances that the platform forgot while it was away.

The platform's list has an entry for as long as its instance writes there.
While the platform cannot be written to, entries of live instances lapse.
They are back about two seconds after the platform is; until then the first
lists that it gives lack them.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from wagtaildale.distribution.messages import LapsedChanged
from wagtaildale.distribution.state import NEVER, DistributionState
from wagtaildale.membership.decisions import take_records
from wagtaildale.membership.records import InstanceRecord, decode_record
from wagtaildale.types import InstanceId, Kind, ListedState

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
    before: Document,
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
        before: the list held until now.
        document: the later one.
        now: seconds.

    Returns:
        Whom to keep in use, if that has changed.
    """
    listed = _decode(document)
    kept: dict[InstanceId, InstanceRecord] = {}
    if now < state.lapses.until:
        known = {**state.lapses.kept, **_decode(before)}
        places = {record.node_id for record in listed.values()}
        kept = {
            name: record
            for name, record in known.items()
            # Whose place is taken was replaced, and does not come back.
            if record.node_id not in places and record.state is ListedState.live
        }
    return _keep(state, kept, listed)


def note_return(
    state: DistributionState,
    *,
    kind: Kind,
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
    if kind is not Kind.instances or last == NEVER:
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
        That nobody is kept any more, if somebody was.
    """
    if not state.lapses.kept or now < state.lapses.until:
        return []
    return _keep(state, {}, _decode(state.stores[Kind.instances].held))


def _keep(
    state: DistributionState,
    kept: dict[InstanceId, InstanceRecord],
    listed: dict[InstanceId, InstanceRecord],
) -> list[Effect]:
    changed = kept.keys() != state.lapses.kept.keys()
    state.lapses.kept = kept
    records = {
        record.node_id: record for record in (*kept.values(), *listed.values())
    }
    take_records(state.members, records=records)
    return [LapsedChanged(records=tuple(kept.values()))] if changed else []


def _decode(document: Document) -> dict[InstanceId, InstanceRecord]:
    records = map(decode_record, document.blobs.values())
    return {record.instance: record for record in records}
