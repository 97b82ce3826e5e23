"""A fake network: the pure decisions of several nodes, no socket, no clock.

It loses, doubles, delays and reorders messages and partitions nodes, as a
test tells it to. Messages go through the real encoder and decoder.
"""

from __future__ import annotations

from collections import Counter
from typing import Final

from msgspec import Struct, field

from wagtaildale.configuration.compiled import hash_part
from wagtaildale.distribution import messages
from wagtaildale.distribution.decisions import decide
from wagtaildale.distribution.state import DistributionState, make_state
from wagtaildale.distribution.tuning import Tuning
from wagtaildale.distribution.wire import (
    Body,
    Envelope,
    decode_envelope,
    encode_envelope,
)
from wagtaildale.document.model import Document, make_empty, make_outline
from wagtaildale.membership.decisions import pick_news
from wagtaildale.membership.state import MembershipState
from wagtaildale.membership.topology import Place
from wagtaildale.testing.builders import build_instances, build_record
from wagtaildale.timers.messages import Tick, TimerName, WokeLate
from wagtaildale.types import (
    DataCentre,
    Digest,
    Incarnation,
    InstanceId,
    DocumentKind,
    Version,
)

ROUND_SECONDS: Final = 1.0
MILLISECONDS: Final = 1000
SEED: Final = 'seed'


class Flying(Struct, frozen=True, kw_only=True):
    """A message under way."""

    sender: InstanceId
    to: InstanceId
    frame: bytes


class FakeSource(Struct, kw_only=True):
    """The platform as nodes read it.

    Attributes:
        shown: what a read gives, by kind.
        blobs: what can be read by content hash.
        down: whether reads fail.
        reads: how many there were, by kind of read.
    """

    shown: dict[DocumentKind, Document]
    blobs: dict[Digest, bytes] = field(default_factory=dict)
    down: bool = False
    reads: Counter[str] = field(default_factory=Counter)

    def show(self, document: Document) -> None:
        """Publish a document.

        Args:
            document: what reads give from now on.
        """
        self.shown[document.kind] = document
        for blob in document.blobs.values():
            self.blobs[hash_part(blob)] = blob


class FakeNode(Struct, kw_only=True):
    """One node.

    Attributes:
        state: what its distribution task holds.
        watching: kinds that it is appointed to watch.
        running: whether it runs.
        paused: whether its process is stopped for now.
        seen: versions that it has held since its start, by kind.
        effects: what its decisions asked for, the latest few.
    """

    state: DistributionState
    watching: set[DocumentKind] = field(default_factory=set)
    running: bool = True
    paused: bool = False
    seen: dict[DocumentKind, list[Version]] = field(default_factory=dict)
    effects: list[messages.Effect] = field(default_factory=list)

    def appoint(self, effect: messages.Watch) -> None:
        """Begin or end a watch.

        Args:
            effect: which one.
        """
        if effect.appointed:
            self.watching.add(effect.kind)
        else:
            self.watching.discard(effect.kind)


