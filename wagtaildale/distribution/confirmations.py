"""Sends a reader's confirmations to the other nodes of its data centre."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from wagtaildale.distribution.appointments import (
    is_primary_reader,
    pushes_to_others,
)
from wagtaildale.distribution.liveness import (
    list_receivers,
    make_heartbeat,
    schedule_heartbeat,
)
from wagtaildale.distribution.messages import Send
from wagtaildale.distribution.readers import set_own_reader
from wagtaildale.membership.state import get_topology

if TYPE_CHECKING:
    from wagtaildale.distribution.messages import Effect
    from wagtaildale.distribution.state import DistributionState
    from wagtaildale.types import InstanceId

# A change passes down the push tree within this time, even over slow lines.
CONFIRMATION_DELAY_SECONDS: Final = 0.2


def claim_confirmations(state: DistributionState) -> None:
    """Set a stopping reader as the one that last confirmed all documents.

    Several nodes may read for a moment, and those that continue may stop one
    after the other. Without this, all others would wait for a reader that has
    already stepped down.

    Args:
        state: state of the node before it leaves; updated in place.
    """
    if not state.appointed:
        return
    for fresh in state.freshness.values():
        set_own_reader(state, fresh)


def schedule_confirmation(state: DistributionState, *, now: float) -> None:
    """Schedule the confirmation of a change for after it has spread.

    If the confirmation were sent while the change goes down the push tree,
    each node would request the version that is already on its way to it and
    push it once more, and on slow lines calls would wait behind the copies.

    Args:
        state: state of the node; updated in place.
        now: current time, seconds.
    """
    if state.confirmation_due_at is None:
        state.confirmation_due_at = now + CONFIRMATION_DELAY_SECONDS


def send_due_confirmation(
    state: DistributionState, *, now: float
) -> list[Effect]:
    """Send the scheduled confirmation if it is due.

    Args:
        state: state of the node; updated in place.
        now: current time, seconds.

    Returns:
        Messages to send, if any.
    """
    if state.confirmation_due_at is None or now < state.confirmation_due_at:
        return []
    return send_confirmation(state, now=now)


def schedule_announcement(state: DistributionState, *, now: float) -> None:
    """Schedule the announcement of a configuration to other data centres.

    A data centre without a reader of its own then pulls the version at once. It
    would otherwise wait for digests of its neighbours, one a second. Lists need
    none: readers push them to all data centres. The announcement comes when the
    version has spread from the data centre's own reader, if it has one.

    Args:
        state: state of the node; updated in place.
        now: current time, seconds.
    """
    if pushes_to_others(state) and state.tuning.passes_on:
        state.announced_groups = 0
        state.announcement_due_at = now + CONFIRMATION_DELAY_SECONDS


def send_due_announcement(
    state: DistributionState, *, now: float
) -> list[Effect]:
    """Send the digest to the next nodes of other data centres if it is due.

    Several groups of nodes are told in turn, since messages may be lost and the
    first nodes may have just ended.

    Args:
        state: state of the node; updated in place.
        now: current time, seconds.

    Returns:
        Messages to send, if any.
    """
    if state.announcement_due_at is None or now < state.announcement_due_at:
        return []
    groups = get_topology(state.members).contacts
    if state.announced_groups >= len(groups) or not state.appointed:
        state.announcement_due_at = None
        return []
    body = state.make_swap(now, is_reply=True)
    contacts = groups[state.announced_groups]
    state.announced_groups += 1
    state.announcement_due_at = now + state.tuning.resend_seconds
    return [Send(to=contact, body=body) for contact in contacts]


def send_confirmation(
    state: DistributionState,
    *,
    now: float,
) -> list[Effect]:
    """Send a confirmation by the platform to the spare readers.

    If all readers die at once, the next ranks would notice only through the
    growing age that digests carry from node to node. Since each confirmation
    is sent directly, its absence is noticed within two watches.

    Args:
        state: state of the node; updated in place.
        now: current time, seconds.

    Returns:
        Messages to send, if this node is an appointed reader.
    """
    state.confirmation_due_at = None
    if not state.appointed or not state.tuning.passes_on:
        return []
    schedule_heartbeat(state, now=now)
    receivers = list_receivers(state)
    heartbeat = make_heartbeat(state, now=now)
    body = state.make_swap(now, is_reply=True)
    return [
        Send(to=peer, body=heartbeat if peer in receivers else body)
        for peer in _list_informed(state)
    ]


def _list_informed(state: DistributionState) -> list[InstanceId]:
    readers = get_topology(state.members).readers
    # A spare reader that reads in place of nodes on slow lines informs those
    # nodes too.
    first = state.tuning.readers if is_primary_reader(state) else 0
    spares = readers[first : first + state.tuning.spare_readers]
    # Suspects are informed too. A running node may be suspected for a late
    # reply. If it received nothing, it could neither refute the suspicion,
    # which each message includes, nor learn that its server leaves.
    suspects = state.members.list_local_suspects()
    own = state.members.own.instance
    return [peer for peer in (*spares, *suspects) if peer != own]
