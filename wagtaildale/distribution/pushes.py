"""The push tree: who is sent a new version, and again when it was lost."""

from __future__ import annotations

from itertools import chain
from typing import TYPE_CHECKING, Final

from msgspec import structs

from wagtaildale.distribution.messages import PeerBehind, Send
from wagtaildale.distribution.state import DistributionState, PushOut
from wagtaildale.distribution.swaps import tell_fleet
from wagtaildale.distribution.wire import Push, Swap
from wagtaildale.document.model import make_delta
from wagtaildale.membership.decisions import note_missed
from wagtaildale.membership.state import find_topology
from wagtaildale.membership.topology import list_children

if TYPE_CHECKING:
    from collections.abc import Iterable

    from wagtaildale.distribution.messages import Effect
    from wagtaildale.document.model import Delta
    from wagtaildale.types import InstanceId, DocumentKind

INLINE_BYTES: Final = 65_536
PUSH_TRIES: Final = 2


def push_on(
    state: DistributionState,
    *,
    kind: DocumentKind,
    now: float,
    from_tree: bool,
) -> list[Effect]:
    """Pass a version that was just taken on to this node's children.

    Args:
        state: the node; notes what was sent.
        kind: which document.
        now: seconds.
        from_tree: whether the push tree brought it; otherwise the root of
            the data centre's tree is told too.

    Returns:
        What to send.
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


def push_across(
    state: DistributionState,
    *,
    kind: DocumentKind,
    now: float,
) -> list[Effect]:
    """Pass a version that was read at the platform to other data centres.

    Failure guarded here: the readers of a data centre stop, or only nodes on
    slow lines are left there, and lists come by digests from elsewhere, one
    a second: an owner learns seconds late that its server leaves. With each
    reader telling all data centres, one reader in the fleet is enough.

    Args:
        state: the node; notes what was sent.
        kind: which document.
        now: seconds.

    Returns:
        What to send.
    """
    if not state.tuning.passes_on:
        return []
    return [
        _mark_past_tree(_push_to(state, root, kind, now))
        for root in find_topology(state.members).roots
    ]


def resend_pushes(state: DistributionState, *, now: float) -> list[Effect]:
    """Send again what was not seen, and serve past a peer that is gone.

    Failure guarded here: an inner node of the push tree dies or loses a
    message, which shows as a whole branch that stays behind until digests
    are swapped. A push that was not seen is sent again, then the receiver's
    children are served in its place. The guard holds since every push is
    answered, and since taking one twice does no harm.

    Args:
        state: the node; moved forward in place.
        now: seconds.

    Returns:
        What to send.
    """
    effects: list[Effect] = []
    due = [key for key, push in state.pushes.items() if push.due <= now]
    for peer, kind in due:
        push = state.pushes.pop((peer, kind))
        if push.tries < PUSH_TRIES:
            effects.append(_push_to(state, peer, kind, now, push.tries + 1))
            continue
        taken = note_missed(state.members, peer=peer, now=now)
        effects.extend(tell_fleet(taken))
        effects.append(PeerBehind(peer=peer, version=push.version))
        effects.extend(
            _push_to(state, child, kind, now)
            for child in _list_children(state, peer)
        )
    return effects


def _list_root(state: DistributionState) -> Iterable[InstanceId]:
    return find_topology(state.members).tree[:1]


def _list_children(
    state: DistributionState,
    instance: InstanceId,
) -> list[InstanceId]:
    return list_children(
        find_topology(state.members).tree,
        instance=instance,
        fan_out=state.tuning.fan_out,
    )


def _push_to(
    state: DistributionState,
    peer: InstanceId,
    kind: DocumentKind,
    now: float,
    tries: int = 1,
) -> Send:
    store = state.stores[kind]
    state.pushes[(peer, kind)] = PushOut(
        version=store.held.version,
        due=now + state.tuning.resend_seconds,
        tries=tries,
    )
    holding = state.describe_holding(kind, now)
    base = store.history[0]
    delta = make_delta(base, target=store.held)
    if _measure(delta) > INLINE_BYTES:
        return Send(to=peer, body=Swap((holding,), is_reply=False))
    return Send(to=peer, body=Push(delta, holding))


def _mark_past_tree(send: Send) -> Send:
    if not isinstance(send.body, Push):
        return send
    return Send(to=send.to, body=structs.replace(send.body, is_past_tree=True))


def _measure(delta: Delta) -> int:
    return sum(map(len, chain(delta.changed.values(), delta.removed)))
