"""Tracks when the platform last confirmed each document, and by whom."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING, Final

from wagtaildale.distribution.appointments import find_rank
from wagtaildale.distribution.lapses import note_platform_return
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

# Doublings of the interval over which repeated reads are spread: 0.8 s if the
# first reads are spread over 0.1 s. This bounds how much longer callers wait
# after the platform has recovered.
MAX_DOUBLINGS: Final = 3


def note_confirmed(
    state: DistributionState,
    *,
    kind: DocumentKind,
    now: float,
) -> None:
    """Record that the platform confirmed a document to this node.

    Args:
        state: state of the node; updated in place.
        kind: kind of the document.
        now: current time, seconds.
    """
    note_platform_return(state, kind=kind, confirmed_at=now, now=now)
    fresh = state.freshness[kind]
    fresh.confirmed_at = now
    set_own_reader(state, fresh)
    fresh.local_confirmed_at = now
    fresh.local_rank = fresh.rank
    fresh.local_reader = fresh.reader
    state.joining.confirmed_kinds.add(kind)


def find_confirmed_at(holding: Holding, *, sent_at: float) -> float:
    """Find when the platform confirmed the version that a peer holds.

    Args:
        holding: version that the peer holds, and its freshness.
        sent_at: when the peer sent it, seconds on this node's clock.

    Returns:
        Seconds on this node's clock; ``NEVER`` if the peer knows of no
        confirmation.
    """
    if holding.age_ms == UNKNOWN_AGE:
        return NEVER
    return sent_at - holding.age_ms / MILLISECONDS


def set_own_reader(state: DistributionState, fresh: Freshness) -> None:
    """Set this node as the reader that last confirmed a document.

    Args:
        state: state of the node.
        fresh: last confirmations of the document; updated in place.
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
    """Record the last confirmation that a peer knows of.

    The confirmation of an older version is ignored: a stale platform goes on
    confirming it.

    Args:
        state: state of the node; updated in place.
        holding: version that the peer holds, and its freshness.
        sender: instance of the peer.
        sent_at: when the peer sent it, seconds on this node's clock.
        now: current time, seconds.
    """
    is_older = holding.version < state.stores[holding.kind].held.version
    if is_older:
        return
    fresh = state.freshness[holding.kind]
    confirmed_at = find_confirmed_at(holding, sent_at=sent_at)
    if confirmed_at > fresh.confirmed_at:
        note_platform_return(
            state,
            kind=holding.kind,
            confirmed_at=confirmed_at,
            now=now,
        )
        fresh.confirmed_at = confirmed_at
        fresh.rank = holding.rank
        fresh.reader = holding.reader
        fresh.data_centre = holding.data_centre
    if _is_local(state, holding):
        is_stopping = (
            sender == holding.reader and sender in state.members.list_leaving()
        )
        _note_local(state, holding, confirmed_at, is_stopping=is_stopping)


def _is_local(state: DistributionState, holding: Holding) -> bool:
    # Only readers of the same data centre count. Otherwise, after the local
    # reader stops or dies, the timely confirmations of other data centres
    # would prevent its replacement, and lists would arrive by digests alone,
    # seconds late. Ranks of different data centres are not comparable either.
    own = state.members.own.data_centre
    if holding.data_centre:
        return holding.data_centre == own
    record = state.members.records.get(holding.reader)
    return record is not None and record.data_centre == own


def _note_local(
    state: DistributionState,
    holding: Holding,
    confirmed_at: float,
    *,
    is_stopping: bool,
) -> None:
    fresh = state.freshness[holding.kind]
    if confirmed_at > fresh.local_confirmed_at or is_stopping:
        fresh.local_confirmed_at = max(confirmed_at, fresh.local_confirmed_at)
        fresh.local_rank = holding.rank
        fresh.local_reader = holding.reader
    if _is_better(state, holding):
        fresh.better_confirmed_at = max(fresh.better_confirmed_at, confirmed_at)


def _is_better(state: DistributionState, holding: Holding) -> bool:
    # This node's own confirmations are excluded. When a better-ranked node
    # joins, peers still report what the only reader confirmed under its
    # previous, better rank. It would step down for that, and a server would be
    # called seconds after it announced that it leaves.
    is_own = holding.reader == state.members.own.instance
    return not is_own and holding.rank < find_rank(state)


def read_while_joining(
    state: DistributionState,
    *,
    now: float,
) -> list[Effect]:
    """Read from the platform if no peer has sent a version.

    If the whole fleet starts at the same time, not every node may read at
    once. So peers are asked first, and the reads of nodes that still have no
    version are spread at random over an interval.

    Args:
        state: state of the node; updated in place.
        now: current time, seconds.

    Returns:
        Reads that are due, if any.
    """
    joining = state.joining
    if state.members.state is not NodeState.joining or state.appointed:
        return []
    # Without seeds in the settings there is no peer to ask first.
    timeout = state.tuning.read_seconds
    if state.seeds:
        timeout += state.tuning.ask_peers_seconds
    if now - joining.started_at < timeout:
        return []
    if now < joining.next_read_at:
        return []
    is_first_time = joining.next_read_at < joining.started_at
    joining.next_read_at = now + random.uniform(0, _find_spread(state))
    if is_first_time and state.seeds:
        return []
    joining.read_count += 1
    return [
        ReadSource(kind=kind)
        for kind, store in state.stores.items()
        if store.held.version == NO_VERSION
    ]


def _find_spread(state: DistributionState) -> float:
    # The interval doubles so that a fleet which starts while the platform is
    # down does not read ten times a second from every node until it recovers.
    doublings = min(state.joining.read_count, MAX_DOUBLINGS)
    return state.tuning.first_read_seconds * (1 << doublings)
