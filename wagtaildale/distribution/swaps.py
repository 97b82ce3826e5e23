"""Swaps digests with neighbours, as both anti-entropy and heartbeat."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING, Final

from wagtaildale.distribution.messages import FleetChanged, Send, SendSeed
from wagtaildale.membership.decisions import note_missed_reply
from wagtaildale.membership.state import get_topology
from wagtaildale.types import InstanceId, NodeState

if TYPE_CHECKING:
    from wagtaildale.distribution.messages import Effect
    from wagtaildale.distribution.state import DistributionState
    from wagtaildale.membership.decisions import AcceptedNews

REPLY_TIMEOUT_SECONDS: Final = 0.9
AWAY_RETRY_SWAPS: Final = 8
MAX_SEEDS_ASKED: Final = 2


def swap_digests(state: DistributionState, *, now: float) -> list[Effect]:
    """Send this node's digest to the next neighbour in turn.

    Args:
        state: state of the node; records the pending replies.
        now: current time, seconds.

    Returns:
        Messages to send, and the peers that are suspected for missing replies.
    """
    unanswered = _list_unanswered(state, now)
    changes: list[AcceptedNews] = []
    for silent in unanswered:
        state.pending_replies.pop(silent)
        changes.extend(note_missed_reply(state.members, peer=silent, now=now))
    body = state.make_swap(now)
    sends: list[Effect] = [
        Send(to=peer, body=body) for peer in _pick_peers(state, unanswered)
    ]
    for sent in sends:
        if isinstance(sent, Send):
            state.pending_replies[sent.to] = now
    return [*make_fleet_change(changes), *sends, *ask_seeds(state, now=now)]


def _list_unanswered(state: DistributionState, now: float) -> list[InstanceId]:
    return [
        peer
        for peer, since in state.pending_replies.items()
        if now - since > REPLY_TIMEOUT_SECONDS
    ]


def _pick_peers(
    state: DistributionState,
    unanswered: list[InstanceId],
) -> list[InstanceId]:
    neighbours = get_topology(state.members).neighbours
    peers = [peer for peer in unanswered if peer in neighbours]
    state.swap_count += 1
    if state.swap_count % AWAY_RETRY_SWAPS == 0:
        # After a partition each side considers the other dead and sends it
        # nothing, so without these attempts the sides would never reconnect.
        peers.extend(_pick_away(state))
    # Another neighbour is always included. A node that retries only one that
    # has just ended would receive no lists and could not refute suspicions of
    # itself until it gives that neighbour up.
    others = [peer for peer in neighbours if peer not in peers]
    if others:
        peers.append(others[state.swap_count % len(others)])
    return peers


def _pick_away(state: DistributionState) -> list[InstanceId]:
    away = [
        name
        for name in state.members.list_away()
        if name in state.members.records and name != state.members.own.instance
    ]
    return [random.choice(away)] if away else []


def ask_seeds(state: DistributionState, *, now: float) -> list[Effect]:
    """Swap digests with seeds while this node is joining or has no neighbours.

    Args:
        state: state of the node.
        now: current time, seconds.

    Returns:
        Digests to send to some of the seeds.
    """
    is_alone = not get_topology(state.members).neighbours
    if not is_alone and state.members.state is not NodeState.joining:
        return []
    count = min(MAX_SEEDS_ASKED, len(state.seeds))
    body = state.make_swap(now)
    return [
        SendSeed(address=address, body=body)
        for address in random.sample(state.seeds, count)
    ]


def make_fleet_change(changes: list[AcceptedNews]) -> list[Effect]:
    """Make the effect of membership news that changed the view of the fleet.

    Args:
        changes: accepted news; may be empty.

    Returns:
        One effect, or none if there is no news.
    """
    return [FleetChanged(changes=tuple(changes))] if changes else []
