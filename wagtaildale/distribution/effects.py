"""Executes effects: sends messages, updates the routing view, logs events."""

from __future__ import annotations

from functools import singledispatch
from types import MappingProxyType
from typing import Final, Protocol

from wagtaildale.distribution import messages
from wagtaildale.distribution.checks import CHECKS
from wagtaildale.distribution.dependencies import Counts, TaskDependencies
from wagtaildale.distribution.listed_departures import list_departures
from wagtaildale.distribution.state import (
    MILLISECONDS,
    NEVER,
    DistributionState,
)
from wagtaildale.distribution.wire import Body
from wagtaildale.document.model import is_superseded
from wagtaildale.errors.codes import Code
from wagtaildale.invariants import Invariant
from wagtaildale.membership.news import AWAY_STATES
from wagtaildale.suspects.records import TRIAL_ENDS
from wagtaildale.telemetry.events import EventKind, Inputs
from wagtaildale.timers.service import read_clock
from wagtaildale.types import DocumentKind, InstanceId, NodeState

PLATFORM_ORIGIN: Final = 'platform'
OWN_ORIGIN: Final = 'own'
PEER_EVENTS: Final = MappingProxyType(
    {
        NodeState.suspect: EventKind.peer_suspected,
        NodeState.dead: EventKind.peer_dead,
        NodeState.leaving: EventKind.peer_leaving,
    },
)


class Sender(Protocol):
    """The task that executes effects."""

    state: DistributionState
    dependencies: TaskDependencies
    counts: Counts

    def send(self, instance: InstanceId, body: Body) -> None:
        """Send a message to an instance.

        Args:
            instance: receiving instance.
            body: body of the message.
        """

    def send_seed(self, address: str, body: Body) -> None:
        """Send a message to an address whose instance is unknown.

        Args:
            address: address of a seed, from the settings.
            body: body of the message.
        """


@singledispatch
def execute(effect: object, sender: Sender) -> None:
    """Execute one effect of a decision.

    Args:
        effect: effect to execute.
        sender: task that provides sockets and dependencies.

    Raises:
        TypeError: for an effect of an unknown type.
    """
    raise TypeError(f'got {effect!r}, expected an effect')


@execute.register
def _send(effect: messages.Send, sender: Sender) -> None:
    sender.send(effect.to, effect.body)


@execute.register
def _send_seed(effect: messages.SendSeed, sender: Sender) -> None:
    sender.send_seed(effect.address, effect.body)


@execute.register
def _watch(effect: messages.Watch, sender: Sender) -> None:
    sender.dependencies.watches[effect.kind].put(effect)
    kind = EventKind.reader_stepped_down
    if effect.appointed:
        kind = EventKind.reader_appointed
    sender.dependencies.recorder.record(
        kind,
        subject=effect.kind.name,
        detail=f'rank {effect.rank}',
        inputs=_describe_confirmed(effect.kind, sender.state),
    )


@execute.register
def _read_source(effect: messages.ReadSource, sender: Sender) -> None:
    sender.dependencies.fetches.put(effect)


@execute.register
def _read_blobs(effect: messages.ReadBlobs, sender: Sender) -> None:
    sender.dependencies.fetches.put(effect)


@execute.register
def _update_document(effect: messages.DocumentUpdated, sender: Sender) -> None:
    document = effect.document
    dependencies = sender.dependencies
    if not _check_invariants(effect, dependencies):
        return
    if document.kind is DocumentKind.configuration:
        dependencies.view.replace_configuration(document)
        kind = EventKind.version_applied
    else:
        dependencies.view.replace_instances(document)
        dependencies.view.replace_away(sender.state.members.list_away())
        kind = EventKind.instances_applied
    dependencies.recorder.record(
        kind,
        version=document.version,
        subject=document.digest.hex(),
        inputs=_describe_origin(effect, sender.state),
    )
    if document.kind is DocumentKind.instances:
        _record_departures(effect, sender)


def _record_departures(
    effect: messages.DocumentUpdated, sender: Sender
) -> None:
    origin = _describe_origin(effect, sender.state)
    for departure in list_departures(effect.before, effect.document):
        sender.dependencies.recorder.record(
            EventKind.instance_leaving,
            version=effect.document.version,
            subject=departure.instance,
            inputs={'word': departure.word.value, **origin},
        )


def _describe_origin(
    effect: messages.DocumentUpdated,
    state: DistributionState,
) -> Inputs:
    """Describe the origin and the age of a version for the log.

    This distinguishes a list that was read late from the platform from one
    that was delayed between nodes.
    """
    return {
        'origin': effect.origin or PLATFORM_ORIGIN,
        **_describe_confirmed(effect.document.kind, state),
    }


def _describe_confirmed(kind: DocumentKind, state: DistributionState) -> Inputs:
    fresh = state.freshness[kind]
    if fresh.confirmed_at == NEVER:
        return {}
    age = read_clock() - fresh.confirmed_at
    return {
        'reader': fresh.reader,
        'confirmed_ms_ago': round(age * MILLISECONDS),
    }


