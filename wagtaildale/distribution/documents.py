"""Decides on offers of documents: take, push on, ask for more."""

from __future__ import annotations

from functools import singledispatch
from typing import TYPE_CHECKING, Final


from wagtaildale.distribution.messages import (
    Effect,
    Moved,
    ReadBlobs,
    Refused,
    Send,
)
from wagtaildale.distribution.lapses import take_list
from wagtaildale.distribution.pushes import push_on
from wagtaildale.distribution.state import DistributionState
from wagtaildale.distribution.wire import BlobPull, Pull
from wagtaildale.document.decisions import decide_offer
from wagtaildale.document.messages import (
    Applied,
    BlobsWanted,
    OutlineWanted,
    Rejected,
)
from wagtaildale.membership.state import find_topology
from wagtaildale.types import DocumentKind

if TYPE_CHECKING:
    from wagtaildale.document.messages import (
        BlobsOffered,
        DeltaOffered,
        OutlineOffered,
    )
    from wagtaildale.types import InstanceId

    Offer = DeltaOffered | OutlineOffered | BlobsOffered

PATIENCE_SECONDS: Final = 5.0


def take_offer(
    state: DistributionState,
    *,
    kind: DocumentKind,
    offer: Offer,
    now: float,
    from_tree: bool = False,
) -> list[Effect]:
    """Offer a version to its store and carry on from what comes of it.

    Args:
        state: the node; moved forward in place.
        kind: which document.
        offer: the version.
        now: seconds.
        from_tree: whether the push tree brought it, so that the tree's
            root need not be told.

    Returns:
        What to do.
    """
    effects: list[Effect] = []
    for outcome in decide_offer(offer, state.stores[kind]):
        effects.extend(_follow(outcome, state, now))
        if isinstance(outcome, Applied):
            effects.extend(
                push_on(state, kind=kind, now=now, from_tree=from_tree),
            )
    return effects


@singledispatch
def _follow(
    outcome: object,
    state: DistributionState,
    now: float,
) -> list[Effect]:
    raise TypeError(f'got {outcome!r}, expected an effect of a store')


@_follow.register
def _follow_applied(
    outcome: Applied,
    state: DistributionState,
    now: float,
) -> list[Effect]:
    document = outcome.document
    kept: list[Effect] = []
    if document.kind is DocumentKind.instances:
        # Before the list itself: calls never see it without those kept.
        kept = take_list(state, document=document, now=now)
    moved = Moved(
        before=outcome.before,
        document=document,
        origin=outcome.origin,
    )
    return [*kept, moved]


@_follow.register
def _follow_rejected(
    outcome: Rejected,
    state: DistributionState,
    now: float,
) -> list[Effect]:
    return [Refused(rejected=outcome)]


@_follow.register
def _follow_outline_wanted(
    outcome: OutlineWanted,
    state: DistributionState,
    now: float,
) -> list[Effect]:
    if outcome.origin is None:
        return []
    return [ask_for_delta(state, kind=outcome.kind, peer=outcome.origin)]


@_follow.register
def _follow_blobs_wanted(
    outcome: BlobsWanted,
    state: DistributionState,
    now: float,
) -> list[Effect]:
    if outcome.origin is not None:
        body = BlobPull(outcome.kind, outcome.digests)
        return [Send(to=outcome.origin, body=body)]
    # Failure: a herd of new nodes reads every part from the platform. Only
    # appointed readers do so at once; the others get the parts from them,
    # and turn to the platform when nobody has brought them for a while.
    waited = now - state.joining.started_at > PATIENCE_SECONDS
    readers = find_topology(state.members).readers
    read = ReadBlobs(
        kind=outcome.kind,
        digests=outcome.digests,
        foremost=state.appointed and state.find_own_rank(readers) == 0,
    )
    return [read] if state.appointed or waited else []


def ask_for_delta(
    state: DistributionState,
    *,
    kind: DocumentKind,
    peer: InstanceId,
) -> Send:
    """Ask a peer for what leads from the held version to its own.

    Args:
        state: the node.
        kind: which document.
        peer: who is asked.

    Returns:
        The message.
    """
    held = state.stores[kind].held
    return Send(to=peer, body=Pull(kind, held.version, held.digest))
