"""Who watches the platform: by rank, without an election.

The best-ranked nodes of each data centre watch. The next ones appoint
themselves when none of them has confirmed the platform for long, one rank
after the other, and step down when a better rank confirms again. Two views that
differ give too many readers for a while, which is waste and never an error.

Load pattern answered: lines of 3.5 to 70 Mbit/s in one fleet and versions
several times a second. A read brings the whole value, half a megabyte for
1,500 routes, and on a slow line the calls wait behind it. So nodes on slow
lines rank behind all others.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from wagtaildale.distribution.messages import Watch
from wagtaildale.distribution.staleness import is_stale, relieves
from wagtaildale.distribution.state import DistributionState
from wagtaildale.membership.state import find_topology
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
        state: the node; moved forward in place.
        now: seconds.

    Returns:
        Watches to begin or end.
    """
    rank = find_rank(state)
    _note_listed(state, now)
    wanted = _is_wanted(state, rank, now)
    if wanted == state.appointed:
        return []
    state.appointed = wanted
    state.appointed_at = now
    return [
        Watch(kind=kind, appointed=wanted, rank=rank) for kind in DocumentKind
    ]


def find_rank(state: DistributionState) -> int:
    """Find this node's rank among those that may watch the platform.

    Args:
        state: the node.

    Returns:
        Its rank in its data centre from 0; those on slow lines come behind
        all others.
    """
    readers = find_topology(state.members).readers
    rank = state.find_own_rank(readers)
    return rank + len(readers) if state.tuning.reads_last else rank


def is_first(state: DistributionState) -> bool:
    """Tell whether this node is to watch whatever others do.

    Args:
        state: the node.

    Returns:
        Whether it is among the first readers of its data centre.
    """
    return find_rank(state) < state.tuning.readers


def tells_others(state: DistributionState) -> bool:
    """Tell whether this node passes lists on to other data centres.

    Args:
        state: the node.

    Returns:
        Whether it is a reader; where several read in a data centre, the
        first of them.
    """
    return state.appointed and (
        state.tuning.readers == 1 or find_rank(state) == 0
    )


def _is_wanted(state: DistributionState, rank: int, now: float) -> bool:
    tuning = state.tuning
    if state.members.state is NodeState.leaving:
        return False
    if state.stores[DocumentKind.instances].held.version == NO_VERSION:
        return False
    if is_first(state):
        return True
    spare = rank < tuning.readers + tuning.spare_readers
    if not spare:
        return False
    return is_stale(state, rank, now=now) or relieves(state, rank, now=now)


def _note_listed(state: DistributionState, now: float) -> None:
    if state.members.own.instance not in state.members.records:
        state.listed_at = None
    elif state.listed_at is None:
        state.listed_at = now
