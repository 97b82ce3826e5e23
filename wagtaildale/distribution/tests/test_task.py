"""Tests of the order in which the distribution task processes messages."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final, cast

from wagtaildale.distribution.dependencies import TaskDependencies
from wagtaildale.distribution.sockets import NodeSockets, ReceivedFrame
from wagtaildale.distribution.swaps import REPLY_TIMEOUT_SECONDS
from wagtaildale.distribution.task import DistributionTask
from wagtaildale.distribution.tests.networks import build_network
from wagtaildale.distribution.wire import Swap, encode_envelope
from wagtaildale.invariants import Invariants
from wagtaildale.membership.decisions import note_missed_reply
from wagtaildale.membership.state import get_topology
from wagtaildale.routing.view import ViewHolder
from wagtaildale.suspects.snapshots import SuspectsHolder
from wagtaildale.testing.builders import build_recorder
from wagtaildale.timers.inbox import Inbox
from wagtaildale.timers.messages import Tick, TimerName
from wagtaildale.timers.service import read_clock
from wagtaildale.types import InstanceId, NodeState

if TYPE_CHECKING:
    from typing import Any

    from wagtaildale.distribution.state import DistributionState

EARLIER_SECONDS: Final = 10.0


class ReplySockets:
    """Returns one received reply, then ends the task; sends nothing."""

    def __init__(self, frame: bytes) -> None:
        self.task: DistributionTask | None = None
        self._frame = frame

    def watch_inbox(self, inbox: Inbox[Any]) -> None:
        """Do nothing, since the task does not wait here."""

    def wait(self, seconds: float) -> list[ReceivedFrame]:
        assert self.task is not None
        self.task.stop()
        return [ReceivedFrame(self._frame, 'route')]

    def note_route(self, instance: InstanceId, route: bytes | str) -> None:
        """Do nothing, since no reply is sent."""

    def answer(self, instance: InstanceId, frame: bytes) -> bool:
        return True

    def close(self) -> None:
        """Do nothing, since no socket is open."""


def make_task(
    state: DistributionState,
    sockets: ReplySockets,
    inbox: Inbox[Any],
) -> DistributionTask:
    recorder = build_recorder()
    dependencies = TaskDependencies(
        recorder=recorder,
        invariants=Invariants(recorder),
        view=ViewHolder(),
        watches={},
        fetches=Inbox(),
        suspects=SuspectsHolder(inbox.put),
        states=[],
    )
    fake_sockets = cast('NodeSockets', sockets)
    task = DistributionTask(
        state, sockets=fake_sockets, inbox=inbox, dependencies=dependencies
    )
    sockets.task = task
    return task


def test_received_reply_is_not_counted_as_missing() -> None:
    """A node on a slow machine suspects peers whose replies have arrived.

    A reply and the timer of the next digest are processed in the same step. If
    the timer comes first, it finds the reply missing.
    """
    network = build_network(8)
    own = InstanceId('a')
    state = network.nodes[own].state
    peer = get_topology(state.members).neighbours[0]
    reply = network.wrap(peer, to=own, body=Swap((), is_reply=True))
    now = read_clock()
    note_missed_reply(state.members, peer=peer, now=now - EARLIER_SECONDS)
    state.pending_replies = {peer: now - 2 * REPLY_TIMEOUT_SECONDS}
    inbox: Inbox[Any] = Inbox()
    inbox.put(Tick(name=TimerName.digest, now=now))
    sockets = ReplySockets(encode_envelope(reply.envelope))
    make_task(state, sockets, inbox).run()
    news = state.members.find_news(peer)
    assert news is not None
    assert news.state is NodeState.ready


class UnforeseenMessage:
    """A message that no decision is registered for."""


def test_unexpected_error_of_a_message_does_not_end_the_task() -> None:
    """A message made from what the platform holds ends each new process."""
    network = build_network(8)
    own = InstanceId('a')
    state = network.nodes[own].state
    peer = get_topology(state.members).neighbours[0]
    reply = network.wrap(peer, to=own, body=Swap((), is_reply=True))
    inbox: Inbox[Any] = Inbox()
    inbox.put(UnforeseenMessage())
    inbox.put(Tick(name=TimerName.digest, now=read_clock()))
    task = make_task(
        state, ReplySockets(encode_envelope(reply.envelope)), inbox
    )
    task.run()
    assert task.counts.defects == 1
    assert task.counts.messages_out
