"""Decides when a spare reader replaces one that is silent or gone.

During a release, readers stop or die one after the other while servers leave.
Until one of its own nodes reads, a data centre receives lists only by digests
from other data centres, seconds late.
"""

from __future__ import annotations

from typing import Final

from wagtaildale.distribution.state import (
    NO_RANK,
    DistributionState,
    Freshness,
)
from wagtaildale.membership.news import AWAY_STATES
from wagtaildale.membership.state import get_topology

# Delay for each rank as a share of the usual step, if the last reader is known
# to be gone. It can be shorter since the reviews of nodes are spread in time
# and the first new reader informs all others immediately.
HANDOVER_STEP_SHARE: Final = 0.5


def relieves_slow_reader(
    state: DistributionState, rank: int, *, now: float
) -> bool:
    """Tell whether a node takes over from a reader on a slow line.

    Args:
        state: state of the node.
        rank: rank of this node.
        now: current time, seconds.

    Returns:
        Whether this node's line is faster and no better-ranked node reads.
    """
    # A node on a slow line may have become the reader while the others were
    # away. It confirms in time, so that no staleness would ever end its turn.
    slowest = len(get_topology(state.members).readers)
    is_slow = any(
        slowest <= fresh.local_rank < NO_RANK
        for fresh in state.freshness.values()
    )
    if not is_slow or rank >= slowest:
        return False
    return now - _find_better_confirmed_at(state) > _find_timeout(state, rank)


def needs_spare_reader(
    state: DistributionState, rank: int, *, now: float
) -> bool:
    """Tell whether this node watches the platform as a spare reader.

    Args:
        state: state of the node.
        rank: rank of this node.
        now: current time, seconds.

    Returns:
        Whether no better-ranked reader has confirmed a document in time; for
        a node that already watches, also if none has done so since it began.
    """
    if state.appointed:
        # Confirmations from before the takeover do not count. Otherwise a
        # node that replaces a stopping reader would step down again for what
        # that reader confirmed before.
        better_confirmed_at = _find_better_confirmed_at(state)
        is_late = now - better_confirmed_at > state.tuning.stale_seconds
        return is_late or better_confirmed_at <= state.appointed_at
    last = _find_last_confirmed(state)
    gone_at = _find_reader_gone_at(state, last)
    if gone_at is not None and not state.tuning.reads_last:
        return now - gone_at >= _find_handover_delay(state, rank, last)
    is_stale = now - _find_confirmed_at(state) > _find_timeout(state, rank)
    return is_stale and not _is_full_read_under_way(state, now)


def _find_handover_delay(
    state: DistributionState, rank: int, last: Freshness
) -> float:
    # Nodes ranked behind the last reader have moved up by one rank. Those
    # ranked before it come after them.
    ranks = max(1, len(get_topology(state.members).readers))
    behind = (rank - last.local_rank) % ranks
    return behind * HANDOVER_STEP_SHARE * state.tuning.step_seconds


def _is_full_read_under_way(state: DistributionState, now: float) -> bool:
    # A new reader on a slow line confirms only after a full read. If all nodes
    # on slow lines read meanwhile, calls on all these lines would wait.
    tuning = state.tuning
    return tuning.reads_last and now < state.claimed_at + tuning.read_seconds


def _find_confirmed_at(state: DistributionState) -> float:
    confirmed = [fresh.confirmed_at for fresh in state.freshness.values()]
    if state.tuning.reads_last:
        # For a node on a slow line, a confirmation by any reader counts: it
        # shows that some node reads and passes versions on. Otherwise, when
        # the nodes on fast lines are briefly gone, all nodes on slow lines
        # would read, and calls there would wait behind a full read.
        return max(*confirmed, state.joining.started_at)
    if state.listed_at is None:
        # While the instance of this node is not listed, a confirmation by any
        # reader counts. Otherwise, when a whole fleet starts, every node would
        # become the reader of a data centre that seems to have no other nodes.
        return max(min(confirmed), state.joining.started_at)
    return max(_find_last_confirmed(state).local_confirmed_at, state.listed_at)


def _find_reader_gone_at(
    state: DistributionState, last: Freshness
) -> float | None:
    """Find when this node learned that the last reader stops or is dead."""
    entry = state.members.news_entries.get(last.local_reader)
    if entry is None or entry.news.state not in AWAY_STATES:
        return None
    return entry.since


def _find_timeout(state: DistributionState, rank: int) -> float:
    tuning = state.tuning
    if tuning.reads_last:
        # Nodes on fast lines begin first. Steps for all ranks of a data centre
        # would add up to more than the time in which a version must be in use.
        ranks = max(1, len(get_topology(state.members).readers))
        turns = rank / ranks
        return tuning.stale_seconds + turns * tuning.takeover_spread_seconds
    first = tuning.readers - 1
    # Nodes ranked before the last reader did not read since their lines are
    # slow, so the delay counts from the rank of the last reader.
    local_rank = _find_last_confirmed(state).local_rank
    if local_rank < rank:
        first = max(first, local_rank)
    behind = rank - first - 1
    return tuning.stale_seconds + behind * tuning.step_seconds


def _find_last_confirmed(state: DistributionState) -> Freshness:
    return min(state.freshness.values(), key=_read_local_confirmed_at)


def _read_local_confirmed_at(fresh: Freshness) -> float:
    return fresh.local_confirmed_at


def _find_better_confirmed_at(state: DistributionState) -> float:
    oldest = min(
        fresh.better_confirmed_at for fresh in state.freshness.values()
    )
    return max(oldest, state.joining.started_at)
