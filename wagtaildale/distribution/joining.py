"""When a new node may call itself ready."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from wagtaildale.distribution.messages import StateChanged
from wagtaildale.types import NO_VERSION, NodeState

if TYPE_CHECKING:
    from wagtaildale.distribution.messages import Effect
    from wagtaildale.distribution.state import DistributionState

PEERS_TO_HEAR: Final = 2
ALONE_SECONDS: Final = 2.0


def review_ready(state: DistributionState, *, now: float) -> list[Effect]:
    """Decide whether a joining node has become ready.

    Args:
        state: the node; moved forward in place.
        now: seconds.

    Returns:
        The change of state, if there is one.
    """
    if state.members.state is not NodeState.joining or not _is_ready(
        state, now
    ):
        return []
    state.members.state = NodeState.ready
    return [StateChanged(state=NodeState.ready)]


def _is_ready(state: DistributionState, now: float) -> bool:
    # Failure: a new node settles for a stale platform, shown by routes from
    # yesterday. It is ready only when peers have answered too, or when for
    # a while there was nobody but the platform to ask.
    stores = state.stores.values()
    if any(store.held.version == NO_VERSION for store in stores):
        return False
    if any(store.pending is not None for store in stores):
        return False
    joining = state.joining
    if len(joining.peers) >= min(PEERS_TO_HEAR, max(1, len(state.seeds))):
        return True
    asked = len(joining.source) == len(state.stores)
    alone = now - joining.started_at > ALONE_SECONDS
    return alone and (asked or bool(joining.peers))
