"""Detects readers that have ended by their missing heartbeats.

A reader's confirmations come once per watch, so their absence shows late: too
late where the next reader needs a second for its first read over a slow line.
So readers send heartbeats in between, and the next node takes over when none
has come for a while. A reader that lives but is not answered by the platform
sends them too; its missing confirmations show that.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from msgspec import structs

from wagtaildale.distribution.messages import Send
from wagtaildale.distribution.state import NO_RANK
from wagtaildale.membership.state import get_topology

if TYPE_CHECKING:
    from wagtaildale.distribution.wire import Swap
    from wagtaildale.distribution.messages import Effect
    from wagtaildale.distribution.state import DistributionState
    from wagtaildale.types import InstanceId

# Of a larger data centre, only the first nodes in line take over early. This
# bounds the messages of a reader.
MAX_RECEIVERS: Final = 32


def note_reader(
    state: DistributionState,
    *,
    sender: InstanceId,
    watches: bool | None,
    sent_at: float,
) -> None:
    """Record whether a node says that it watches the platform.

    Args:
        state: state of the node; updated in place.
        sender: instance that sent the message.
        watches: whether it is a reader; None if it does not say.
        sent_at: when it sent the message, seconds on this node's clock.
    """
    record = state.members.records.get(sender)
    if watches is None or record is None:
        return
    if record.data_centre != state.members.own.data_centre:
        return
    if not watches:
        state.live_readers.pop(sender, None)
        return
    if sender not in state.live_readers:
        state.claimed_at = sent_at
    silent_before = sent_at - state.tuning.reader_silence_seconds
    state.live_readers = {
        reader: heard_at
        for reader, heard_at in state.live_readers.items()
        if heard_at > silent_before
    }
    state.live_readers[sender] = sent_at


def find_takeover_at(state: DistributionState, *, now: float) -> float | None:
    """Find when this node may have to take over from readers that stay silent.

    The nodes of a data centre take over one after the other, by rank; the
    first one's heartbeat stops the others. Those on slow lines come last.

    Args:
        state: state of the node.
        now: current time, seconds.

    Returns:
        Seconds, before the end of the silence only its end; None if it is a
        reader itself, or knows of none that could fall silent.
    """
    tuning = state.tuning
    if state.appointed or not state.live_readers:
        return None
    if not tuning.reader_heartbeat_seconds:
        return None
    silent_at = max(state.live_readers.values()) + tuning.reader_silence_seconds
    if now < silent_at:
        # Finding the turn computes the topology again after each change of
        # the fleet, which is too much work for each message of a large one.
        return silent_at
    readers = get_topology(state.members).readers
    rank = state.find_own_rank(readers)
    if rank == NO_RANK:
        return None
    turn = rank / len(readers) + tuning.reads_last
    return silent_at + turn * tuning.takeover_spread_seconds


def is_takeover_due(state: DistributionState, *, now: float) -> bool:
    """Tell whether this node takes over from silent readers.

    Args:
        state: state of the node.
        now: current time, seconds.

    Returns:
        Whether its turn has come.
    """
    takeover_at = find_takeover_at(state, now=now)
    return takeover_at is not None and now >= takeover_at


def forgive_silence(state: DistributionState, *, now: float) -> None:
    """Restart the wait for heartbeats after this process was paused.

    Args:
        state: state of the node; updated in place.
        now: current time, seconds.
    """
    state.live_readers = dict.fromkeys(state.live_readers, now)


def send_heartbeat(state: DistributionState, *, now: float) -> list[Effect]:
    """Tell the next nodes in line whether this node is a reader.

    Args:
        state: state of the node; updated in place.
        now: current time, seconds.

    Returns:
        Messages to send.
    """
    if not state.tuning.reader_heartbeat_seconds:
        return []
    schedule_heartbeat(state, now=now)
    body = make_heartbeat(state, now=now)
    return [Send(to=peer, body=body) for peer in list_receivers(state)]


def make_heartbeat(state: DistributionState, *, now: float) -> Swap:
    """Make a digest that says whether this node is a reader.

    Only nodes that are sent heartbeats may be told: others would take the
    reader for silent.

    Args:
        state: state of the node.
        now: current time, seconds.

    Returns:
        The digest.
    """
    body = state.make_swap(now, is_reply=True)
    if not state.tuning.reader_heartbeat_seconds:
        return body
    return structs.replace(body, watches=state.appointed)


def list_receivers(state: DistributionState) -> tuple[InstanceId, ...]:
    """List the nodes that are sent heartbeats by a reader.

    Args:
        state: state of the reader.

    Returns:
        The next nodes in line, and those that are suspected, which may be well.
    """
    own = state.members.own.instance
    readers = get_topology(state.members).readers[:MAX_RECEIVERS]
    suspects = state.members.list_local_suspects()
    return tuple(peer for peer in (*readers, *suspects) if peer != own)


def schedule_heartbeat(state: DistributionState, *, now: float) -> None:
    """Schedule the next heartbeat after a message that served as one.

    Args:
        state: state of the node; updated in place.
        now: current time, seconds.
    """
    interval = state.tuning.reader_heartbeat_seconds
    is_due = state.appointed and interval
    state.heartbeat_due_at = now + interval if is_due else None


def send_due_heartbeat(state: DistributionState, *, now: float) -> list[Effect]:
    """Send this reader's heartbeat if it is due.

    It waits for a scheduled confirmation, which serves as one: a digest right
    after a change would make each node ask for what is on its way.

    Args:
        state: state of the node; updated in place.
        now: current time, seconds.

    Returns:
        Messages to send, if any.
    """
    due_at = state.heartbeat_due_at
    if due_at is None or now < due_at:
        return []
    if state.confirmation_due_at is not None:
        state.heartbeat_due_at = state.confirmation_due_at
        return []
    return send_heartbeat(state, now=now)
