"""Tests of the order in which the distribution task takes what has come."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final, cast

from wagtaildale.distribution.around import Surroundings
from wagtaildale.distribution.sockets import Arrival, NodeSockets
from wagtaildale.distribution.swaps import REPLY_SECONDS
from wagtaildale.distribution.task import DistributionTask
from wagtaildale.distribution.tests.networks import build_network
from wagtaildale.distribution.wire import Swap, encode_envelope
from wagtaildale.invariants import Invariants
from wagtaildale.membership.decisions import note_missed
from wagtaildale.membership.state import find_topology
from wagtaildale.routing.view import ViewHolder
from wagtaildale.testing.builders import build_recorder
from wagtaildale.suspects.snapshots import SuspectsHolder
from wagtaildale.timers.inbox import Inbox
from wagtaildale.timers.messages import Tick, TimerName
from wagtaildale.timers.service import read_clock
from wagtaildale.types import InstanceId, NodeState

if TYPE_CHECKING:
    from typing import Any

    from wagtaildale.distribution.state import DistributionState

EARLIER_SECONDS: Final = 10.0


class ReplySockets:
    """Gives one reply, then ends the task; sends nowhere."""

    def __init__(self, frame: bytes) -> None:
        self.task: DistributionTask | None = None
        self._frame = frame

    def watch_inbox(self, inbox: Inbox[Any]) -> None:
        """The task does not wait here."""

    def wait(self, seconds: float) -> list[Arrival]:
        assert self.task is not None
        self.task.stop()
        return [Arrival(self._frame, 'route')]

    def note_route(self, instance: InstanceId, route: bytes | str) -> None:
        """Nothing is answered."""

    def answer(self, instance: InstanceId, frame: bytes) -> bool:
        return True

    def close(self) -> None:
        """Nothing is open."""


def make_task(
    state: DistributionState,
    sockets: ReplySockets,
    inbox: Inbox[Any],
) -> DistributionTask:
    recorder = build_recorder()
    around = Surroundings(
        recorder=recorder,
        invariants=Invariants(recorder),
        view=ViewHolder(),
        watches={},
        fetches=Inbox(),
        suspects=SuspectsHolder(inbox.put),
        states=[],
    )
    faked = cast('NodeSockets', sockets)
    task = DistributionTask(state, sockets=faked, inbox=inbox, around=around)
    sockets.task = task
    return task


def test_reply_that_has_come_is_no_missing_one() -> None:
    """A node on a slow machine suspects others whose replies it has.

    A reply and the timer of the next digest come in one turn. The timer was
    looked at first, and found the reply missing.
    """
    network = build_network(8)
    own = InstanceId('a')
    state = network.nodes[own].state
    peer = find_topology(state.members).neighbours[0]
    reply = network.wrap(peer, to=own, body=Swap((), is_reply=True))
    now = read_clock()
    note_missed(state.members, peer=peer, now=now - EARLIER_SECONDS)
    state.awaiting = {peer: now - 2 * REPLY_SECONDS}
    inbox: Inbox[Any] = Inbox()
    inbox.put(Tick(name=TimerName.digest, now=now))
    sockets = ReplySockets(encode_envelope(reply.envelope))
    make_task(state, sockets, inbox).run()
    news = state.members.find_news(peer)
    assert news is not None
    assert news.state is NodeState.ready
