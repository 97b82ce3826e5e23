"""What the distribution task of a node holds."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from msgspec import Struct, field

from wagtaildale.distribution.checks import CHECKS
from wagtaildale.distribution.delays import Delays
from wagtaildale.distribution.wire import NOBODY, NOWHERE, Holding, Swap
from wagtaildale.document.eras import Era
from wagtaildale.document.state import StoreState, make_store
from wagtaildale.membership.records import InstanceRecord
from wagtaildale.membership.state import MembershipState
from wagtaildale.suspects.table import SuspectTable
from wagtaildale.types import DataCentre, InstanceId, Kind, Version

if TYPE_CHECKING:
    from wagtaildale.distribution.tuning import Tuning

NEVER: Final = float('-inf')
NO_RANK: Final = 1_000_000
MILLISECONDS: Final = 1000
UNKNOWN_AGE: Final = -1


class Freshness(Struct, kw_only=True):
    """How lately somebody confirmed a document at the platform.

    Attributes:
        confirmed_at: seconds on this node's clock.
        rank: of the reader that confirmed it.
        reader: which one that was; empty if not told.
        data_centre: where that one stands; empty if not told.
        near_at: when a reader of this node's data centre last did.
        near_rank: of that reader.
        near_reader: which one that was.
        better_at: when one of this data centre with a better rank than this
            node's did.
    """

    confirmed_at: float = NEVER
    rank: int = NO_RANK
    reader: InstanceId = NOBODY
    data_centre: DataCentre = NOWHERE
    near_at: float = NEVER
    near_rank: int = NO_RANK
    near_reader: InstanceId = NOBODY
    better_at: float = NEVER


class PushOut(Struct, kw_only=True):
    """A push that was not seen yet.

    Attributes:
        version: that was pushed.
        due: when it is sent again, seconds.
        tries: how often it was sent.
    """

    version: Version
    due: float
    tries: int


class Departure(Struct, frozen=True, kw_only=True):
    """That an instance was listed as leaving, or was taken off the list.

    Attributes:
        born: of the instance.
        era: of the list that said so.
        said: whether it was listed as leaving.
        noted_at: when that was last so, seconds.
    """

    born: int
    era: Era
    said: bool
    noted_at: float


class Lapses(Struct, kw_only=True):
    """Where this node knows better than the platform's list.

    Attributes:
        listed: the instances of the list as it was given.
        era: of that list; nothing before the first.
        kept: those that stay in use though the list lacks them.
        until: when they are due back, seconds.
        departures: who has left, by instance.
        returned_at: when the platform was last seen to have come back from
            an older copy, seconds.
        held: those that take no new work though the list says so.
    """

    listed: dict[InstanceId, InstanceRecord] = field(default_factory=dict)
    era: Era | None = None
    kept: dict[InstanceId, InstanceRecord] = field(default_factory=dict)
    until: float = NEVER
    departures: dict[InstanceId, Departure] = field(default_factory=dict)
    returned_at: float = NEVER
    held: dict[InstanceId, InstanceRecord] = field(default_factory=dict)


class Joining(Struct, kw_only=True):
    """What a new node has asked before it calls itself ready.

    Attributes:
        started_at: seconds.
        peers: who answered.
        source: documents that the platform answered for.
        next_read: when the platform is asked (again), seconds.
        reads: how often the platform was asked.
        next_look: when to ask and to look again, seconds.
    """

    started_at: float
    peers: set[InstanceId] = field(default_factory=set)
    source: set[Kind] = field(default_factory=set)
    next_read: float = NEVER
    reads: int = 0
    next_look: float = NEVER


class DistributionState(Struct, kw_only=True):
    """Documents, fleet and what is under way.

    Attributes:
        members: the fleet.
        tuning: the figures.
        seeds: control addresses from the settings.
        joining: what was asked since the start.
        stores: by kind, the document.
        freshness: by kind, how lately confirmed.
        lapses: instances that stay in use though the list lacks them.
        delays: of messages from other nodes.
        pushes: not seen yet, by peer and kind.
        awaiting: swaps without a reply yet, by peer, since when.
        appointed: whether this node watches the platform.
        appointed_at: since when it does or does not, seconds.
        listed_at: since when the instance beside it is listed, seconds;
            nothing while it is not.
        share_due: when this node, as a reader, tells its data centre what it
            has read, seconds; nothing if it has told all.
        failing: documents of which the last read failed.
        suspects: requests under which servers have ended.
        turn: counts swaps, to take neighbours in turn.
    """

    members: MembershipState
    tuning: Tuning
    seeds: tuple[str, ...]
    joining: Joining
    stores: dict[Kind, StoreState]
    freshness: dict[Kind, Freshness]
    lapses: Lapses = field(default_factory=Lapses)
    delays: Delays = field(default_factory=Delays)
    pushes: dict[tuple[InstanceId, Kind], PushOut] = field(
        default_factory=dict,
    )
    awaiting: dict[InstanceId, float] = field(default_factory=dict)
    appointed: bool = False
    appointed_at: float = NEVER
    listed_at: float | None = None
    share_due: float | None = None
    failing: set[Kind] = field(default_factory=set)
    suspects: SuspectTable = field(default_factory=SuspectTable)
    turn: int = 0

    def describe_holding(self, kind: Kind, now: float) -> Holding:
        """Describe the held version of a document and its freshness.

        Args:
            kind: which document.
            now: seconds.

        Returns:
            What goes to other nodes.
        """
        held = self.stores[kind].held
        fresh = self.freshness[kind]
        age = UNKNOWN_AGE
        if fresh.confirmed_at != NEVER:
            age = max(0, round((now - fresh.confirmed_at) * MILLISECONDS))
        # The list tells where a listed reader stands; bytes are saved.
        is_listed = fresh.reader in self.members.records
        return Holding(
            kind,
            held.version,
            held.digest,
            age,
            fresh.rank,
            fresh.reader,
            NOWHERE if is_listed else fresh.data_centre,
        )

    def make_swap(self, now: float, *, is_reply: bool = False) -> Swap:
        """Describe every document, and sum up the suspected requests.

        Args:
            now: seconds.
            is_reply: whether it answers a swap.

        Returns:
            A digest of this node's view.
        """
        return Swap(
            tuple(self.describe_holding(kind, now) for kind in self.stores),
            is_reply=is_reply,
            suspects=self.suspects.compute_checksum(),
        )

    def find_own_rank(self, readers: tuple[InstanceId, ...]) -> int:
        """Find this node's rank among the readers of its data centre.

        Args:
            readers: best rank first.

        Returns:
            Its rank from 0.
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
        members: the fleet, empty but for this node.
        tuning: the figures.
        seeds: control addresses from the settings.
        now: seconds.

    Returns:
        A state that holds no version.
    """
    return DistributionState(
        members=members,
        tuning=tuning,
        seeds=seeds,
        joining=Joining(started_at=now),
        stores=_make_stores(),
        freshness={kind: Freshness() for kind in Kind},
    )


def _make_stores() -> dict[Kind, StoreState]:
    return {kind: make_store(kind, check=CHECKS[kind]) for kind in Kind}