class FakeNetwork:
    """Nodes, messages under way, the platform and the time.

    ``sent`` counts the messages of all nodes by what they say.

    Example:
        >>> network = FakeNetwork(('a', 'b'), data_centres=('derby',))
        >>> network.settle()
        >>> network.is_converged()
        True
    """

    def __init__(
        self,
        names: tuple[str, ...],
        *,
        data_centres: tuple[str, ...],
        tuning: Tuning | None = None,
    ) -> None:
        """Start every node; the platform lists them all.

        Args:
            names: of the nodes' instances.
            data_centres: the nodes stand there in turn.
            tuning: the figures of distribution.
        """
        self.now = float(100)
        self.flying: list[Flying] = []
        self.sent: Counter[type[Body]] = Counter()
        self.cuts: set[frozenset[InstanceId]] = set()
        self.source = FakeSource(
            shown={kind: make_empty(kind) for kind in DocumentKind},
        )
        self.records = [
            build_record(
                name,
                data_centre=data_centres[number % len(data_centres)],
            )
            for number, name in enumerate(names)
        ]
        self.source.show(build_instances(*self.records))
        self._tuning = tuning or Tuning()
        self._starts = 0
        self.nodes = {
            record.instance: self._make_node(record.instance)
            for record in self.records
        }

    def restart(self, instance: InstanceId) -> None:
        """Start a node anew: it has held nothing.

        Args:
            instance: whose process.
        """
        self.nodes[instance] = self._make_node(instance)

    def cut(self, one: InstanceId, other: InstanceId) -> None:
        """Lose every message between two nodes.

        Args:
            one: a node.
            other: another.
        """
        self.cuts.add(frozenset((one, other)))

    def heal(self) -> None:
        """Mend every cut."""
        self.cuts.clear()

    def tell(self, instance: InstanceId, message: object) -> None:
        """Give a node a message and carry out what it decides.

        Args:
            instance: the node; nothing happens if it does not run.
            message: to its distribution task.
        """
        node = self.nodes[instance]
        if not node.running or node.paused:
            return
        effects = decide(message, node.state, now=self.now)
        node.effects = effects
        for effect in effects:
            self._carry_out(instance, effect)

    def deliver(self, index: int, *, keep: bool = False) -> None:
        """Deliver a message under way, in any order.

        Args:
            index: which one.
            keep: leave it under way too, so that it comes twice.
        """
        flying = self.flying[index]
        if not keep:
            self.flying.pop(index)
        if frozenset((flying.sender, flying.to)) in self.cuts:
            return
        envelope = decode_envelope(flying.frame).unwrap()
        self.tell(flying.to, messages.Received(envelope=envelope))

    def tick(self, instance: InstanceId) -> None:
        """Let a node's timers strike.

        Args:
            instance: the node.
        """
        for name in (TimerName.rank, TimerName.digest):
            self.tell(instance, Tick(name=name, now=self.now))
        self.tell(instance, messages.Wake())

    def wake(self, instance: InstanceId, *, late_by: float) -> None:
        """Let a paused node go on.

        Args:
            instance: the node.
            late_by: seconds that it slept.
        """
        self.nodes[instance].paused = False
        self.tell(instance, WokeLate(now=self.now, late_by=late_by))

    def is_idle(self, instance: InstanceId) -> bool:
        """Tell whether a node leaves the platform to others.

        Args:
            instance: the node.

        Returns:
            Whether it watches nothing.
        """
        return not self.nodes[instance].watching

    def read_source(self, instance: InstanceId) -> None:
        """Let a node's watches return, if it has any.

        Args:
            instance: the node.
        """
        for kind in sorted(self.nodes[instance].watching, key=_read_kind):
            self._read(instance, kind)

    def settle(self, rounds: int = 60) -> None:
        """Let time pass with nothing lost, until all have what is shown.

        Args:
            rounds: seconds at most.
        """
        left = rounds
        while left and not self.is_converged():
            self.pass_round()
            left -= 1

    def pass_round(self, *, seconds: float = ROUND_SECONDS) -> None:
        """Let time pass: timers, watches, every message under way.

        Args:
            seconds: how much.
        """
        self.now += seconds
        for instance in self.nodes:
            self.tick(instance)
            self.read_source(instance)
        self.flush()

    def flush(self) -> None:
        """Deliver every message under way, and those that follow."""
        while self.flying:
            self.deliver(0)

    def wrap(
        self,
        sender: InstanceId,
        *,
        to: InstanceId,
        body: Body,
    ) -> messages.Received:
        """Wrap a body as a node would send it.

        Args:
            sender: whose news goes along.
            to: the receiver.
            body: what is said.

        Returns:
            What the receiver's task is told.
        """
        members = self.nodes[sender].state.members
        envelope = Envelope(
            to=to,
            news=pick_news(members, to=to),
            stamp=0,
            body=body,
            sent_ms=round(self.now * MILLISECONDS),
        )
        return messages.Received(envelope=envelope)

    def is_converged(self) -> bool:
        """Tell whether every running node holds what the platform shows.

        Returns:
            Whether versions and digests agree, and all are ready.
        """
        shown = self.source.shown
        return all(
            store.held.digest == shown[kind].digest
            for node in self.nodes.values()
            if node.running and not node.paused
            for kind, store in node.state.stores.items()
        )

    def _make_node(self, instance: InstanceId) -> FakeNode:
        self._starts += 1
        record = next(
            each for each in self.records if each.instance == instance
        )
        members = MembershipState(
            own=Place(instance, DataCentre(record.data_centre)),
            incarnation=Incarnation(self._starts),
        )
        state = make_state(
            members,
            tuning=self._tuning,
            seeds=(SEED,),
            now=self.now,
        )
        return FakeNode(state=state, seen={kind: [] for kind in DocumentKind})

    def _carry_out(self, instance: InstanceId, effect: messages.Effect) -> None:
        node = self.nodes[instance]
        if isinstance(effect, messages.Send):
            self._send(instance, effect.to, effect)
        elif isinstance(effect, messages.SendSeed):
            self._send(instance, self._find_seed(instance), effect)
        elif isinstance(effect, messages.Watch):
            node.appoint(effect)
        elif isinstance(effect, messages.Moved):
            document = effect.document
            node.seen[document.kind].append(document.version)
        else:
            self._fetch(instance, effect)

    def _fetch(self, instance: InstanceId, effect: messages.Effect) -> None:
        if isinstance(effect, messages.ReadSource):
            self._read(instance, effect.kind)
        elif isinstance(effect, messages.ReadBlobs):
            self._read_blobs(instance, effect)

    def _read(self, instance: InstanceId, kind: DocumentKind) -> None:
        self.source.reads[kind.name] += 1
        document = self.source.shown[kind]
        if self.source.down or not document.version:
            return
        blobs: tuple[bytes, ...] = ()
        if kind is DocumentKind.instances:
            blobs = tuple(document.blobs.values())
        outline = make_outline(document)
        self.tell(instance, messages.SourceRead(outline=outline, blobs=blobs))

    def _read_blobs(
        self,
        instance: InstanceId,
        effect: messages.ReadBlobs,
    ) -> None:
        self.source.reads['blobs'] += len(effect.digests)
        if self.source.down:
            return
        found = [self.source.blobs.get(digest) for digest in effect.digests]
        blobs = tuple(blob for blob in found if blob is not None)
        read = messages.SourceBlobs(kind=effect.kind, blobs=blobs)
        self.tell(instance, read)

    def _find_seed(self, instance: InstanceId) -> InstanceId:
        others = [name for name in self.nodes if name != instance]
        return others[0] if others else instance

    def _send(
        self,
        sender: InstanceId,
        to: InstanceId,
        effect: messages.Send | messages.SendSeed,
    ) -> None:
        if to not in self.nodes or to == sender:
            return
        wrapped = self.wrap(sender, to=to, body=effect.body)
        self.sent[type(effect.body)] += 1
        frame = encode_envelope(wrapped.envelope)
        self.flying.append(Flying(sender=sender, to=to, frame=frame))


def _read_kind(kind: DocumentKind) -> str:
    return kind.value
