"""Carries out what was decided: send, swap the view, record."""

from __future__ import annotations

from functools import singledispatch
from types import MappingProxyType
from typing import Final, Protocol

from wagtaildale.distribution import messages
from wagtaildale.distribution.around import Surroundings
from wagtaildale.distribution.checks import CHECKS
from wagtaildale.distribution.state import (
    MILLISECONDS,
    NEVER,
    DistributionState,
)
from wagtaildale.distribution.wire import Body
from wagtaildale.errors.codes import Code
from wagtaildale.invariants import Invariant
from wagtaildale.telemetry.events import EventKind, Inputs
from wagtaildale.membership.news import AWAY
from wagtaildale.suspects.records import TRIAL_ENDS
from wagtaildale.timers.service import read_clock
from wagtaildale.types import InstanceId, Kind, NodeState

PLATFORM: Final = 'platform'
OWN: Final = 'own'
PEER_EVENTS: Final = MappingProxyType(
    {
        NodeState.suspect: EventKind.peer_suspected,
        NodeState.dead: EventKind.peer_dead,
        NodeState.leaving: EventKind.peer_leaving,
    },
)


class Sender(Protocol):
    """The task whose effects are carried out."""

    state: DistributionState
    around: Surroundings

    def send(self, instance: InstanceId, body: Body) -> None:
        """Send a message to an instance.

        Args:
            instance: the receiver.
            body: what to say.
        """

    def send_seed(self, address: str, body: Body) -> None:
        """Send a message to whoever listens at an address.

        Args:
            address: from the settings.
            body: what to say.
        """


@singledispatch
def carry_out(effect: object, sender: Sender) -> None:
    """Carry out one effect of a decision.

    Args:
        effect: what was decided.
        sender: whose sockets and surroundings are used.

    Raises:
        TypeError: for an effect that this task does not know.
    """
    raise TypeError(f'got {effect!r}, expected an effect')


@carry_out.register
def _send(effect: messages.Send, sender: Sender) -> None:
    sender.send(effect.to, effect.body)


@carry_out.register
def _send_seed(effect: messages.SendSeed, sender: Sender) -> None:
    sender.send_seed(effect.address, effect.body)


@carry_out.register
def _watch(effect: messages.Watch, sender: Sender) -> None:
    sender.around.watches[effect.kind].put(effect)
    kind = EventKind.reader_stepped_down
    if effect.appointed:
        kind = EventKind.reader_appointed
    sender.around.recorder.record(
        kind,
        subject=effect.kind.name,
        detail=f'rank {effect.rank}',
    )


@carry_out.register
def _read_source(effect: messages.ReadSource, sender: Sender) -> None:
    sender.around.fetches.put(effect)


@carry_out.register
def _read_blobs(effect: messages.ReadBlobs, sender: Sender) -> None:
    sender.around.fetches.put(effect)


@carry_out.register
def _move(effect: messages.Moved, sender: Sender) -> None:
    document = effect.document
    around = sender.around
    if not _may_move(effect, around):
        return
    if document.kind is Kind.configuration:
        around.view.take_configuration(document)
        kind = EventKind.version_applied
    else:
        around.view.take_instances(document)
        around.view.take_away(sender.state.members.list_away())
        kind = EventKind.instances_applied
    around.recorder.record(
        kind,
        version=document.version,
        subject=document.digest.hex(),
        inputs=_describe_way(effect, sender.state),
    )


def _describe_way(
    effect: messages.Moved,
    state: DistributionState,
) -> Inputs:
    """Describe by whom and how late a version came here.

    A list that comes late is told apart in the log from one that was read
    late at the platform, and from one that stayed on its way.
    """
    fresh = state.freshness[effect.document.kind]
    inputs: Inputs = {'origin': effect.origin or PLATFORM}
    if fresh.confirmed_at != NEVER:
        age = read_clock() - fresh.confirmed_at
        inputs['reader'] = fresh.reader
        inputs['confirmed_ms_ago'] = round(age * MILLISECONDS)
    return inputs


