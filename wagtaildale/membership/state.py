"""What a node knows of the fleet."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from msgspec import Struct, field

from wagtaildale.membership.news import AWAY_STATES, News
from wagtaildale.membership.topology import Member, Topology, compute_topology
from wagtaildale.types import (
    Incarnation,
    InstanceId,
    ListedState,
    NodeState,
)

if TYPE_CHECKING:
    from wagtaildale.membership.records import InstanceRecord

RETRANSMIT_FACTOR: Final = 4


class NewsEntry(Struct, kw_only=True):
    """News as a node holds it.

    Attributes:
        news: the latest.
        since: when it came, seconds.
        retransmits_left: how often it is still passed on.
    """

    news: News
    since: float
    retransmits_left: int


class MissedReplies(Struct, kw_only=True):
    """Replies of a peer that are missing in a row.

    Attributes:
        count: how many.
        noted_at: when the last one was noted, seconds.
    """

    count: int = 0
    noted_at: float = float('-inf')


class MembershipState(Struct, kw_only=True):
    """The fleet as one node sees it.

    Attributes:
        own: the node's place.
        incarnation: of this process.
        sequence: raised to refute what is said of this node.
        state: of this node.
        records: the platform's list, by node.
        entries: news by instance.
        missed: by peer, what it did not reply to.
        cached_topology: the topology, until records or news change.
    """

    own: Member
    incarnation: Incarnation
    sequence: int = 0
    state: NodeState = NodeState.joining
    records: dict[InstanceId, InstanceRecord] = field(default_factory=dict)
    entries: dict[InstanceId, NewsEntry] = field(default_factory=dict)
    missed: dict[InstanceId, MissedReplies] = field(default_factory=dict)
    cached_topology: Topology | None = None

    def build_own_news(self) -> News:
        """Give the news of this node itself.

        Returns:
            Its incarnation, sequence and state.
        """
        return News(
            self.own.instance,
            self.incarnation,
            self.sequence,
            self.state,
        )

    def find_news(self, instance: InstanceId) -> News | None:
        """Give the latest news of an instance.

        Args:
            instance: of whom.

        Returns:
            The news, or nothing if none came yet.
        """
        entry = self.entries.get(instance)
        return entry.news if entry else None

    def list_away(self) -> frozenset[InstanceId]:
        """List who takes no new work.

        Returns:
            Those the list calls leaving, those whom news calls away, and
            this node itself once it leaves.
        """
        listed = (
            record.instance
            for record in self.records.values()
            if record.state is ListedState.leaving
        )
        reported = (
            name
            for name, entry in self.entries.items()
            if entry.news.state in AWAY_STATES
        )
        own = (self.own.instance,)
        leaving = self.state is NodeState.leaving
        return frozenset((*listed, *reported, *(own if leaving else ())))

    def leave(self) -> None:
        """Begin this node's planned stop."""
        self.state = NodeState.leaving
        self.cached_topology = None

    def list_leaving(self) -> frozenset[InstanceId]:
        """List the nodes that have begun their planned stop.

        Returns:
            Those that said so, this node itself included.
        """
        reported = self._list_in_states(NodeState.leaving)
        if self.state is NodeState.leaving:
            return reported | {self.own.instance}
        return reported

    def compute_retransmits(self) -> int:
        """Tell how often news is passed on.

        Returns:
            A few times the logarithm of the fleet's size, so that news
            reaches everyone with high probability.
        """
        return RETRANSMIT_FACTOR * max(1, len(self.records).bit_length())

    def list_suspects(self) -> list[InstanceId]:
        """List the suspected nodes of this data centre.

        Returns:
            Those that are listed and were not called dead yet.
        """
        suspects = self._list_in_states(NodeState.suspect)
        return [
            record.node_id
            for record in self.records.values()
            if record.node_id in suspects
            and record.data_centre == self.own.data_centre
        ]

    def list_members(self) -> list[Member]:
        """List who is there, this node included.

        Returns:
            The listed instances that are neither suspect nor dead.
        """
        gone = self._list_in_states(NodeState.dead, NodeState.suspect)
        members = [
            Member(record.node_id, record.data_centre)
            for record in self.records.values()
            if record.node_id not in gone
        ]
        if self.own not in members:
            members.append(self.own)
        return members

    def _list_in_states(self, *states: NodeState) -> frozenset[InstanceId]:
        return frozenset(
            name
            for name, entry in self.entries.items()
            if entry.news.state in states
        )


def find_topology(state: MembershipState) -> Topology:
    """Give a node's neighbours, computed anew after a change.

    Args:
        state: the fleet; remembers the topology.

    Returns:
        The topology over all that are not known to be away.
    """
    if state.cached_topology is None:
        state.cached_topology = compute_topology(
            state.list_members(),
            own=state.own,
            leaving=state.list_leaving(),
        )
    return state.cached_topology
