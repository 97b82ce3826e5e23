"""Simulated network of nodes that run the distribution decisions.

There are no sockets, and the test advances the time. Tests can lose,
duplicate, delay and reorder messages and partition nodes. Messages go through
the real encoder and decoder.
"""

from __future__ import annotations

import random
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
from wagtaildale.membership.topology import Member
from wagtaildale.testing.builders import build_instances, build_record
from wagtaildale.timers.messages import Tick, TimerName, WokeLate
from wagtaildale.types import (
    DataCentre,
    Digest,
    DocumentKind,
    Incarnation,
    InstanceId,
    Version,
)

ROUND_SECONDS: Final = 1.0
MS_PER_SECOND: Final = 1000
SEED: Final = 'seed'


class MessageInFlight(Struct, frozen=True, kw_only=True):
    """A message that was sent and not yet delivered.

    Attributes:
        sender: node that sent it.
        to: node that it was sent to.
        frame: the encoded message.
    """

    sender: InstanceId
    to: InstanceId
    frame: bytes


class FakeSource(Struct, kw_only=True):
    """The platform that nodes read documents from.

    Attributes:
        published: current document of each kind.
        blobs: blobs that were ever published, by content hash.
        down: whether reads fail.
        reads: number of document reads, by name of the kind, and number of
            blobs read, under ``blobs``.
    """

    published: dict[DocumentKind, Document]
    blobs: dict[Digest, bytes] = field(default_factory=dict)
    down: bool = False
    reads: Counter[str] = field(default_factory=Counter)

    def publish(self, document: Document) -> None:
        """Publish a document and its blobs.

        Args:
            document: document that reads return from now on.
        """
        self.published[document.kind] = document
        for blob in document.blobs.values():
            self.blobs[hash_part(blob)] = blob


class FakeNode(Struct, kw_only=True):
    """One simulated node.

    Attributes:
        state: state of its distribution task.
        watching: kinds of documents that it is appointed to watch.
        running: whether its process runs.
        paused: whether its process is paused.
        held_versions: versions that it has held since its start, by kind, in
            their order.
        effects: effects of its latest decision.
    """

    state: DistributionState
    watching: set[DocumentKind] = field(default_factory=set)
    running: bool = True
    paused: bool = False
    held_versions: dict[DocumentKind, list[Version]] = field(
        default_factory=dict
    )
    effects: list[messages.Effect] = field(default_factory=list)

    def set_watch(self, effect: messages.Watch) -> None:
        """Start or end the watch of one kind of document.

        Args:
            effect: the appointment.
        """
        if effect.appointed:
            self.watching.add(effect.kind)
        else:
            self.watching.discard(effect.kind)


