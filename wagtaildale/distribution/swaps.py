"""Swaps of digests between neighbours: anti-entropy and heartbeat in one."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING, Final

from wagtaildale.distribution.messages import FleetChanged, Send, SendSeed
from wagtaildale.membership.decisions import note_missed_reply
from wagtaildale.membership.state import find_topology
from wagtaildale.types import InstanceId, NodeState

if TYPE_CHECKING:
    from wagtaildale.distribution.messages import Effect
    from wagtaildale.distribution.state import DistributionState
    from wagtaildale.membership.decisions import NewsTaken

REPLY_SECONDS: Final = 0.9
RETRY_AWAY_EVERY: Final = 8
PEERS_TO_ASK: Final = 2


def swap_digests(state: DistributionState, *, now: float) -> list[Effect]:
    """Send this node's digest to the neighbour whose turn it is.

    Args:
        state: the node; notes who owes a reply.
        now: seconds.

    Returns:
        What to send, and whom the missing replies made suspect.
    """
    late = _list_late(state, now)
    taken: list[NewsTaken] = []
    for silent in late:
        state.awaiting.pop(silent)
        taken.extend(note_missed_reply(state.members, peer=silent, now=now))
    body = state.make_swap(now)
    sends: list[Effect] = [
        Send(to=peer, body=body) for peer in _pick_peers(state, late)
    ]
    for sent in sends:
        if isinstance(sent, Send):
            state.awaiting[sent.to] = now
    return [*tell_fleet(taken), *sends, *ask_seeds(state, now=now)]


def _list_late(state: DistributionState, now: float) -> list[InstanceId]:
    return [
        peer
        for peer, since in state.awaiting.items()
        if now - since > REPLY_SECONDS
    ]


def _pick_peers(
    state: DistributionState,
    late: list[InstanceId],
) -> list[InstanceId]:
    neighbours = find_topology(state.members).neighbours
    peers = [peer for peer in late if peer in neighbours]
    state.turn += 1
    if state.turn % RETRY_AWAY_EVERY == 0:
        # Failure: after a partition each side holds the other for dead and
        # asks nobody there, so nothing would ever heal it.
        peers.extend(_pick_away(state))
    # Failure: a node asks nobody but a neighbour that has just ended, and
    # neither hears of lists nor of what is said of itself until it gives up.
    others = [peer for peer in neighbours if peer not in peers]
    if others:
        peers.append(others[state.turn % len(others)])
    return peers


def _pick_away(state: DistributionState) -> list[InstanceId]:
    away = [
        name
        for name in state.members.list_away()
        if name in state.members.records and name != state.members.own.instance
    ]
    return [random.choice(away)] if away else []


def ask_seeds(state: DistributionState, *, now: float) -> list[Effect]:
    """Ask the seeds what they hold, while this node knows nobody better.

    Args:
        state: the node.
        now: seconds.

    Returns:
        Digests to some seeds.
    """
    alone = not find_topology(state.members).neighbours
    if not alone and state.members.state is not NodeState.joining:
        return []
    count = min(PEERS_TO_ASK, len(state.seeds))
    body = state.make_swap(now)
    return [
        SendSeed(address=address, body=body)
        for address in random.sample(state.seeds, count)
    ]


def tell_fleet(taken: list[NewsTaken]) -> list[Effect]:
    """Say that news changed the view of the fleet.

    Args:
        taken: the news, perhaps none.

    Returns:
        One effect, or none.
    """
    return [FleetChanged(taken=tuple(taken))] if taken else []
