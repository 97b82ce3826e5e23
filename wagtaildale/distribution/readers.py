"""Who watches the platform: by rank, without an election.

The best-ranked nodes of each data centre watch. The next ones appoint
themselves when nobody has confirmed the platform for long, one rank after
the other, and step down when a better rank confirms again. Two views that
differ give too many readers for a while, which is waste and never an error.
"""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

from wagtaildale.distribution.lapses import note_return
from wagtaildale.distribution.messages import ReadSource, Send, Watch
from wagtaildale.distribution.state import (
    MILLISECONDS,
    NEVER,
    UNKNOWN_AGE,
    DistributionState,
)
from wagtaildale.distribution.wire import Swap
from wagtaildale.membership.state import find_topology
from wagtaildale.types import NO_VERSION, Kind, NodeState

if TYPE_CHECKING:
    from wagtaildale.distribution.messages import Effect
    from wagtaildale.distribution.wire import Holding


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
    rank = state.find_own_rank(find_topology(state.members).readers)
    wanted = _is_wanted(state, rank, now)
    if wanted == state.appointed:
        return []
    state.appointed = wanted
    return [Watch(kind=kind, appointed=wanted, rank=rank) for kind in Kind]


def note_confirmed(
    state: DistributionState,
    *,
    kind: Kind,
    now: float,
) -> None:
    """Note that the platform answered this node.

    Args:
        state: the node; moved forward in place.
        kind: which document.
        now: seconds.
    """
    note_return(state, kind=kind, confirmed_at=now, now=now)
    fresh = state.freshness[kind]
    fresh.confirmed_at = now
    fresh.rank = state.find_own_rank(find_topology(state.members).readers)
    state.joining.source.add(kind)


def share_confirmation(
    state: DistributionState,
    *,
    now: float,
) -> list[Effect]:
    """Tell the spare readers that the platform was confirmed.

    Failure guarded here: all readers die at once, and the next ranks learn
    so only when digests have carried a growing age from node to node. With
    word from each confirmation itself, its absence is noticed within two
    watches.

    Args:
        state: the node.
        now: seconds.

    Returns:
        Messages, if this node is an appointed reader.
    """
    if not state.appointed or not state.tuning.passes_on:
        return []
    first = state.tuning.readers
    readers = find_topology(state.members).readers
    spares = readers[first : first + state.tuning.spare_readers]
    own = state.members.own.instance
    body = Swap(state.describe_all(now), is_reply=True)
    return [Send(to=spare, body=body) for spare in spares if spare != own]


def find_confirmed_at(holding: Holding, *, sent_at: float) -> float:
    """Find when the platform confirmed what a peer holds.

    Args:
        holding: the peer's.
        sent_at: when the peer said so, seconds on this node's clock.

    Returns:
        Seconds on this node's clock; ``NEVER`` if the peer knows of none.
    """
    if holding.age_ms == UNKNOWN_AGE:
        return NEVER
    return sent_at - holding.age_ms / MILLISECONDS


def note_freshness(
    state: DistributionState,
    *,
    holding: Holding,
    sent_at: float,
    now: float,
) -> None:
    """Note how lately a peer knows the platform confirmed.

    An older version says nothing of freshness: a stale platform confirms
    it for ever.

    Args:
        state: the node; moved forward in place.
        holding: the peer's.
        sent_at: when the peer said so, seconds on this node's clock.
        now: seconds.
    """
    behind = holding.version < state.stores[holding.kind].held.version
    if behind:
        return
    fresh = state.freshness[holding.kind]
    confirmed_at = find_confirmed_at(holding, sent_at=sent_at)
    if confirmed_at > fresh.confirmed_at:
        note_return(
            state,
            kind=holding.kind,
            confirmed_at=confirmed_at,
            now=now,
        )
        fresh.confirmed_at = confirmed_at
        fresh.rank = holding.rank
    own = state.find_own_rank(find_topology(state.members).readers)
    if holding.rank < own:
        fresh.better_at = max(fresh.better_at, confirmed_at)


def read_while_joining(
    state: DistributionState,
    *,
    now: float,
) -> list[Effect]:
    """Ask the platform when no peer has brought a version.

    Failure guarded here: the whole fleet starts at once and every node
    reads. Peers are asked first, and the reads of nodes that know nothing
    are spread at random over some seconds.

    Args:
        state: the node; moved forward in place.
        now: seconds.

    Returns:
        Reads, if they are due.
    """
    joining = state.joining
    if state.members.state is not NodeState.joining or state.appointed:
        return []
    # With no seeds in the settings there is nobody to ask first.
    patience = state.tuning.ask_peers_seconds if state.seeds else 0
    if now - joining.started_at < patience:
        return []
    if now < joining.next_read:
        return []
    first = joining.next_read < joining.started_at
    spread = state.tuning.first_read_seconds
    joining.next_read = now + random.uniform(0, spread)
    if first and state.seeds:
        return []
    return [
        ReadSource(kind=kind)
        for kind, store in state.stores.items()
        if store.held.version == NO_VERSION
    ]


def _is_wanted(state: DistributionState, rank: int, now: float) -> bool:
    tuning = state.tuning
    if state.members.state is NodeState.leaving:
        return False
    if state.stores[Kind.instances].held.version == NO_VERSION:
        return False
    if rank < tuning.readers:
        return True
    spare = rank < tuning.readers + tuning.spare_readers
    return spare and _is_stale(state, rank, now)


def _is_stale(state: DistributionState, rank: int, now: float) -> bool:
    patience = state.tuning.stale_seconds
    if state.appointed:
        return now - _find_better(state) > patience
    patience += (rank - state.tuning.readers) * state.tuning.step_seconds
    return now - _find_confirmed(state) > patience


def _find_confirmed(state: DistributionState) -> float:
    oldest = min(fresh.confirmed_at for fresh in state.freshness.values())
    return max(oldest, state.joining.started_at)


def _find_better(state: DistributionState) -> float:
    oldest = min(fresh.better_at for fresh in state.freshness.values())
    return max(oldest, state.joining.started_at)
