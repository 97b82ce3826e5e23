"""Decides which effects follow from messages of other nodes, by their body."""

from __future__ import annotations

from functools import singledispatch
from typing import Final

from msgspec import Struct

from wagtaildale.distribution.documents import handle_offer, request_delta
from wagtaildale.distribution.liveness import note_reader
from wagtaildale.distribution.messages import Effect, Send
from wagtaildale.distribution.readers import note_freshness
from wagtaildale.distribution.state import DistributionState
from wagtaildale.distribution.suspicions import (
    compare_checksums,
    merge_suspicions,
)
from wagtaildale.distribution.wire import (
    BlobPull,
    BlobsSent,
    Holding,
    OutlineSent,
    Pull,
    Push,
    PushSeen,
    SuspicionsSent,
    Swap,
)
from wagtaildale.document.messages import (
    BlobsOffered,
    DeltaOffered,
    OutlineOffered,
)
from wagtaildale.document.model import (
    Document,
    is_superseded,
    make_delta,
    make_outline,
)
from wagtaildale.types import DocumentKind, InstanceId, NodeState, Version

MAX_BATCH_BYTES: Final = 1_000_000


class Context(Struct, frozen=True, kw_only=True):
    """State of the node, and origin of the message that is decided on.

    Attributes:
        state: state of the node; updated in place.
        sender: instance that sent the message.
        now: current time, seconds.
        delay: how much longer than usual the message took, seconds.
    """

    state: DistributionState
    sender: InstanceId
    now: float
    delay: float = 0

    @property
    def sent_at(self) -> float:
        """Estimated time of sending, seconds on this node's clock."""
        return self.now - self.delay


@singledispatch
def decide_body(body: object, context: Context) -> list[Effect]:
    """Decide on one body.

    Args:
        body: body of the message.
        context: state of the node, sender and time of the message.

    Returns:
        Effects to execute.

    Raises:
        TypeError: for a body of an unknown type.
    """
    raise TypeError(f'got {body!r}, expected the body of a message')


@decide_body.register
def _decide_swap(body: Swap, context: Context) -> list[Effect]:
    state = context.state
    effects: list[Effect] = []
    note_reader(
        state,
        sender=context.sender,
        watches=body.watches,
        sent_at=context.sent_at,
    )
    holdings = body.holdings if state.tuning.passes_on else ()
    for holding in holdings:
        _note_freshness(context, holding)
        _acknowledge_push(context, holding.kind, holding.version)
        if is_superseded(
            state.stores[holding.kind].held,
            version=holding.version,
            digest=holding.digest,
            is_whole=holding.is_whole,
        ):
            pull = request_delta(state, kind=holding.kind, peer=context.sender)
            effects.append(pull)
    state.pending_replies.pop(context.sender, None)
    if body.suspects is not None:
        effects.extend(
            compare_checksums(
                state,
                body.suspects,
                sender=context.sender,
                now=context.now,
            ),
        )
    if body.is_reply:
        _note_reply(context)
    else:
        reply = state.make_swap(context.now, is_reply=True)
        effects.append(Send(to=context.sender, body=reply))
    return effects


@decide_body.register
def _decide_push(body: Push, context: Context) -> list[Effect]:
    kind = body.delta.kind
    # First, because the version is pushed on with the confirmation that this
    # node knows of: with an older one, receivers would not learn that the
    # platform is back and drop the instances whose entries lapsed.
    _note_freshness(context, body.holding)
    effects = handle_offer(
        context.state,
        kind=kind,
        offer=DeltaOffered(delta=body.delta, origin=context.sender),
        now=context.now,
        # A push from outside the tree, for example after a partition, may have
        # bypassed the root.
        from_tree=not body.bypasses_tree,
    )
    acknowledgement = PushSeen(kind, body.delta.version)
    return [Send(to=context.sender, body=acknowledgement), *effects]


@decide_body.register
def _decide_seen(body: PushSeen, context: Context) -> list[Effect]:
    _acknowledge_push(context, body.kind, body.version)
    return []


@decide_body.register
def _decide_pull(body: Pull, context: Context) -> list[Effect]:
    state = context.state
    context.state.pushes.pop((context.sender, body.kind), None)
    store = state.stores[body.kind]
    if not _is_behind(body, store.held):
        return []
    base = store.find_document(body.version, body.digest)
    if base is None:
        outline = OutlineSent(make_outline(store.held))
        return [Send(to=context.sender, body=outline)]
    holding = state.describe_holding(body.kind, context.now)
    delta = make_delta(base, target=store.held)
    push = Push(delta, holding, bypasses_tree=True)
    return [Send(to=context.sender, body=push)]


@decide_body.register
def _decide_outline(body: OutlineSent, context: Context) -> list[Effect]:
    return handle_offer(
        context.state,
        kind=body.outline.kind,
        offer=OutlineOffered(outline=body.outline, origin=context.sender),
        now=context.now,
    )


@decide_body.register
def _decide_blob_pull(body: BlobPull, context: Context) -> list[Effect]:
    store = context.state.stores[body.kind]
    found = [store.find_blob(digest) for digest in body.digests]
    return [
        Send(to=context.sender, body=BlobsSent(body.kind, batch))
        for batch in _batch([blob for blob in found if blob is not None])
    ]


@decide_body.register
def _decide_blobs(body: BlobsSent, context: Context) -> list[Effect]:
    return handle_offer(
        context.state,
        kind=body.kind,
        offer=BlobsOffered(
            kind=body.kind,
            blobs=body.blobs,
            origin=context.sender,
        ),
        now=context.now,
    )


@decide_body.register
def _decide_suspects(body: SuspicionsSent, context: Context) -> list[Effect]:
    return merge_suspicions(
        context.state,
        body.suspicions,
        sender=context.sender,
        now=context.now,
    )


def _is_behind(pull: Pull, held: Document) -> bool:
    if pull.version != held.version:
        return pull.version < held.version
    # Of two lists of one version, the whole one is right.
    return held.is_whole and pull.digest != held.digest


def _note_freshness(context: Context, holding: Holding) -> None:
    note_freshness(
        context.state,
        holding=holding,
        sender=context.sender,
        sent_at=context.sent_at,
        now=context.now,
    )


def _acknowledge_push(
    context: Context, kind: DocumentKind, version: Version
) -> None:
    key = (context.sender, kind)
    push = context.state.pushes.get(key)
    if push is not None and push.version <= version:
        context.state.pushes.pop(key)


def _note_reply(context: Context) -> None:
    state = context.state
    if state.members.state is NodeState.joining:
        state.joining.replied_peers.add(context.sender)


def _batch(blobs: list[bytes]) -> list[tuple[bytes, ...]]:
    batches: list[list[bytes]] = [[]]
    size = 0
    for blob in blobs:
        if size + len(blob) > MAX_BATCH_BYTES and batches[-1]:
            batches.append([])
            size = 0
        batches[-1].append(blob)
        size += len(blob)
    return [tuple(batch) for batch in batches if batch]
