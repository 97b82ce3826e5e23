"""Simulates a fleet in small time steps, with watches at the platform."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from msgspec import structs

from wagtaildale.distribution import messages
from wagtaildale.distribution.tuning import make_tuning
from wagtaildale.document.model import make_outline
from wagtaildale.membership.decisions import merge_news
from wagtaildale.membership.topology import rank_instances
from wagtaildale.testing.builders import build_configuration, build_instances
from wagtaildale.testing.network import FakeNetwork
from wagtaildale.timers.messages import Tick, TimerName
from wagtaildale.types import (
    DocumentKind,
    InstanceId,
    ListedState,
    NodeState,
    Version,
)

if TYPE_CHECKING:
    from wagtaildale.document.model import Document
    from wagtaildale.membership.records import InstanceRecord

STEP_SECONDS: Final = 0.05
DRAIN_SECONDS: Final = 2.5
FAST_MBPS: Final = 50
SLOW_MBPS: Final = 5
NEAR: Final = 'derby'
FAR: Final = 'coventry'
MAX_SPREAD_SECONDS: Final = 10.0


class WatchedFleet:
    """Nodes in two data centres, whose timers fire at different times.

    A watch returns in the next step after a change, or with a confirmation
    when its time is up. After a change, a reader waits a little before it reads
    again.

    Attributes:
        network: network of the nodes; those with even numbers are near.
        near: nodes of the near data centre, best rank as a reader first.
        read_share: duration of a first read as a share of the time of a full
            read on the node's line; 0 for instant reads.
        stuck_until: nodes whose watches return nothing, and until when,
            seconds.
    """

    def __init__(
        self,
        count: int,
        *,
        slow: tuple[str, ...] = (),
        slow_mbps: float = SLOW_MBPS,
    ) -> None:
        names = tuple(f'n{number:02}' for number in range(count))
        self.network = FakeNetwork(
            names,
            data_centres=(NEAR, FAR),
            tuning=make_tuning(apply_seconds=DRAIN_SECONDS),
        )
        self.network.source.publish(build_configuration(1))
        self.near = rank_instances(
            'reader',
            instances=map(InstanceId, names[::2]),
        )
        self.read_share = float(0)
        self.stuck_until: dict[InstanceId, float] = {}
        self._steps = 0
        self._watch_began: dict[InstanceId, float] = {}
        self._next_read_at: dict[InstanceId, float] = {}
        self._versions_read: dict[InstanceId, tuple[Version, ...]] = {}
        for name, node in self.network.nodes.items():
            mbps = slow_mbps if name in slow else FAST_MBPS
            node.state.tuning = make_tuning(
                apply_seconds=DRAIN_SECONDS,
                line_mbps=mbps,
            )

    @property
    def watchers(self) -> list[InstanceId]:
        """The nodes that watch the platform."""
        return [
            name
            for name, node in self.network.nodes.items()
            if node.watching and node.running
        ]

    def list_near_watchers(self) -> list[InstanceId]:
        """List the near nodes that watch the platform."""
        return [name for name in self.watchers if name in self.near]

    def leave(self, instance: InstanceId) -> None:
        """Begin the planned stop of a node."""
        self.network.dispatch(instance, messages.Leave())

    def publish_leaving(self, instance: InstanceId) -> Version:
        """Mark a server as leaving in the platform's list.

        Returns:
            Version of the new list.
        """
        version = Version(
            _find_shown(self.network, DocumentKind.instances).version + 1
        )
        self.network.records = [
            _mark_leaving(record) if record.instance == instance else record
            for record in self.network.records
        ]
        listing = build_instances(*self.network.records, version=version)
        self.network.source.publish(listing)
        return version

    def measure_spread(
        self,
        version: Version,
        *,
        kind: DocumentKind = DocumentKind.instances,
    ) -> float:
        """Let time pass until all near nodes hold a version.

        Returns:
            Seconds that it took, ``MAX_SPREAD_SECONDS`` at most.
        """
        started_at = self.network.now
        while self.network.now - started_at < MAX_SPREAD_SECONDS:
            if not self.list_outdated(version, kind=kind):
                break
            self.pass_time(STEP_SECONDS)
        return self.network.now - started_at

    def list_outdated(
        self,
        version: Version,
        *,
        kind: DocumentKind = DocumentKind.instances,
    ) -> list[InstanceId]:
        """List the near nodes that are ready and lack a version."""
        nodes = self.network.nodes
        return [
            name
            for name in self.near
            if nodes[name].running
            and nodes[name].state.members.state is NodeState.ready
            and nodes[name].state.stores[kind].held.version < version
        ]

    def pass_time(self, seconds: float) -> None:
        """Let time pass in small steps."""
        for _step in range(round(seconds / STEP_SECONDS)):
            self._step()

    def _step(self) -> None:
        self._steps += 1
        self.network.now += STEP_SECONDS
        for number, name in enumerate(self.network.nodes):
            self._fire_timers(number, name)
            self._watch(name)
        self.network.flush()

    def _fire_timers(self, number: int, name: InstanceId) -> None:
        tuning = self.network.nodes[name].state.tuning
        intervals = {
            TimerName.rank: tuning.look_seconds,
            TimerName.digest: tuning.swap_seconds,
        }
        for timer, seconds in intervals.items():
            steps = round(seconds / STEP_SECONDS)
            if (self._steps + number) % steps == 0:
                tick = Tick(name=timer, now=self.network.now)
                self.network.dispatch(name, tick)
        self.network.dispatch(name, messages.DeadlineReached())

    def _watch(self, name: InstanceId) -> None:
        node = self.network.nodes[name]
        now = self.network.now
        tuning = node.state.tuning
        if now < self.stuck_until.get(name, 0):
            return
        if not (node.watching and node.running):
            self._versions_read.pop(name, None)
            self._watch_began.pop(name, None)
            self._next_read_at.pop(name, None)
            return
        # The first read transfers everything over the node's line.
        first_read_at = now + self.read_share * tuning.read_seconds
        self._next_read_at.setdefault(name, first_read_at)
        began = self._watch_began.setdefault(name, now)
        shown = [
            _find_shown(self.network, kind) for kind in reversed(DocumentKind)
        ]
        versions = tuple(document.version for document in shown)
        is_ready = now >= self._next_read_at[name]
        if is_ready and self._versions_read.get(name) != versions:
            self._versions_read[name] = versions
            self._watch_began[name] = now
            self._next_read_at[name] = now + tuning.gather_seconds
            for document in shown:
                self.network.dispatch(name, _read(document))
        elif now - began >= tuning.watch_seconds:
            self._watch_began[name] = now
            for document in shown:
                self.network.dispatch(name, _confirm(document))


def publish_configuration(network: FakeNetwork) -> Version:
    """Publish the next version of the configuration.

    Returns:
        The new version.
    """
    shown = _find_shown(network, DocumentKind.configuration)
    version = Version(shown.version + 1)
    network.source.publish(build_configuration(version))
    return version


def suspect_node(network: FakeNetwork, instance: InstanceId) -> None:
    """Make all other nodes suspect an instance."""
    members = network.nodes[instance].state.members
    suspicion = structs.replace(
        members.build_own_news(), state=NodeState.suspect
    )
    for name, node in network.nodes.items():
        if name != instance:
            received = (suspicion,)
            merge_news(node.state.members, received=received, now=network.now)


def _find_shown(network: FakeNetwork, kind: DocumentKind) -> Document:
    return network.source.published[kind]


def _mark_leaving(record: InstanceRecord) -> InstanceRecord:
    return structs.replace(record, state=ListedState.leaving)


def _read(document: Document) -> messages.SourceRead:
    return messages.SourceRead(
        outline=make_outline(document),
        blobs=tuple(document.blobs.values()),
    )


def _confirm(document: Document) -> messages.SourceConfirmed:
    return messages.SourceConfirmed(
        kind=document.kind,
        version=document.version,
    )
