"""State of the distribution task of a node."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from msgspec import Struct, field

from wagtaildale.distribution.checks import CHECKS
from wagtaildale.distribution.delays import Delays
from wagtaildale.distribution.wire import (
    NO_DATA_CENTRE,
    NO_INSTANCE,
    Holding,
    Swap,
)
from wagtaildale.document.eras import Era
from wagtaildale.document.state import StoreState, make_store
from wagtaildale.membership.records import InstanceRecord
from wagtaildale.membership.state import MembershipState
from wagtaildale.suspects.table import SuspectTable
from wagtaildale.types import DataCentre, DocumentKind, InstanceId, Version

if TYPE_CHECKING:
    from wagtaildale.distribution.tuning import Tuning

NEVER: Final = float('-inf')
NO_RANK: Final = 1_000_000
MILLISECONDS: Final = 1000
UNKNOWN_AGE: Final = -1


class Freshness(Struct, kw_only=True):
    """Time and reader of the last confirmations of a document.

    A reader confirms a document when the platform answers that its version is
    the latest.

    Attributes:
        confirmed_at: time of the last confirmation by any reader, seconds on
            this node's clock.
        rank: rank of the reader that confirmed it.
        reader: instance of that reader; empty if unknown.
        data_centre: data centre of that reader; empty if unknown.
        local_confirmed_at: time of the last confirmation by a reader of this
            node's data centre, seconds.
        local_rank: rank of that reader.
        local_reader: instance of that reader.
        better_confirmed_at: time of the last confirmation by a reader of this
            data centre whose rank is better than this node's, seconds.
    """

    confirmed_at: float = NEVER
    rank: int = NO_RANK
    reader: InstanceId = NO_INSTANCE
    data_centre: DataCentre = NO_DATA_CENTRE
    local_confirmed_at: float = NEVER
    local_rank: int = NO_RANK
    local_reader: InstanceId = NO_INSTANCE
    better_confirmed_at: float = NEVER


class PendingPush(Struct, kw_only=True):
    """A push that the receiver has not acknowledged yet.

    Attributes:
        version: pushed version.
        due: time of the next attempt, seconds.
        attempts: number of attempts so far.
    """

    version: Version
    due: float
    attempts: int


class Departure(Struct, frozen=True, kw_only=True):
    """Record of an instance that was listed as leaving or was removed.

    Attributes:
        born: start time of the instance, Unix milliseconds; 0 if unknown.
        era: era of the list that showed the departure.
        was_leaving: whether the instance was listed as leaving; otherwise it
            was removed from the list.
        noted_at: when the departure was last observed, seconds.
    """

    born: int
    era: Era
    was_leaving: bool
    noted_at: float


class Lapses(Struct, kw_only=True):
    """Exceptions that this node makes to the platform's instance list.

    Attributes:
        listed: records of the list as the platform gave it.
        era: era of that list; None before the first list.
        retained: records of instances that stay in use although the list
            lacks them.
        retain_until: time by which they have to be listed again, seconds.
        departures: known departures, by instance.
        returned_at: when the platform last came back from an older copy,
            seconds.
        departed: records of instances that receive no new work although they
            are listed as live.
    """

    listed: dict[InstanceId, InstanceRecord] = field(default_factory=dict)
    era: Era | None = None
    retained: dict[InstanceId, InstanceRecord] = field(default_factory=dict)
    retain_until: float = NEVER
    departures: dict[InstanceId, Departure] = field(default_factory=dict)
    returned_at: float = NEVER
    departed: dict[InstanceId, InstanceRecord] = field(default_factory=dict)


class Joining(Struct, kw_only=True):
    """Progress of a new node until it is ready.

    Attributes:
        started_at: start of the node, seconds.
        replied_peers: peers that replied to a swap.
        confirmed_kinds: kinds of documents that the platform confirmed.
        next_read_at: time of the next read from the platform, seconds.
        read_count: number of reads from the platform.
        next_check_at: time of the next check whether the node is ready,
            seconds.
        awaited_kinds: kinds of documents whose version was read from the
            platform, and whose parts are awaited from peers.
    """

    started_at: float
    replied_peers: set[InstanceId] = field(default_factory=set)
    confirmed_kinds: set[DocumentKind] = field(default_factory=set)
    next_read_at: float = NEVER
    read_count: int = 0
    next_check_at: float = NEVER
    awaited_kinds: set[DocumentKind] = field(default_factory=set)


class DistributionState(Struct, kw_only=True):
    """Documents, members of the fleet and pending operations.

    Attributes:
        members: membership of the fleet.
        tuning: parameters of distribution.
        seeds: control addresses of seed nodes, from the settings.
        joining: progress until the node is ready.
        stores: store of each kind of document.
        freshness: last confirmations of each kind of document.
        lapses: exceptions to the platform's instance list.
        delays: delays of messages from other nodes.
        pushes: unacknowledged pushes, by peer and kind.
        pending_replies: start of each swap without a reply, seconds, by peer.
        appointed: whether this node watches the platform.
        appointed_at: when ``appointed`` last changed, seconds.
        listed_at: when this node's instance was listed, seconds; None while
            it is not listed.
        confirmation_due_at: when this node, as a reader, sends its
            confirmation to its data centre, seconds; None if nothing is due.
        live_readers: when each other reader of this data centre last said that
            it is one, seconds.
        claimed_at: when a node of this data centre last began to read, seconds.
        heartbeat_due_at: when this node, as a reader, sends its next heartbeat,
            seconds; None if nothing is due.
        announced_groups: number of groups of nodes in other data centres that
            this node, as a reader, has told of its latest change.
        announcement_due_at: when it tells the next group, seconds; None if it
            has told all.
        failing: number of failed reads since the last successful one, by kind
            of document; empty if the last reads succeeded.
        suspects: requests that were running when a backend server ended.
        swap_count: number of swaps, used to take neighbours in turn.
    """

    members: MembershipState
    tuning: Tuning
    seeds: tuple[str, ...]
    joining: Joining
    stores: dict[DocumentKind, StoreState]
    freshness: dict[DocumentKind, Freshness]
    lapses: Lapses = field(default_factory=Lapses)
    delays: Delays = field(default_factory=Delays)
    pushes: dict[tuple[InstanceId, DocumentKind], PendingPush] = field(
        default_factory=dict,
    )
    pending_replies: dict[InstanceId, float] = field(default_factory=dict)
    appointed: bool = False
    appointed_at: float = NEVER
    listed_at: float | None = None
    confirmation_due_at: float | None = None
    live_readers: dict[InstanceId, float] = field(default_factory=dict)
    claimed_at: float = NEVER
    heartbeat_due_at: float | None = None
    announced_groups: int = 0
    announcement_due_at: float | None = None
    failing: dict[DocumentKind, int] = field(default_factory=dict)
    suspects: SuspectTable = field(default_factory=SuspectTable)
    swap_count: int = 0

    @property
    def peer_wait_ends_at(self) -> float:
        """When this node stops waiting for parts from peers, seconds."""
        return self.joining.started_at + self.tuning.peer_wait_seconds

    def describe_holding(self, kind: DocumentKind, now: float) -> Holding:
        """Describe the current version of a document and its freshness.

        Args:
            kind: kind of the document.
            now: current time, seconds.

        Returns:
            The description that is sent to other nodes.
        """
        held = self.stores[kind].held
        fresh = self.freshness[kind]
        age = UNKNOWN_AGE
        if fresh.confirmed_at != NEVER:
            age = max(0, round((now - fresh.confirmed_at) * MILLISECONDS))
        # Omitted to save bytes: the receiver finds the data centre of a
        # listed reader in the list.
        is_listed = fresh.reader in self.members.records
        return Holding(
            kind,
            held.version,
            held.digest,
            age,
            fresh.rank,
            fresh.reader,
            NO_DATA_CENTRE if is_listed else fresh.data_centre,
            is_whole=held.is_whole,
        )

    def make_swap(self, now: float, *, is_reply: bool = False) -> Swap:
        """Make a digest of all documents and of the suspected requests.

        Args:
            now: current time, seconds.
            is_reply: whether the digest replies to a swap.

        Returns:
            The digest.
        """
        return Swap(
            tuple(self.describe_holding(kind, now) for kind in self.stores),
            is_reply=is_reply,
            suspects=self.suspects.compute_checksum(),
        )

    def find_own_rank(self, readers: tuple[InstanceId, ...]) -> int:
        """Find this node's rank among the readers of its data centre.

        Args:
            readers: instances of the data centre, best rank first.

        Returns:
            The rank, from 0; ``NO_RANK`` if this node is not among them.
        """
        own = self.members.own.instance
        return readers.index(own) if own in readers else NO_RANK


def make_state(
    members: MembershipState,
    *,
    tuning: Tuning,
    seeds: tuple[str, ...],
    now: float,
) -> DistributionState:
    """Make the state of a new node.

    Args:
        members: membership that has only this node.
        tuning: parameters of distribution.
        seeds: control addresses of seed nodes, from the settings.
        now: current time, seconds.

    Returns:
        A state without any document version.
    """
    return DistributionState(
        members=members,
        tuning=tuning,
        seeds=seeds,
        joining=Joining(started_at=now),
        stores=_make_stores(),
        freshness={kind: Freshness() for kind in DocumentKind},
    )


def _make_stores() -> dict[DocumentKind, StoreState]:
    return {kind: make_store(kind, check=CHECKS[kind]) for kind in DocumentKind}
