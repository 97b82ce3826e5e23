"""Decides on every message to the distribution task.

Deterministic but for random picks of peers: no clock and no socket is
touched here. ``task`` carries the effects out.
"""

from __future__ import annotations

from functools import singledispatch

from wagtaildale.distribution import messages
from wagtaildale.distribution.appointments import (
    review_appointment,
    tells_others,
)
from wagtaildale.distribution.bodies import Context, decide_body
from wagtaildale.distribution.documents import take_offer
from wagtaildale.distribution.joining import announce, review_ready
from wagtaildale.distribution.lapses import end_lapses
from wagtaildale.distribution.pushes import push_across, resend_pushes
from wagtaildale.distribution.readers import note_confirmed, read_while_joining
from wagtaildale.distribution.shares import (
    hand_over,
    plan_share,
    share_confirmation,
    share_if_due,
)
from wagtaildale.distribution.state import MILLISECONDS, DistributionState
from wagtaildale.distribution.swaps import ask_seeds, swap_digests, tell_fleet
from wagtaildale.distribution.suspicions import (
    clear_request,
    forget_suspects,
    note_ends,
    note_refused,
)
from wagtaildale.distribution.wire import Envelope
from wagtaildale.errors.codes import Code
from wagtaildale.document.messages import BlobsOffered, OutlineOffered
from wagtaildale.membership.decisions import (
    expire_suspects,
    merge_news,
    note_heard,
)
from wagtaildale.suspects.messages import (
    EndsNoted,
    RequestAnswered,
    RequestRefused,
)
from wagtaildale.timers.messages import Tick, TimerName, WokeLate
from wagtaildale.types import DocumentKind, NodeState


@singledispatch
def decide(
    message: object,
    state: DistributionState,
    *,
    now: float,
) -> list[messages.Effect]:
    """Decide on one message.

    Args:
        message: what has come.
        state: the node; moved forward in place.
        now: seconds.

    Returns:
        What to do.

    Raises:
        TypeError: for a message that this task does not know.
    """
    raise TypeError(f'got {message!r}, expected a message of this task')


@decide.register
def _decide_received(
    message: messages.Received,
    state: DistributionState,
    *,
    now: float,
) -> list[messages.Effect]:
    envelope = message.envelope
    note_heard(state.members, peer=envelope.sender)
    taken = merge_news(state.members, heard=envelope.news, now=now)
    context = Context(
        state=state,
        sender=envelope.sender,
        now=now,
        delay=_measure_delay(state, envelope, now),
    )
    effects = decide_body(envelope.body, context)
    # Failure: a data centre waits for the word of a reader that has said
    # that it stops, and hears of no list until that is long overdue.
    reviewed = review_appointment(state, now=now) if taken else []
    return [
        *tell_fleet(taken),
        *effects,
        *reviewed,
        *review_ready(state, now=now),
    ]


@decide.register
def _decide_tick(
    message: Tick,
    state: DistributionState,
    *,
    now: float,
) -> list[messages.Effect]:
    if message.name is TimerName.digest:
        return swap_digests(state, now=now)
    taken = expire_suspects(state.members, now=now)
    return [
        *tell_fleet(taken),
        *end_lapses(state, now=now),
        *forget_suspects(state, now=now),
        *review_appointment(state, now=now),
        *review_ready(state, now=now),
    ]


@decide.register
def _decide_woke(
    message: WokeLate,
    state: DistributionState,
    *,
    now: float,
) -> list[messages.Effect]:
    # Failure: a paused process wakes and acts on what it knew before. What
    # it was about to send is dropped and nobody is blamed for replies that
    # this node slept through; the next swap brings its view up to date.
    state.pushes.clear()
    state.awaiting.clear()
    return swap_digests(state, now=now)


@decide.register
def _decide_wake(
    message: messages.Wake,
    state: DistributionState,
    *,
    now: float,
) -> list[messages.Effect]:
    return [
        *resend_pushes(state, now=now),
        *share_if_due(state, now=now),
        *_look_while_joining(state, now=now),
    ]


@decide.register
def _decide_source_read(
    message: messages.SourceRead,
    state: DistributionState,
    *,
    now: float,
) -> list[messages.Effect]:
    outline = message.outline
    kind = outline.kind
    recovered = _note_answer(state, kind)
    if outline.version >= state.stores[kind].held.version:
        note_confirmed(state, kind=kind, now=now)
    effects = take_offer(
        state,
        kind=kind,
        offer=OutlineOffered(outline=outline),
        now=now,
    )
    if message.blobs:
        offer = BlobsOffered(kind=kind, blobs=message.blobs)
        effects = [
            *(each for each in effects if not _is_read(each)),
            *take_offer(state, kind=kind, offer=offer, now=now),
        ]
    shared: list[messages.Effect] = []
    if any(isinstance(each, messages.Moved) for each in effects):
        plan_share(state, now=now)
        if kind is DocumentKind.instances and tells_others(state):
            shared = push_across(state, kind=kind, now=now)
    elif kind is DocumentKind.configuration:
        shared = _share_unless_planned(state, now=now)
    if state.members.state is NodeState.joining:
        # The first list tells this node whether it is a reader.
        shared.extend(review_appointment(state, now=now))
    return [*recovered, *effects, *shared, *review_ready(state, now=now)]


