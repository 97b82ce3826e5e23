"""Pushes new versions down the push tree and resends lost pushes."""

from __future__ import annotations

from itertools import chain
from typing import TYPE_CHECKING, Final

from msgspec import structs

from wagtaildale.distribution.messages import PeerBehind, Send, SendSeed
from wagtaildale.distribution.state import DistributionState, PendingPush
from wagtaildale.distribution.swaps import make_fleet_change
from wagtaildale.distribution.wire import Push, Swap
from wagtaildale.document.model import make_delta
from wagtaildale.membership.decisions import note_missed_reply
from wagtaildale.membership.state import get_topology
from wagtaildale.membership.topology import list_children
from wagtaildale.types import DocumentKind

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from wagtaildale.distribution.messages import Effect
    from wagtaildale.document.model import Delta
    from wagtaildale.membership.records import InstanceRecord
    from wagtaildale.types import InstanceId

MAX_INLINE_BYTES: Final = 65_536
MAX_PUSH_ATTEMPTS: Final = 2
# Bounds the messages of a reader after entries have lapsed in an outage.
MAX_PUSHES_TO_REMOVED: Final = 32


def push_version(
    state: DistributionState,
    *,
    kind: DocumentKind,
    now: float,
    from_tree: bool,
) -> list[Effect]:
    """Push a version that was just applied to this node's children.

    Args:
        state: state of the node; records the pending pushes.
        kind: kind of the document.
        now: current time, seconds.
        from_tree: whether the version came down the push tree; otherwise it
            is also pushed to the root of the data centre's tree.

    Returns:
        Messages to send.
    """
    if not state.tuning.passes_on:
        return []
    own = state.members.own.instance
    targets = _list_children(state, own)
    if not from_tree:
        targets = [*_list_root(state), *targets]
    return [
        _push_to(state, peer, kind, now)
        for peer in dict.fromkeys(targets)
        if peer != own
    ]


def push_to_data_centres(
    state: DistributionState,
    *,
    kind: DocumentKind,
    now: float,
) -> list[Effect]:
    """Push a version that was read from the platform to other data centres.

    Since each reader pushes to all data centres, one reader in the fleet is
    enough. Otherwise, when the readers of a data centre stop or only nodes on
    slow lines are left there, lists would arrive by digests from other data
    centres, one a second, and an owner would learn seconds late that its
    server leaves.

    Args:
        state: state of the node; records the pending pushes.
        kind: kind of the document.
        now: current time, seconds.

    Returns:
        Messages to send.
    """
    if not state.tuning.passes_on:
        return []
    return [
        _mark_bypassing(_push_to(state, root, kind, now))
        for root in get_topology(state.members).roots
    ]


def push_to_removed(
    state: DistributionState,
    *,
    before: Mapping[InstanceId, InstanceRecord],
    now: float,
) -> list[Effect]:
    """Push a list to the nodes whose servers it no longer has.

    Such a node is no longer a member and receives no further lists. Without
    this push it would call its own server until it reads the platform itself.

    Args:
        state: state of the node, with the new list.
        before: records of the list before, by id of the node.
        now: current time, seconds.

    Returns:
        Messages of a reader to nodes of its data centre.
    """
    if not (state.tuning.passes_on and state.appointed):
        return []
    removed = [
        record
        for node, record in before.items()
        if node not in state.members.records
        and record.data_centre == state.members.own.data_centre
    ]
    body = _make_push(state, DocumentKind.instances, now)
    return [
        SendSeed(address=record.control_address, body=body)
        for record in removed[:MAX_PUSHES_TO_REMOVED]
    ]


def resend_pushes(state: DistributionState, *, now: float) -> list[Effect]:
    """Resend unacknowledged pushes, and bypass peers that do not reply.

    When an inner node of the push tree dies or a message is lost, the whole
    branch would keep its old version until digests are swapped. So a push
    without an acknowledgement is sent again, and after that this node pushes
    to the receiver's children itself. Every push is acknowledged, and applying
    one twice does no harm.

    Args:
        state: state of the node; updated in place.
        now: current time, seconds.

    Returns:
        Messages to send.
    """
    effects: list[Effect] = []
    due = [key for key, push in state.pushes.items() if push.due <= now]
    for peer, kind in due:
        push = state.pushes.pop((peer, kind))
        if push.attempts < MAX_PUSH_ATTEMPTS:
            effects.append(_push_to(state, peer, kind, now, push.attempts + 1))
            continue
        changes = note_missed_reply(state.members, peer=peer, now=now)
        effects.extend(make_fleet_change(changes))
        effects.append(PeerBehind(peer=peer, version=push.version))
        effects.extend(
            _push_to(state, child, kind, now)
            for child in _list_children(state, peer)
        )
    return effects


def _list_root(state: DistributionState) -> Iterable[InstanceId]:
    return get_topology(state.members).tree[:1]


def _list_children(
    state: DistributionState,
    instance: InstanceId,
) -> list[InstanceId]:
    return list_children(
        get_topology(state.members).tree,
        instance=instance,
        fan_out=state.tuning.fan_out,
    )


def _push_to(
    state: DistributionState,
    peer: InstanceId,
    kind: DocumentKind,
    now: float,
    attempts: int = 1,
) -> Send:
    store = state.stores[kind]
    state.pushes[(peer, kind)] = PendingPush(
        version=store.held.version,
        due=now + state.tuning.resend_seconds,
        attempts=attempts,
    )
    return Send(to=peer, body=_make_push(state, kind, now))


def _make_push(
    state: DistributionState, kind: DocumentKind, now: float
) -> Push | Swap:
    store = state.stores[kind]
    holding = state.describe_holding(kind, now)
    delta = make_delta(store.history[0], target=store.held)
    if _measure(delta) > MAX_INLINE_BYTES:
        return Swap((holding,), is_reply=False)
    return Push(delta, holding)


def _mark_bypassing(send: Send) -> Send:
    if not isinstance(send.body, Push):
        return send
    return Send(to=send.to, body=structs.replace(send.body, bypasses_tree=True))


def _measure(delta: Delta) -> int:
    return sum(map(len, chain(delta.changed.values(), delta.removed)))
