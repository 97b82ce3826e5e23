"""What a reader tells its data centre of what it has confirmed."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from wagtaildale.distribution.appointments import is_primary_reader
from wagtaildale.distribution.messages import Send
from wagtaildale.distribution.readers import set_own_reader
from wagtaildale.membership.state import find_topology

if TYPE_CHECKING:
    from wagtaildale.distribution.messages import Effect
    from wagtaildale.distribution.state import DistributionState

# A change has come down the push tree by then, also over slow lines.
CONFIRMATION_DELAY_SECONDS: Final = 0.2


def claim_confirmations(state: DistributionState) -> None:
    """Prepare the word of a reader that stops: it was the last one.

    Failure guarded here: several read for a moment, those that go on stop
    one after the other, and all others wait for one that has stepped down.

    Args:
        state: the node, before it leaves; moved forward in place.
    """
    if not state.appointed:
        return
    for fresh in state.freshness.values():
        set_own_reader(state, fresh)


def schedule_confirmation(state: DistributionState, *, now: float) -> None:
    """Tell the spare readers of a change once it has had its time to spread.

    Failure guarded here: a change goes down the push tree, and in the same
    moment everybody is told that there is one. Each asks the reader for what
    is on its way to it and pushes it on once more, and on slow lines calls
    wait behind the copies.

    Args:
        state: state of the node; updated in place.
        now: current time, seconds.
    """
    if state.confirmation_due_at is None:
        state.confirmation_due_at = now + CONFIRMATION_DELAY_SECONDS


def send_due_confirmation(
    state: DistributionState, *, now: float
) -> list[Effect]:
    """Tell the spare readers of a change, if it is time.

    Args:
        state: state of the node; updated in place.
        now: current time, seconds.

    Returns:
        Messages, or none.
    """
    if state.confirmation_due_at is None or now < state.confirmation_due_at:
        return []
    return send_confirmation(state, now=now)


def send_confirmation(
    state: DistributionState,
    *,
    now: float,
) -> list[Effect]:
    """Tell the spare readers that the platform was confirmed.

    Failure guarded here: all readers die at once, and the next ranks learn
    so only when digests have carried a growing age from node to node. With
    word from each confirmation itself, its absence is noticed within two
    watches.

    Args:
        state: state of the node; updated in place.
        now: current time, seconds.

    Returns:
        Messages, if this node is an appointed reader.
    """
    state.confirmation_due_at = None
    if not state.appointed or not state.tuning.passes_on:
        return []
    own = state.members.own.instance
    readers = find_topology(state.members).readers
    # In place of nodes on slow lines spares read; those are told then too.
    first = state.tuning.readers if is_primary_reader(state) else 0
    spares = readers[first : first + state.tuning.spare_readers]
    # Failure: a node that works is suspected for an answer that was late,
    # nobody sends it anything, and it neither refutes that nor learns that
    # its server leaves. What is held against it goes along with each message.
    suspects = state.members.list_suspects()
    body = state.make_swap(now, is_reply=True)
    return [
        Send(to=peer, body=body) for peer in (*spares, *suspects) if peer != own
    ]
