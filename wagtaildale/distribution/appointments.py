"""Selects the nodes that watch the platform, by rank instead of an election.

The best-ranked nodes of each data centre watch. If none of them has confirmed
a document for too long, the next ones appoint themselves, one rank after the
other, and step down when a better rank confirms again. If views of the fleet
differ, there are too many readers for a while, which costs reads but is never
an error.

The lines of one fleet carry 3.5 to 70 Mbit/s, and versions may come several
times a second. A read transfers the whole value, half a megabyte for 1,500
routes, and on a slow line calls wait behind it. So nodes on slow lines rank
behind all others.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from wagtaildale.distribution.liveness import is_takeover_due, send_heartbeat
from wagtaildale.distribution.messages import Watch
from wagtaildale.distribution.staleness import (
    needs_spare_reader,
    relieves_slow_reader,
)
from wagtaildale.distribution.state import DistributionState
from wagtaildale.membership.state import get_topology
from wagtaildale.types import NO_VERSION, DocumentKind, NodeState

if TYPE_CHECKING:
    from wagtaildale.distribution.messages import Effect


def review_appointment(
    state: DistributionState,
    *,
    now: float,
) -> list[Effect]:
    """Decide whether this node watches the platform.

    Args:
        state: state of the node; updated in place.
        now: current time, seconds.

    Returns:
        Watches to begin or end, one for each kind of document, and messages
        that tell the data centre of it.
    """
    rank = find_rank(state)
    _note_listed(state, now)
    wanted = _should_watch(state, rank, now)
    if wanted == state.appointed:
        return []
    state.appointed = wanted
    state.appointed_at = now
    watches = [
        Watch(kind=kind, appointed=wanted, rank=rank) for kind in DocumentKind
    ]
    return [*watches, *send_heartbeat(state, now=now)]


def take_over_if_due(state: DistributionState, *, now: float) -> list[Effect]:
    """Take over from readers of this data centre that have fallen silent.

    Args:
        state: state of the node; updated in place.
        now: current time, seconds.

    Returns:
        Watches to begin, and messages to send.
    """
    if not is_takeover_due(state, now=now):
        return []
    effects = review_appointment(state, now=now)
    if not state.appointed:
        # It may not read at all, for instance because it is stopping.
        state.live_readers.clear()
    return effects


def find_rank(state: DistributionState) -> int:
    """Find this node's rank among the possible readers.

    Args:
        state: state of the node.

    Returns:
        Its rank in its data centre, from 0; nodes on slow lines rank behind
        all others.
    """
    readers = get_topology(state.members).readers
    rank = state.find_own_rank(readers)
    return rank + len(readers) if state.tuning.reads_last else rank


def is_primary_reader(state: DistributionState) -> bool:
    """Tell whether this node watches regardless of other readers.

    Args:
        state: state of the node.

    Returns:
        Whether its rank is among the regular readers of its data centre.
    """
    return find_rank(state) < state.tuning.readers


def pushes_to_others(state: DistributionState) -> bool:
    """Tell whether this node pushes lists to other data centres.

    Args:
        state: state of the node.

    Returns:
        Whether it is a reader and, if a data centre has several, the
        best-ranked one.
    """
    return state.appointed and (
        state.tuning.readers == 1 or find_rank(state) == 0
    )


def _should_watch(state: DistributionState, rank: int, now: float) -> bool:
    tuning = state.tuning
    if state.members.state is NodeState.leaving:
        return False
    if state.stores[DocumentKind.instances].held.version == NO_VERSION:
        return False
    if is_primary_reader(state):
        return True
    spare = rank < tuning.readers + tuning.spare_readers
    if not spare:
        return False
    return (
        is_takeover_due(state, now=now)
        or needs_spare_reader(state, rank, now=now)
        or relieves_slow_reader(state, rank, now=now)
    )


def _note_listed(state: DistributionState, now: float) -> None:
    if state.members.own.instance not in state.members.records:
        state.listed_at = None
    elif state.listed_at is None:
        state.listed_at = now
