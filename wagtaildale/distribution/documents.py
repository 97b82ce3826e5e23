"""Decides on offered document versions: apply, push, or request more."""

from __future__ import annotations

from functools import singledispatch
from typing import TYPE_CHECKING

from wagtaildale.distribution.lapses import update_list
from wagtaildale.distribution.messages import (
    DocumentUpdated,
    Effect,
    ReadBlobs,
    Send,
    VersionRefused,
)
from wagtaildale.distribution.pushes import push_to_removed, push_version
from wagtaildale.distribution.state import DistributionState
from wagtaildale.distribution.wire import BlobPull, Pull
from wagtaildale.document.decisions import decide_offer
from wagtaildale.document.messages import (
    Applied,
    BlobsWanted,
    OutlineWanted,
    Rejected,
)
from wagtaildale.membership.state import get_topology
from wagtaildale.types import DocumentKind

if TYPE_CHECKING:
    from wagtaildale.document.messages import (
        BlobsOffered,
        DeltaOffered,
        OutlineOffered,
    )
    from wagtaildale.types import Digest, InstanceId

    Offer = DeltaOffered | OutlineOffered | BlobsOffered


def handle_offer(
    state: DistributionState,
    *,
    kind: DocumentKind,
    offer: Offer,
    now: float,
    from_tree: bool = False,
) -> list[Effect]:
    """Offer a version to its store and decide on the outcomes.

    Args:
        state: state of the node; updated in place.
        kind: kind of the document.
        offer: version or part of one.
        now: current time, seconds.
        from_tree: whether the version came down the push tree, so that it
            need not be pushed to the root of the tree.

    Returns:
        Effects to execute.
    """
    effects: list[Effect] = []
    for outcome in decide_offer(offer, state.stores[kind]):
        effects.extend(_handle_outcome(outcome, state, now))
        if isinstance(outcome, Applied):
            effects.extend(
                push_version(state, kind=kind, now=now, from_tree=from_tree),
            )
    return effects


@singledispatch
def _handle_outcome(
    outcome: object,
    state: DistributionState,
    now: float,
) -> list[Effect]:
    raise TypeError(f'got {outcome!r}, expected an outcome of a store')


@_handle_outcome.register
def _handle_applied(
    outcome: Applied,
    state: DistributionState,
    now: float,
) -> list[Effect]:
    document = outcome.document
    changes: list[Effect] = []
    pushes: list[Effect] = []
    if document.kind is DocumentKind.instances:
        before = state.members.records
        # These come before the list itself, so that calls never use the list
        # without its exceptions.
        changes = update_list(state, document=document, now=now)
        pushes = push_to_removed(state, before=before, now=now)
    updated = DocumentUpdated(
        before=outcome.before,
        document=document,
        origin=outcome.origin,
    )
    return [*changes, updated, *pushes]


@_handle_outcome.register
def _handle_rejected(
    outcome: Rejected,
    state: DistributionState,
    now: float,
) -> list[Effect]:
    return [VersionRefused(rejected=outcome)]


@_handle_outcome.register
def _handle_outline_wanted(
    outcome: OutlineWanted,
    state: DistributionState,
    now: float,
) -> list[Effect]:
    if outcome.origin is None:
        return []
    return [request_delta(state, kind=outcome.kind, peer=outcome.origin)]


@_handle_outcome.register
def _handle_blobs_wanted(
    outcome: BlobsWanted,
    state: DistributionState,
    now: float,
) -> list[Effect]:
    if outcome.origin is not None:
        body = BlobPull(outcome.kind, outcome.digests)
        return [Send(to=outcome.origin, body=body)]
    # Only appointed readers read parts from the platform immediately, so that
    # many new nodes do not all read every part at once. The others receive the
    # parts from readers, and read them after a while if no peer has sent them.
    if state.appointed or now >= state.peer_wait_ends_at:
        return [_read_blobs(state, outcome.kind, outcome.digests)]
    state.joining.awaited_kinds.add(outcome.kind)
    return []


def read_overdue_parts(state: DistributionState, *, now: float) -> list[Effect]:
    """Read the parts from the platform that no peer has sent in time.

    Args:
        state: state of the node; updated in place.
        now: current time, seconds.

    Returns:
        Reads of the missing parts, if any are overdue.
    """
    awaited_kinds = state.joining.awaited_kinds
    if not awaited_kinds or now < state.peer_wait_ends_at:
        return []
    awaited = {
        kind: pending
        for kind in awaited_kinds
        if (pending := state.stores[kind].pending) is not None
    }
    awaited_kinds.clear()
    return [
        _read_blobs(state, kind, pending.list_missing())
        for kind, pending in awaited.items()
    ]


def _read_blobs(
    state: DistributionState,
    kind: DocumentKind,
    digests: tuple[Digest, ...],
) -> ReadBlobs:
    readers = get_topology(state.members).readers
    return ReadBlobs(
        kind=kind,
        digests=digests,
        is_first_reader=state.appointed and state.find_own_rank(readers) == 0,
    )


def request_delta(
    state: DistributionState,
    *,
    kind: DocumentKind,
    peer: InstanceId,
) -> Send:
    """Request the delta from this node's version to that of a peer.

    Args:
        state: state of the node.
        kind: kind of the document.
        peer: instance that receives the request.

    Returns:
        The message to send.
    """
    held = state.stores[kind].held
    return Send(to=peer, body=Pull(kind, held.version, held.digest))
