"""Gossip about the states of nodes, which is faster than the platform's list.

News of a node is ordered by incarnation, then by a sequence number that only
the node itself raises, then by the precedence of the state. Merging keeps the
greatest, so news may arrive late, repeatedly or out of order.
"""

from __future__ import annotations

from types import MappingProxyType
from typing import Final

from msgspec import Struct

from wagtaildale.types import Incarnation, InstanceId, NodeState

STATE_PRECEDENCE: Final = MappingProxyType(
    {
        NodeState.joining: 0,
        NodeState.ready: 1,
        NodeState.suspect: 2,
        NodeState.dead: 3,
        NodeState.leaving: 4,
    },
)
# Nodes in these states get no new work.
AWAY_STATES: Final = frozenset(
    (NodeState.suspect, NodeState.dead, NodeState.leaving),
)


class News(Struct, frozen=True, array_like=True):
    """Reported state of one node.

    Attributes:
        instance: id of the node (``InstanceRecord.node_id``).
        incarnation: number that rises with each start of the node's process.
        sequence: number that the node raises to refute a suspicion.
        state: reported state.
    """

    instance: InstanceId
    incarnation: Incarnation
    sequence: int
    state: NodeState

    @property
    def order(self) -> tuple[int, int, int]:
        """Sort key; later news is greater."""
        return (self.incarnation, self.sequence, STATE_PRECEDENCE[self.state])


def is_newer(news: News, *, than: News | None) -> bool:
    """Tell whether news replaces the known news of the same node.

    Args:
        news: received news.
        than: known news, if any.

    Returns:
        Whether the received news is later.
    """
    return than is None or news.order > than.order
