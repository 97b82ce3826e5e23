"""Membership of the fleet as one node knows it."""

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

# News is passed on this many times the base-2 logarithm of the number of nodes.
RETRANSMIT_FACTOR: Final = 4


class NewsEntry(Struct, kw_only=True):
    """Latest news of a node, with its transmission state.

    Attributes:
        news: the latest news.
        since: time when the news arrived, seconds.
        retransmits_left: number of times that the news is still passed on.
    """

    news: News
    since: float
    retransmits_left: int


class MissedReplies(Struct, kw_only=True):
    """Replies of a peer that are missing in a row.

    Attributes:
        count: number of missing replies.
        noted_at: time when the last one was counted, seconds.
    """

    count: int = 0
    noted_at: float = float('-inf')


class MembershipState(Struct, kw_only=True):
    """The fleet as one node sees it.

    Attributes:
        own: instance and data centre of this node.
        incarnation: incarnation of this process.
        sequence: number that is raised to refute a suspicion of this node.
        state: state of this node.
        records: records of the platform's list, by id of the node.
        news_entries: latest news, by id of the node.
        missed: missed replies, by id of the peer's node.
        cached_topology: topology for the current records and news; nothing
            after a change.
    """

    own: Member
    incarnation: Incarnation
    sequence: int = 0
    state: NodeState = NodeState.joining
    records: dict[InstanceId, InstanceRecord] = field(default_factory=dict)
    news_entries: dict[InstanceId, NewsEntry] = field(default_factory=dict)
    missed: dict[InstanceId, MissedReplies] = field(default_factory=dict)
    cached_topology: Topology | None = None

    def build_own_news(self) -> News:
        """Build the news of this node itself.

        Returns:
            Its incarnation, sequence number and state.
        """
        return News(
            self.own.instance,
            self.incarnation,
            self.sequence,
            self.state,
        )

    def find_news(self, instance: InstanceId) -> News | None:
        """Find the latest news of a node.

        Args:
            instance: id of the node.

        Returns:
            The news, or nothing if there is none yet.
        """
        entry = self.news_entries.get(instance)
        return entry.news if entry else None

    def list_away(self) -> frozenset[InstanceId]:
        """List the instances and nodes that accept no new work.

        Returns:
            Ids of instances that are leaving according to the list, ids of
            nodes that are leaving, suspected or dead according to gossip, and
            the id of this node once it leaves.
        """
        listed = (
            record.instance
            for record in self.records.values()
            if record.state is ListedState.leaving
        )
        reported = (
            name
            for name, entry in self.news_entries.items()
            if entry.news.state in AWAY_STATES
        )
        own = (self.own.instance,)
        leaving = self.state is NodeState.leaving
        return frozenset((*listed, *reported, *(own if leaving else ())))

    def leave(self) -> None:
        """Start the planned stop of this node."""
        self.state = NodeState.leaving
        self.cached_topology = None

    def list_leaving(self) -> frozenset[InstanceId]:
        """List the nodes that have announced their planned stop.

        Returns:
            Ids of the nodes, this one included once it leaves.
        """
        reported = self._list_in_states(NodeState.leaving)
        if self.state is NodeState.leaving:
            return reported | {self.own.instance}
        return reported

    def compute_retransmits(self) -> int:
        """Compute how often news is passed on.

        Returns:
            A few times the logarithm of the fleet's size, so that news
            reaches all nodes with high probability.
        """
        return RETRANSMIT_FACTOR * max(1, len(self.records).bit_length())

    def list_local_suspects(self) -> list[InstanceId]:
        """List the suspected nodes of this data centre.

        Returns:
            Ids of the suspected nodes that are listed.
        """
        suspects = self._list_in_states(NodeState.suspect)
        return [
            record.node_id
            for record in self.records.values()
            if record.node_id in suspects
            and record.data_centre == self.own.data_centre
        ]

    def list_members(self) -> list[Member]:
        """List the members that are neither suspected nor dead.

        Returns:
            These listed nodes, also leaving ones, and this node itself.
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
            for name, entry in self.news_entries.items()
            if entry.news.state in states
        )


def get_topology(state: MembershipState) -> Topology:
    """Get a node's topology, computed again only after a change.

    Args:
        state: membership of the fleet; caches the topology.

    Returns:
        The topology over all members that are neither suspected nor dead.
    """
    if state.cached_topology is None:
        state.cached_topology = compute_topology(
            state.list_members(),
            own=state.own,
            leaving=state.list_leaving(),
        )
    return state.cached_topology
