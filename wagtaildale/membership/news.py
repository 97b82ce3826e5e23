"""What nodes tell each other of nodes, faster than the platform's list.

News of an instance is ordered by incarnation, then by a sequence that only
that instance itself raises, then by how grave the state is. Merging takes
the greatest, so news may come late, twice or crossed.
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
AWAY_STATES: Final = frozenset(
    (NodeState.suspect, NodeState.dead, NodeState.leaving),
)


class News(Struct, frozen=True, array_like=True):
    """What is said of one node.

    Attributes:
        instance: the node's instance.
        incarnation: rises with each start of the process.
        sequence: raised by the node itself to refute a suspicion.
        state: what is said.
    """

    instance: InstanceId
    incarnation: Incarnation
    sequence: int
    state: NodeState

    @property
    def order(self) -> tuple[int, int, int]:
        """The key by which later news is greater."""
        return (self.incarnation, self.sequence, STATE_PRECEDENCE[self.state])


def is_newer(news: News, *, than: News | None) -> bool:
    """Tell whether news replaces what is known.

    Args:
        news: that has come.
        than: what is known, if anything.

    Returns:
        Whether to take it.
    """
    return than is None or news.order > than.order
