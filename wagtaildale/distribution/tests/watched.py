"""A fleet in small steps of time, with watches that the platform holds."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from msgspec import structs

from wagtaildale.distribution import messages
from wagtaildale.distribution.tuning import make_tuning
from wagtaildale.document.model import make_outline
from wagtaildale.membership.decisions import merge_news
from wagtaildale.membership.topology import rank_instances
from wagtaildale.testing.builders import build_configuration, build_instances
from wagtaildale.testing.network import FakeNetwork, FakeNode
from wagtaildale.timers.messages import Tick, TimerName
from wagtaildale.types import (
    InstanceId,
    DocumentKind,
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
LONGEST_SECONDS: Final = 10.0


class WatchedFleet:
    """Nodes in two data centres; each strikes its timers at its own moments.

    A watch returns with the next step after a change, or after its time with
    a confirmation; a reader that was told of a change waits a little before
    it asks again.

    Attributes:
        network: the nodes; the even ones are near.
        near: the nodes of the near data centre, best rank for reading first.
        read_share: of the time that a first read takes on a slow line; 0
            for reads that take none.
        deaf: nodes whose watches hear nothing, until when.
    """

    def __init__(self, count: int, *, slow: tuple[str, ...] = ()) -> None:
        names = tuple(f'n{number:02}' for number in range(count))
        self.network = FakeNetwork(
            names,
            data_centres=(NEAR, FAR),
            tuning=make_tuning(apply_seconds=DRAIN_SECONDS),
        )
        self.network.source.show(build_configuration(1))
        self.near = rank_instances(
            'reader',
            instances=map(InstanceId, names[::2]),
        )
        self.read_share = float(0)
        self.deaf: dict[InstanceId, float] = {}
        self._steps = 0
        self._asked: dict[InstanceId, float] = {}
        self._gathers_until: dict[InstanceId, float] = {}
        self._known: dict[InstanceId, tuple[Version, ...]] = {}
        for name, node in self.network.nodes.items():
            mbps = SLOW_MBPS if name in slow else FAST_MBPS
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
        """Let a node begin its planned stop."""
        self.network.tell(instance, messages.Leave())

    def list_leaving(self, instance: InstanceId) -> Version:
        """Let the platform take a server's word that it leaves.

        Returns:
            The version of the list that tells so.
        """
        version = Version(
            _find_shown(self.network, DocumentKind.instances).version + 1
        )
        self.network.records = [
            _mark_leaving(record) if record.instance == instance else record
            for record in self.network.records
        ]
        listing = build_instances(*self.network.records, version=version)
        self.network.source.show(listing)
        return version

    def measure_spread(self, version: Version) -> float:
        """Let time pass until the near nodes hold a list; give the seconds."""
        begun = self.network.now
        while self.network.now - begun < LONGEST_SECONDS:
            if not self.list_behind(version):
                break
            self.pass_time(STEP_SECONDS)
        return self.network.now - begun

    def list_behind(self, version: Version) -> list[InstanceId]:
        """List the near nodes that take work and lack a list."""
        nodes = self.network.nodes
        return [
            name
            for name in self.near
            if nodes[name].running
            and nodes[name].state.members.state is NodeState.ready
            and _read_index(nodes[name]) < version
        ]

    def pass_time(self, seconds: float) -> None:
        """Let time pass in small steps."""
        for _step in range(round(seconds / STEP_SECONDS)):
            self._step()

    def _step(self) -> None:
        self._steps += 1
        self.network.now += STEP_SECONDS
        for number, name in enumerate(self.network.nodes):
            self._strike(number, name)
            self._watch(name)
        self.network.flush()

    def _strike(self, number: int, name: InstanceId) -> None:
        tuning = self.network.nodes[name].state.tuning
        struck = {
            TimerName.rank: tuning.look_seconds,
            TimerName.digest: tuning.swap_seconds,
        }
        for timer, seconds in struck.items():
            every = round(seconds / STEP_SECONDS)
            if (self._steps + number) % every == 0:
                tick = Tick(name=timer, now=self.network.now)
                self.network.tell(name, tick)
        self.network.tell(name, messages.Wake())

    def _watch(self, name: InstanceId) -> None:
        node = self.network.nodes[name]
        now = self.network.now
        tuning = node.state.tuning
        if now < self.deaf.get(name, 0):
            return
        if not (node.watching and node.running):
            self._known.pop(name, None)
            self._asked.pop(name, None)
            self._gathers_until.pop(name, None)
            return
        # The first read brings everything, over the node's line.
        first = now + self.read_share * tuning.read_seconds
        self._gathers_until.setdefault(name, first)
        asked = self._asked.setdefault(name, now)
        shown = [
            _find_shown(self.network, kind) for kind in reversed(DocumentKind)
        ]
        versions = tuple(document.version for document in shown)
        is_ready = now >= self._gathers_until[name]
        if is_ready and self._known.get(name) != versions:
            self._known[name] = versions
            self._asked[name] = now
            self._gathers_until[name] = now + tuning.gather_seconds
            for document in shown:
                self.network.tell(name, _read(document))
        elif now - asked >= tuning.watch_seconds:
            self._asked[name] = now
            for document in shown:
                self.network.tell(name, _confirm(document))


def suspect_node(network: FakeNetwork, instance: InstanceId) -> None:
    """Let all other nodes suspect one."""
    members = network.nodes[instance].state.members
    suspicion = structs.replace(members.tell_own(), state=NodeState.suspect)
    for name, node in network.nodes.items():
        if name != instance:
            heard = (suspicion,)
            merge_news(node.state.members, heard=heard, now=network.now)


def _find_shown(network: FakeNetwork, kind: DocumentKind) -> Document:
    return network.source.shown[kind]


def _read_index(node: FakeNode) -> Version:
    return node.state.stores[DocumentKind.instances].held.version


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