@decide.register
def _decide_source_confirmed(
    message: messages.SourceConfirmed,
    state: DistributionState,
    *,
    now: float,
) -> list[messages.Effect]:
    if message.version >= state.stores[message.kind].held.version:
        note_confirmed(state, kind=message.kind, now=now)
    shared = _note_answer(state, message.kind)
    if message.kind is DocumentKind.configuration:
        shared.extend(_share_unless_planned(state, now=now))
    return [*shared, *review_ready(state, now=now)]


@decide.register
def _decide_source_blobs(
    message: messages.SourceBlobs,
    state: DistributionState,
    *,
    now: float,
) -> list[messages.Effect]:
    offer = BlobsOffered(kind=message.kind, blobs=message.blobs)
    effects = take_offer(state, kind=message.kind, offer=offer, now=now)
    if message.missing:
        names = ' '.join(digest.hex() for digest in message.missing)
        missing = messages.SourceChanged(
            kind=message.kind,
            code=Code.part_missing,
            detail=names,
        )
        effects.append(missing)
    return [*effects, *review_ready(state, now=now)]


@decide.register
def _decide_source_failed(
    message: messages.SourceFailed,
    state: DistributionState,
    *,
    now: float,
) -> list[messages.Effect]:
    # A platform that is down for hours is said to be so once, not with
    # every read.
    if message.kind in state.failing:
        return []
    state.failing.add(message.kind)
    return [
        messages.SourceChanged(
            kind=message.kind,
            code=message.code,
            detail=message.detail,
        ),
    ]


@decide.register
def _decide_entry_refused(
    message: messages.EntryRefused,
    state: DistributionState,
    *,
    now: float,
) -> list[messages.Effect]:
    return [message]


@decide.register
def _decide_ends(
    message: EndsNoted,
    state: DistributionState,
    *,
    now: float,
) -> list[messages.Effect]:
    return note_ends(state, message.suspicions, now=now)


@decide.register
def _decide_answered(
    message: RequestAnswered,
    state: DistributionState,
    *,
    now: float,
) -> list[messages.Effect]:
    return clear_request(state, message.fingerprint, now=now)


@decide.register
def _decide_refused(
    message: RequestRefused,
    state: DistributionState,
    *,
    now: float,
) -> list[messages.Effect]:
    return note_refused(state, message.fingerprint, now=now)


@decide.register
def _decide_leave(
    message: messages.Leave,
    state: DistributionState,
    *,
    now: float,
) -> list[messages.Effect]:
    if state.members.state is NodeState.leaving:
        return []
    hand_over(state)
    state.members.leave()
    return [
        messages.StateChanged(state=NodeState.leaving),
        # Its own news goes along: the next reader takes over at once.
        *share_confirmation(state, now=now),
        *review_appointment(state, now=now),
        *announce(state, now=now),
    ]


def _share_unless_planned(
    state: DistributionState,
    *,
    now: float,
) -> list[messages.Effect]:
    if state.share_due is not None:
        return []
    return share_confirmation(state, now=now)


def _look_while_joining(
    state: DistributionState,
    *,
    now: float,
) -> list[messages.Effect]:
    """Ask seeds and platform at the pace of a node that refuses callers.

    Failure guarded here: a whole fleet loses power, and its nodes are up
    for 0.6 s before the first of them reads the platform, at the pace at
    which readers are looked after. Every caller is refused meanwhile. Nodes
    of the first read are ready 0.1 to 0.2 s after their start.
    """
    joining = state.joining
    if state.members.state is not NodeState.joining or now < joining.next_look:
        return []
    joining.next_look = now + state.tuning.join_look_seconds
    return [
        *ask_seeds(state, now=now),
        *review_appointment(state, now=now),
        *read_while_joining(state, now=now),
        *review_ready(state, now=now),
    ]


def _measure_delay(
    state: DistributionState,
    envelope: Envelope,
    now: float,
) -> float:
    if not envelope.sent_ms:
        return 0
    return state.delays.measure(
        (envelope.sender, envelope.news[0].incarnation),
        sent=envelope.sent_ms / MILLISECONDS,
        now=now,
    )


def _note_answer(
    state: DistributionState,
    kind: DocumentKind,
) -> list[messages.Effect]:
    if kind not in state.failing:
        return []
    state.failing.remove(kind)
    return [messages.SourceChanged(kind=kind, code=Code.ok, detail='')]


def _is_read(effect: messages.Effect) -> bool:
    return isinstance(effect, messages.ReadBlobs)
