"""When a spare reader takes the place of one that is silent or gone.

Load pattern answered: readers stop or die one after the other, as in a
release, while servers leave. Until one of its own readers reads, a data
centre hears of the list by digests from elsewhere alone, seconds late.
"""

from __future__ import annotations

from typing import Final

from wagtaildale.distribution.state import (
    NO_RANK,
    DistributionState,
    Freshness,
)
from wagtaildale.membership.news import AWAY_STATES
from wagtaildale.membership.state import find_topology

# Of the step between two ranks, where the last reader is known to be gone.
# Looks of nodes are spread, and the first to read tells all others at once.
HANDOVER_SHARE: Final = 0.5


def relieves(state: DistributionState, rank: int, *, now: float) -> bool:
    """Tell whether a node is to take over from one on a slow line.

    Args:
        state: the node.
        rank: its own.
        now: seconds.

    Returns:
        Whether its line is better and no better rank reads.
    """
    # Failure: a node on a slow line has read in place of others that were
    # away, confirms in time ever since, and nobody takes it over again.
    slowest = len(find_topology(state.members).readers)
    is_slow = any(
        slowest <= fresh.near_rank < NO_RANK
        for fresh in state.freshness.values()
    )
    if not is_slow or rank >= slowest:
        return False
    return now - _find_better(state) > _find_patience(state, rank)


def is_stale(state: DistributionState, rank: int, *, now: float) -> bool:
    """Tell whether a spare reader is to watch the platform.

    Args:
        state: the node.
        rank: its own.
        now: seconds.

    Returns:
        Whether no reader before it has confirmed the platform in time; for
        one that watches, whether none has since it does.
    """
    if state.appointed:
        # Failure: the next reader takes over from one that stops, and gives
        # way again to what that one had confirmed before.
        better_at = _find_better(state)
        is_late = now - better_at > state.tuning.stale_seconds
        return is_late or better_at <= state.appointed_at
    last = _find_last(state)
    gone_at = _find_gone(state, last)
    if gone_at is not None and not state.tuning.reads_last:
        # The ranks behind it have moved up by one; those before it come
        # after them.
        ranks = max(1, len(find_topology(state.members).readers))
        behind = (rank - last.near_rank) % ranks
        step = HANDOVER_SHARE * state.tuning.step_seconds
        return now - gone_at >= behind * step
    return now - _find_confirmed(state) > _find_patience(state, rank)


def _find_confirmed(state: DistributionState) -> float:
    confirmed = [fresh.confirmed_at for fresh in state.freshness.values()]
    if state.tuning.reads_last:
        # Failure: a data centre's fast lines are gone for a moment, and on
        # all slow ones calls wait behind a read of everything. Any word of
        # the platform shows that somebody reads, and tells others of it.
        return max(*confirmed, state.joining.started_at)
    if state.listed_at is None:
        # Failure: a whole fleet starts, its instances are not listed yet, and
        # every node takes itself for the next reader of an empty data centre.
        return max(min(confirmed), state.joining.started_at)
    return max(_find_last(state).near_at, state.listed_at)


def _find_gone(state: DistributionState, last: Freshness) -> float | None:
    """Find when this node heard that the last reader stops or is dead."""
    entry = state.members.entries.get(last.near_reader)
    if entry is None or entry.news.state not in AWAY_STATES:
        return None
    return entry.since


def _find_patience(state: DistributionState, rank: int) -> float:
    tuning = state.tuning
    first = tuning.readers - 1
    # The nodes ranked before the last reader have left it to that one: their
    # lines are slow.
    near_rank = _find_last(state).near_rank
    if near_rank < rank and not tuning.reads_last:
        first = max(first, near_rank)
    behind = rank - first - 1
    return tuning.stale_seconds + behind * tuning.step_seconds


def _find_last(state: DistributionState) -> Freshness:
    return min(state.freshness.values(), key=_read_near_at)


def _read_near_at(fresh: Freshness) -> float:
    return fresh.near_at


def _find_better(state: DistributionState) -> float:
    oldest = min(fresh.better_at for fresh in state.freshness.values())
    return max(oldest, state.joining.started_at)
