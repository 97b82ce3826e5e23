"""What readers know of the platform, and what others tell them of it."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING, Final

from wagtaildale.distribution.appointments import find_rank
from wagtaildale.distribution.lapses import note_return
from wagtaildale.distribution.messages import ReadSource
from wagtaildale.distribution.state import (
    MILLISECONDS,
    NEVER,
    UNKNOWN_AGE,
    DistributionState,
)
from wagtaildale.types import NO_VERSION, DocumentKind, NodeState

if TYPE_CHECKING:
    from wagtaildale.distribution.messages import Effect
    from wagtaildale.distribution.state import Freshness
    from wagtaildale.distribution.wire import Holding
    from wagtaildale.types import InstanceId

# Of the time over which reads that are repeated are spread: 0.8 s where the
# first is spread over 0.1 s. Callers wait for the platform's return no longer
# than that on top of it.
DOUBLINGS_MOST: Final = 3


def note_confirmed(
    state: DistributionState,
    *,
    kind: DocumentKind,
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
    name_self(state, fresh)
    fresh.near_at = now
    fresh.near_rank = fresh.rank
    fresh.near_reader = fresh.reader
    state.joining.source.add(kind)


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


def name_self(state: DistributionState, fresh: Freshness) -> None:
    """Name this node as the reader that confirmed a document last.

    Args:
        state: the node.
        fresh: what it knows of the document; moved forward in place.
    """
    fresh.rank = find_rank(state)
    fresh.reader = state.members.own.instance
    fresh.data_centre = state.members.own.data_centre


def note_freshness(
    state: DistributionState,
    *,
    holding: Holding,
    sender: InstanceId,
    sent_at: float,
    now: float,
) -> None:
    """Note how lately a peer knows the platform confirmed.

    An older version says nothing of freshness: a stale platform confirms
    it for ever.

    Args:
        state: the node; moved forward in place.
        holding: the peer's.
        sender: the peer.
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
        fresh.reader = holding.reader
        fresh.data_centre = holding.data_centre
    if _is_near(state, holding):
        stops = (
            sender == holding.reader and sender in state.members.list_leaving()
        )
        _note_near(state, holding, confirmed_at, stops=stops)


def _is_near(state: DistributionState, holding: Holding) -> bool:
    # Failure: a data centre's reader stops or dies, readers of others confirm
    # in time ever since, and nobody takes its place: lists come by digests
    # alone, seconds late. Ranks of two data centres do not compare either.
    own = state.members.own.data_centre
    if holding.data_centre:
        return holding.data_centre == own
    record = state.members.records.get(holding.reader)
    return record is not None and record.data_centre == own


def _note_near(
    state: DistributionState,
    holding: Holding,
    confirmed_at: float,
    *,
    stops: bool,
) -> None:
    fresh = state.freshness[holding.kind]
    if confirmed_at > fresh.near_at or stops:
        fresh.near_at = max(confirmed_at, fresh.near_at)
        fresh.near_rank = holding.rank
        fresh.near_reader = holding.reader
    if _is_better(state, holding):
        fresh.better_at = max(fresh.better_at, confirmed_at)


def _is_better(state: DistributionState, holding: Holding) -> bool:
    # Failure: a server is called seconds after it said that it leaves. A
    # better-ranked node has joined, and the only reader steps down for what
    # it confirmed itself, under the better rank that it had before.
    is_own = holding.reader == state.members.own.instance
    return not is_own and holding.rank < find_rank(state)


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
    patience = state.tuning.read_seconds
    if state.seeds:
        patience += state.tuning.ask_peers_seconds
    if now - joining.started_at < patience:
        return []
    if now < joining.next_read:
        return []
    first = joining.next_read < joining.started_at
    joining.next_read = now + random.uniform(0, _find_spread(state))
    if first and state.seeds:
        return []
    joining.reads += 1
    return [
        ReadSource(kind=kind)
        for kind, store in state.stores.items()
        if store.held.version == NO_VERSION
    ]


def _find_spread(state: DistributionState) -> float:
    # Failure: a whole fleet starts while the platform is down, and every
    # node asks it ten times a second until it is back.
    doublings = min(state.joining.reads, DOUBLINGS_MOST)
    return state.tuning.first_read_seconds * (1 << doublings)
