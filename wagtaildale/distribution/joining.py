"""Decides when a joining node becomes ready."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from wagtaildale.distribution.messages import Effect, Send, StateChanged
from wagtaildale.membership.state import get_topology
from wagtaildale.types import NO_VERSION, NodeState

if TYPE_CHECKING:
    from wagtaildale.distribution.state import DistributionState

MIN_PEER_REPLIES: Final = 2
MAX_ANNOUNCED_PEERS: Final = 8


def review_ready(state: DistributionState, *, now: float) -> list[Effect]:
    """Decide whether a joining node has become ready.

    Args:
        state: state of the node; updated in place.
        now: current time, seconds.

    Returns:
        The change of state and its announcement, if the node became ready.
    """
    if state.members.state is not NodeState.joining or not _is_ready(
        state, now
    ):
        return []
    state.members.state = NodeState.ready
    return [
        StateChanged(state=NodeState.ready),
        *announce_state(state, now=now),
    ]


def announce_state(state: DistributionState, *, now: float) -> list[Effect]:
    """Send this node's state to some other nodes immediately.

    Args:
        state: state of the node.
        now: current time, seconds.

    Returns:
        Messages to neighbours and to some nodes of the data centre, which
        spread it.
    """
    swap = state.make_swap(now)
    topology = get_topology(state.members)
    receivers = dict.fromkeys((*topology.neighbours, *topology.tree))
    receivers.pop(state.members.own.instance, None)
    return [
        Send(to=peer, body=swap)
        for peer in tuple(receivers)[:MAX_ANNOUNCED_PEERS]
    ]


def _is_ready(state: DistributionState, now: float) -> bool:
    # The platform may be stale and give outdated routes. So a node becomes
    # ready only after peers have replied too, or after a while without peers
    # that could reply.
    stores = state.stores.values()
    if any(store.held.version == NO_VERSION for store in stores):
        return False
    if any(store.pending is not None for store in stores):
        return False
    joining = state.joining
    if len(joining.replied_peers) >= min(
        MIN_PEER_REPLIES, max(1, len(state.seeds))
    ):
        return True
    is_confirmed = len(joining.confirmed_kinds) == len(state.stores)
    # A node without seeds does not wait for peers. Those that the list names
    # receive its first digest and reply if they have later versions.
    timeout = state.tuning.alone_seconds if state.seeds else 0
    is_alone = now - joining.started_at > timeout
    return is_alone and (is_confirmed or bool(joining.replied_peers))