class FakeNetwork:
    """Nodes, the messages in flight between them, the platform and the time.

    ``sent`` counts the messages of all nodes by the type of their body, and
    ``lost_share`` is the share of them that is lost at random.

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
        """Start all nodes and publish a list of them.

        Args:
            names: instance ids of the nodes.
            data_centres: data centres that the nodes are assigned to in turn.
            tuning: parameters of distribution; the defaults if left out.
        """
        self.now = float(100)
        self.in_flight: list[MessageInFlight] = []
        self.sent: Counter[type[Body]] = Counter()
        self.lost_share = float(0)
        self.partitions: set[frozenset[InstanceId]] = set()
        self.source = FakeSource(
            published={kind: make_empty(kind) for kind in DocumentKind},
        )
        self.records = [
            build_record(
                name,
                data_centre=data_centres[number % len(data_centres)],
            )
            for number, name in enumerate(names)
        ]
        self.source.publish(build_instances(*self.records))
        self._tuning = tuning or Tuning()
        self._start_count = 0
        self.nodes = {
            record.instance: self._make_node(record.instance)
            for record in self.records
        }

    def restart(self, instance: InstanceId) -> None:
        """Restart a node with an empty state.

        Args:
            instance: the node.
        """
        self.nodes[instance] = self._make_node(instance)

    def cut(self, one: InstanceId, other: InstanceId) -> None:
        """Partition two nodes: all messages between them are lost.

        Args:
            one: one of the nodes.
            other: the other node.
        """
        self.partitions.add(frozenset((one, other)))

    def heal(self) -> None:
        """End all partitions."""
        self.partitions.clear()

    def dispatch(self, instance: InstanceId, message: object) -> None:
        """Pass a message to a node's distribution task and run the effects.

        Args:
            instance: the node; the message is dropped if it is paused or not
                running.
            message: message to the distribution task.
        """
        node = self.nodes[instance]
        if not node.running or node.paused:
            return
        effects = decide(message, node.state, now=self.now)
        node.effects = effects
        for effect in effects:
            self._run_effect(instance, effect)

    def deliver(self, index: int, *, keep: bool = False) -> None:
        """Deliver one of the messages in flight.

        Args:
            index: position of the message in ``in_flight``.
            keep: whether it also stays in flight, to be delivered again.
        """
        message = self.in_flight[index]
        if not keep:
            self.in_flight.pop(index)
        if frozenset((message.sender, message.to)) in self.partitions:
            return
        envelope = decode_envelope(message.frame).unwrap()
        self.dispatch(message.to, messages.Received(envelope=envelope))

    def tick(self, instance: InstanceId) -> None:
        """Fire the timers of a node.

        Args:
            instance: the node.
        """
        for name in (TimerName.rank, TimerName.digest):
            self.dispatch(instance, Tick(name=name, now=self.now))
        self.dispatch(instance, messages.DeadlineReached())

    def resume(self, instance: InstanceId, *, late_by: float) -> None:
        """Resume a paused node.

        Args:
            instance: the node.
            late_by: length of the pause, seconds.
        """
        self.nodes[instance].paused = False
        self.dispatch(instance, WokeLate(now=self.now, late_by=late_by))

    def is_idle(self, instance: InstanceId) -> bool:
        """Tell whether a node is appointed to no watch.

        Args:
            instance: the node.

        Returns:
            Whether it watches no document of the platform.
        """
        return not self.nodes[instance].watching

    def read_source(self, instance: InstanceId) -> None:
        """Read all documents that a node watches.

        Args:
            instance: the node.
        """
        for kind in sorted(self.nodes[instance].watching, key=_get_kind_value):
            self._read_document(instance, kind)

    def settle(self, rounds: int = 60) -> None:
        """Run rounds until all nodes hold what is published.

        Args:
            rounds: maximum number of rounds, one second each.
        """
        rounds_left = rounds
        while rounds_left and not self.is_converged():
            self.run_round()
            rounds_left -= 1

    def run_round(self, *, seconds: float = ROUND_SECONDS) -> None:
        """Advance the time, fire timers, read watches, deliver messages.

        Args:
            seconds: time to advance by.
        """
        self.now += seconds
        for instance in self.nodes:
            self.tick(instance)
            self.read_source(instance)
        self.flush()

    def flush(self) -> None:
        """Deliver all messages in flight, and those sent in response."""
        while self.in_flight:
            self.deliver(0)

    def wrap(
        self,
        sender: InstanceId,
        *,
        to: InstanceId,
        body: Body,
    ) -> messages.Received:
        """Wrap a message body in an envelope, as its sender would.

        Args:
            sender: node whose membership news the envelope carries.
            to: receiving node.
            body: body of the message.

        Returns:
            Message to the distribution task of the receiver.
        """
        members = self.nodes[sender].state.members
        envelope = Envelope(
            to=to,
            news=pick_news(members, to=to),
            stamp=0,
            body=body,
            sent_ms=round(self.now * MS_PER_SECOND),
        )
        return messages.Received(envelope=envelope)

    def is_converged(self) -> bool:
        """Tell whether all running nodes hold the published documents.

        Paused nodes are left out.

        Returns:
            Whether the digests of all kinds agree.
        """
        published = self.source.published
        return all(
            store.held.digest == published[kind].digest
            for node in self.nodes.values()
            if node.running and not node.paused
            for kind, store in node.state.stores.items()
        )

    def _make_node(self, instance: InstanceId) -> FakeNode:
        self._start_count += 1
        record = next(
            each for each in self.records if each.instance == instance
        )
        members = MembershipState(
            own=Member(instance, DataCentre(record.data_centre)),
            incarnation=Incarnation(self._start_count),
        )
        state = make_state(
            members,
            tuning=self._tuning,
            seeds=(SEED,),
            now=self.now,
        )
        return FakeNode(
            state=state, held_versions={kind: [] for kind in DocumentKind}
        )

    def _run_effect(
        self, instance: InstanceId, effect: messages.Effect
    ) -> None:
        node = self.nodes[instance]
        if isinstance(effect, messages.Send):
            self._send(instance, effect.to, effect)
        elif isinstance(effect, messages.SendSeed):
            self._send(instance, self._find_seed(instance), effect)
        elif isinstance(effect, messages.Watch):
            node.set_watch(effect)
        elif isinstance(effect, messages.DocumentUpdated):
            document = effect.document
            node.held_versions[document.kind].append(document.version)
        else:
            self._run_read(instance, effect)

    def _run_read(self, instance: InstanceId, effect: messages.Effect) -> None:
        if isinstance(effect, messages.ReadSource):
            self._read_document(instance, effect.kind)
        elif isinstance(effect, messages.ReadBlobs):
            self._read_blobs(instance, effect)

    def _read_document(self, instance: InstanceId, kind: DocumentKind) -> None:
        self.source.reads[kind.name] += 1
        document = self.source.published[kind]
        if self.source.down or not document.version:
            return
        blobs: tuple[bytes, ...] = ()
        if kind is DocumentKind.instances:
            blobs = tuple(document.blobs.values())
        outline = make_outline(document)
        self.dispatch(
            instance, messages.SourceRead(outline=outline, blobs=blobs)
        )

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
        self.dispatch(instance, read)

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
        if random.random() < self.lost_share:
            return
        frame = encode_envelope(wrapped.envelope)
        self.in_flight.append(
            MessageInFlight(sender=sender, to=to, frame=frame)
        )


def _get_kind_value(kind: DocumentKind) -> str:
    return kind.value