@execute.register
def _change_lapsed(effect: messages.LapsedChanged, sender: Sender) -> None:
    dependencies = sender.dependencies
    dependencies.view.replace_overrides(
        effect.retained, departed=effect.departed
    )
    dependencies.view.replace_away(sender.state.members.list_away())
    dependencies.recorder.record(
        EventKind.lapsed_changed,
        version=dependencies.view.current.instances_version,
        detail=' '.join(record.instance for record in effect.retained),
        inputs={
            'held': ' '.join(record.instance for record in effect.departed)
        },
    )


@execute.register
def _record_platform_return(
    effect: messages.PlatformReturned, sender: Sender
) -> None:
    sender.dependencies.recorder.record(
        EventKind.platform_returned,
        version=effect.revision,
        inputs={'era': effect.era},
    )


def _check_invariants(
    effect: messages.DocumentUpdated, dependencies: TaskDependencies
) -> bool:
    document = effect.document
    transition = f'{effect.before.version} to {document.version}'
    rises = dependencies.invariants.check(
        Invariant.version_rises,
        holds=is_superseded(
            effect.before,
            version=document.version,
            digest=document.digest,
            is_whole=document.is_whole,
        ),
        detail=transition,
    )
    whole = dependencies.invariants.check(
        Invariant.version_whole,
        holds=document.entries.keys() == document.blobs.keys(),
        detail=transition,
    )
    resources = dependencies.invariants.check(
        Invariant.route_has_resource,
        holds=CHECKS[document.kind](document).is_ok(),
        detail=transition,
    )
    return rises and whole and resources


@execute.register
def _change_fleet(
    effect: messages.FleetChanged,
    sender: Sender,
) -> None:
    sender.dependencies.view.replace_away(sender.state.members.list_away())
    for change in effect.changes:
        kind = PEER_EVENTS.get(change.news.state)
        if kind is None and change.before in AWAY_STATES:
            kind = EventKind.peer_refuted
        if kind is not None:
            sender.dependencies.recorder.record(
                kind, subject=change.news.instance
            )


@execute.register
def _change_state(
    effect: messages.StateChanged,
    sender: Sender,
) -> None:
    sender.dependencies.states.append(effect.state)
    kind = EventKind.node_leaving
    if effect.state is NodeState.ready:
        kind = EventKind.node_ready
    away = sender.state.members.list_away()
    sender.dependencies.view.replace_away(away)
    held = sender.state.stores[DocumentKind.configuration].held
    sender.dependencies.recorder.record(kind, version=held.version)


@execute.register
def _record_refusal(effect: messages.VersionRefused, sender: Sender) -> None:
    rejected = effect.rejected
    kind = EventKind.version_ignored
    if rejected.should_report:
        kind = EventKind.version_refused
    sender.dependencies.recorder.record(
        kind,
        code=rejected.fault.code,
        version=rejected.version,
        subject=rejected.kind.name,
        detail=str(rejected.fault),
    )


@execute.register
def _change_source(effect: messages.SourceChanged, sender: Sender) -> None:
    kind = EventKind.source_failed
    inputs: Inputs = {}
    if effect.code is Code.ok:
        kind = EventKind.source_recovered
        inputs = {'failed_reads': effect.failed_reads}
    sender.dependencies.recorder.record(
        kind,
        code=effect.code,
        subject=effect.kind.name,
        detail=effect.detail,
        inputs=inputs,
    )


@execute.register
def _change_suspects(effect: messages.SuspectsChanged, sender: Sender) -> None:
    sender.dependencies.suspects.publish(effect.suspects)
    for suspicion in effect.learned:
        kind = EventKind.request_suspected
        if suspicion.ends == 0:
            kind = EventKind.request_cleared
        elif suspicion.ends < TRIAL_ENDS:
            continue
        sender.dependencies.recorder.record(
            kind,
            subject=suspicion.fingerprint.hex(),
            inputs={
                'ends': suspicion.ends,
                'origin': effect.origin or OWN_ORIGIN,
            },
        )


@execute.register
def _record_unseen_push(effect: messages.PeerBehind, sender: Sender) -> None:
    sender.dependencies.recorder.record(
        EventKind.push_unseen,
        version=effect.version,
        subject=effect.peer,
    )


@execute.register
def _record_entry_refusal(
    effect: messages.EntryRefused, sender: Sender
) -> None:
    sender.counts.refused_entries += 1
    sender.dependencies.recorder.record(
        EventKind.entry_refused,
        code=effect.code,
        subject=effect.kind.name,
        detail=effect.detail,
    )


@execute.register
def _record_contradiction(
    effect: messages.SourceContradicted, sender: Sender
) -> None:
    sender.counts.contradictions += 1
    sender.dependencies.recorder.record(
        EventKind.source_contradicted,
        code=Code.source_contradicted,
        version=effect.version,
        subject=DocumentKind.instances.name,
        detail=effect.detail,
    )
