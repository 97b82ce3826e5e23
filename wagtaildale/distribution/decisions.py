"""Decides which effects follow from each message to the distribution task.

The decisions use no clock and no socket, and are deterministic except for
random choices of peers. ``task`` executes the effects.
"""

from __future__ import annotations

from functools import singledispatch

from wagtaildale.distribution import messages
from wagtaildale.distribution.appointments import (
    pushes_to_others,
    review_appointment,
    take_over_if_due,
)
from wagtaildale.distribution.bodies import Context, decide_body
from wagtaildale.distribution.confirmations import (
    claim_confirmations,
    schedule_announcement,
    schedule_confirmation,
    send_confirmation,
    send_due_announcement,
    send_due_confirmation,
)
from wagtaildale.distribution.documents import (
    handle_offer,
    read_overdue_parts,
)
from wagtaildale.distribution.joining import announce_state, review_ready
from wagtaildale.distribution.lapses import expire_retained
from wagtaildale.distribution.liveness import (
    forgive_silence,
    send_due_heartbeat,
)
from wagtaildale.distribution.pushes import push_to_data_centres, resend_pushes
from wagtaildale.distribution.readers import note_confirmed, read_while_joining
from wagtaildale.distribution.state import MILLISECONDS, DistributionState
from wagtaildale.distribution.suspicions import (
    clear_request,
    forget_suspects,
    note_ends,
    note_refused,
)
from wagtaildale.distribution.swaps import (
    ask_seeds,
    make_fleet_change,
    swap_digests,
)
from wagtaildale.distribution.wire import Envelope
from wagtaildale.document.messages import BlobsOffered, OutlineOffered
from wagtaildale.errors.codes import Code
from wagtaildale.membership.decisions import (
    expire_news,
    merge_news,
    reset_missed_replies,
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
        message: message to the task.
        state: state of the node; updated in place.
        now: current time, seconds.

    Returns:
        Effects to execute.

    Raises:
        TypeError: for a message of an unknown type.
    """
    raise TypeError(
        f'got {message!r}, expected a message to the distribution task'
    )


@decide.register
def _decide_received(
    message: messages.Received,
    state: DistributionState,
    *,
    now: float,
) -> list[messages.Effect]:
    envelope = message.envelope
    reset_missed_replies(state.members, peer=envelope.sender)
    changes = merge_news(state.members, received=envelope.news, now=now)
    context = Context(
        state=state,
        sender=envelope.sender,
        now=now,
        delay=_measure_delay(state, envelope, now),
    )
    effects = decide_body(envelope.body, context)
    # Without this review, a data centre whose reader announced its stop would
    # receive no lists until that reader's next confirmation is long overdue.
    reviewed = review_appointment(state, now=now) if changes else []
    return [
        *make_fleet_change(changes),
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
    changes = expire_news(state.members, now=now)
    return [
        *make_fleet_change(changes),
        *expire_retained(state, now=now),
        *forget_suspects(state, now=now),
        *review_appointment(state, now=now),
        *review_ready(state, now=now),
    ]


@decide.register
def _decide_woke_late(
    message: WokeLate,
    state: DistributionState,
    *,
    now: float,
) -> list[messages.Effect]:
    # A process that was paused must not act on outdated state: pending
    # messages are dropped, and peers are not suspected for replies that came
    # during the pause. The next swap updates this node's view.
    state.pushes.clear()
    state.pending_replies.clear()
    forgive_silence(state, now=now)
    return swap_digests(state, now=now)


@decide.register
def _decide_deadline(
    message: messages.DeadlineReached,
    state: DistributionState,
    *,
    now: float,
) -> list[messages.Effect]:
    return [
        *resend_pushes(state, now=now),
        *send_due_confirmation(state, now=now),
        *send_due_announcement(state, now=now),
        *send_due_heartbeat(state, now=now),
        *take_over_if_due(state, now=now),
        *read_overdue_parts(state, now=now),
        *_check_while_joining(state, now=now),
    ]


@decide.register
def _decide_source_read(
    message: messages.SourceRead,
    state: DistributionState,
    *,
    now: float,
) -> list[messages.Effect]:
    outline = message.outline
    held = state.stores[outline.kind].held
    if outline.is_whole and outline.entries == held.entries:
        # A comparison has found nothing new. The list is not applied and sent
        # on once more under the store's present revision.
        confirmed = messages.SourceConfirmed(
            kind=outline.kind, version=outline.version
        )
        return decide(confirmed, state, now=now)
    return _offer_read(message, state, now=now)


def _offer_read(
    message: messages.SourceRead,
    state: DistributionState,
    *,
    now: float,
) -> list[messages.Effect]:
    outline = message.outline
    kind = outline.kind
    recovered = _clear_failure(state, kind)
    if outline.version >= state.stores[kind].held.version:
        note_confirmed(state, kind=kind, now=now)
    effects = handle_offer(
        state,
        kind=kind,
        offer=OutlineOffered(outline=outline),
        now=now,
    )
    if message.blobs:
        offer = BlobsOffered(kind=kind, blobs=message.blobs)
        effects = [
            *(each for each in effects if not _reads_blobs(each)),
            *handle_offer(state, kind=kind, offer=offer, now=now),
        ]
    forwarded: list[messages.Effect] = []
    if any(isinstance(each, messages.DocumentUpdated) for each in effects):
        schedule_confirmation(state, now=now)
        if kind is DocumentKind.configuration:
            schedule_announcement(state, now=now)
        elif pushes_to_others(state):
            forwarded = push_to_data_centres(state, kind=kind, now=now)
    elif kind is DocumentKind.configuration:
        forwarded = _send_unless_scheduled(state, now=now)
    if state.members.state is NodeState.joining:
        # The first list determines whether this node is a reader.
        forwarded.extend(review_appointment(state, now=now))
    return [*recovered, *effects, *forwarded, *review_ready(state, now=now)]


@decide.register
def _decide_source_confirmed(
    message: messages.SourceConfirmed,
    state: DistributionState,
    *,
    now: float,
) -> list[messages.Effect]:
    if message.version >= state.stores[message.kind].held.version:
        note_confirmed(state, kind=message.kind, now=now)
    forwarded = _clear_failure(state, message.kind)
    if message.kind is DocumentKind.configuration:
        forwarded.extend(_send_unless_scheduled(state, now=now))
    return [*forwarded, *review_ready(state, now=now)]


@decide.register
def _decide_source_blobs(
    message: messages.SourceBlobs,
    state: DistributionState,
    *,
    now: float,
) -> list[messages.Effect]:
    offer = BlobsOffered(kind=message.kind, blobs=message.blobs)
    effects = handle_offer(state, kind=message.kind, offer=offer, now=now)
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
    failed_reads = state.failing.get(message.kind, 0) + 1
    state.failing[message.kind] = failed_reads
    # An outage of hours is logged once, not with every failed read.
    if failed_reads > 1:
        return []
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
def _decide_source_contradicted(
    message: messages.SourceContradicted,
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
    claim_confirmations(state)
    state.members.leave()
    return [
        messages.StateChanged(state=NodeState.leaving),
        # The message includes the new state of this node, so that the next
        # reader takes over immediately.
        *send_confirmation(state, now=now),
        *review_appointment(state, now=now),
        *announce_state(state, now=now),
    ]


def _send_unless_scheduled(
    state: DistributionState,
    *,
    now: float,
) -> list[messages.Effect]:
    if state.confirmation_due_at is not None:
        return []
    return send_confirmation(state, now=now)


def _check_while_joining(
    state: DistributionState,
    *,
    now: float,
) -> list[messages.Effect]:
    """Ask seeds and the platform at the short interval of a joining node.

    A joining node refuses every caller. At the interval of the regular reader
    review, the nodes of a fleet that restarts after a power loss ran for
    0.6 s before the first one read the platform. With the short interval, the
    nodes that read first are ready 0.1 to 0.2 s after their start.
    """
    joining = state.joining
    if (
        state.members.state is not NodeState.joining
        or now < joining.next_check_at
    ):
        return []
    joining.next_check_at = now + state.tuning.join_look_seconds
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


def _clear_failure(
    state: DistributionState,
    kind: DocumentKind,
) -> list[messages.Effect]:
    if kind not in state.failing:
        return []
    recovered = messages.SourceChanged(
        kind=kind,
        code=Code.ok,
        detail='',
        failed_reads=state.failing.pop(kind),
    )
    return [recovered]


def _reads_blobs(effect: messages.Effect) -> bool:
    return isinstance(effect, messages.ReadBlobs)