@carry_out.register
def _change_lapsed(effect: messages.LapsedChanged, sender: Sender) -> None:
    around = sender.around
    around.view.take_lapsed(effect.kept, held=effect.held)
    around.view.take_away(sender.state.members.list_away())
    around.recorder.record(
        EventKind.lapsed_changed,
        version=around.view.current.list_index,
        detail=' '.join(record.instance for record in effect.kept),
        inputs={'held': ' '.join(record.instance for record in effect.held)},
    )


@carry_out.register
def _note_return(effect: messages.PlatformReturned, sender: Sender) -> None:
    sender.around.recorder.record(
        EventKind.platform_returned,
        version=effect.revision,
        inputs={'era': effect.era},
    )


def _may_move(effect: messages.Moved, around: Surroundings) -> bool:
    document = effect.document
    moves = f'{effect.before.version} to {document.version}'
    rises = around.invariants.hold(
        Invariant.version_rises,
        holds=document.version > effect.before.version,
        detail=moves,
    )
    whole = around.invariants.hold(
        Invariant.version_whole,
        holds=document.entries.keys() == document.blobs.keys(),
        detail=moves,
    )
    resources = around.invariants.hold(
        Invariant.route_has_resource,
        holds=CHECKS[document.kind](document).is_ok(),
        detail=moves,
    )
    return rises and whole and resources


@carry_out.register
def _change_fleet(
    effect: messages.FleetChanged,
    sender: Sender,
) -> None:
    sender.around.view.take_away(sender.state.members.list_away())
    for taken in effect.taken:
        kind = PEER_EVENTS.get(taken.news.state)
        if kind is None and taken.before in AWAY:
            kind = EventKind.peer_refuted
        if kind is not None:
            sender.around.recorder.record(kind, subject=taken.news.instance)


@carry_out.register
def _change_state(
    effect: messages.StateChanged,
    sender: Sender,
) -> None:
    sender.around.states.append(effect.state)
    kind = EventKind.node_leaving
    if effect.state is NodeState.ready:
        kind = EventKind.node_ready
    away = sender.state.members.list_away()
    sender.around.view.take_away(away)
    held = sender.state.stores[Kind.configuration].held
    sender.around.recorder.record(kind, version=held.version)


@carry_out.register
def _refuse(effect: messages.Refused, sender: Sender) -> None:
    rejected = effect.rejected
    kind = EventKind.version_ignored
    if rejected.fresh:
        kind = EventKind.version_refused
    sender.around.recorder.record(
        kind,
        code=rejected.fault.code,
        version=rejected.version,
        subject=rejected.kind.name,
        detail=str(rejected.fault),
    )


@carry_out.register
def _change_source(effect: messages.SourceChanged, sender: Sender) -> None:
    kind = EventKind.source_failed
    if effect.code is Code.ok:
        kind = EventKind.source_recovered
    sender.around.recorder.record(
        kind,
        code=effect.code,
        subject=effect.kind.name,
        detail=effect.detail,
    )


@carry_out.register
def _change_suspects(effect: messages.SuspectsChanged, sender: Sender) -> None:
    sender.around.suspects.publish(effect.suspects)
    for suspicion in effect.learned:
        kind = EventKind.request_suspected
        if suspicion.ends == 0:
            kind = EventKind.request_cleared
        elif suspicion.ends < TRIAL_ENDS:
            continue
        sender.around.recorder.record(
            kind,
            subject=suspicion.fingerprint.hex(),
            inputs={'ends': suspicion.ends, 'origin': effect.origin or OWN},
        )


@carry_out.register
def _note_behind(effect: messages.PeerBehind, sender: Sender) -> None:
    sender.around.recorder.record(
        EventKind.push_unseen,
        version=effect.version,
        subject=effect.peer,
    )


@carry_out.register
def _refuse_entry(effect: messages.EntryRefused, sender: Sender) -> None:
    sender.around.recorder.record(
        EventKind.entry_refused,
        code=effect.code,
        subject=effect.kind.name,
        detail=effect.detail,
    )
