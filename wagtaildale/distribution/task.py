"""Runs the distribution task, the only user of its sockets and state."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, Final

from result import Err

from wagtaildale.decoding.failures import LONGEST_DETAIL_CHARACTERS
from wagtaildale.distribution import messages
from wagtaildale.distribution.decisions import decide
from wagtaildale.distribution.dependencies import Counts, TaskDependencies
from wagtaildale.distribution.effects import execute
from wagtaildale.distribution.liveness import find_takeover_at
from wagtaildale.distribution.state import MILLISECONDS
from wagtaildale.distribution.wire import (
    Envelope,
    decode_envelope,
    encode_envelope,
)
from wagtaildale.errors.codes import Code
from wagtaildale.membership.decisions import pick_news
from wagtaildale.telemetry.events import EventKind
from wagtaildale.timers.messages import WokeLate
from wagtaildale.timers.service import LATE_SECONDS, read_clock
from wagtaildale.types import InstanceId, NodeState

if TYPE_CHECKING:
    from wagtaildale.distribution.sockets import NodeSockets, ReceivedFrame
    from wagtaildale.distribution.state import DistributionState
    from wagtaildale.distribution.wire import Body
    from wagtaildale.timers.inbox import Inbox

MAX_WAIT_SECONDS: Final = 1.0
ANY_INSTANCE: Final = InstanceId('')


def find_wait(state: DistributionState, *, now: float) -> float:
    """Find how long the task may wait for messages.

    Args:
        state: state of the node.
        now: current time, seconds.

    Returns:
        Seconds until the next deadline: of a push, of a message that a reader
        sends, of a takeover, of parts awaited from peers or, while the node is
        joining, of its next check; at most one second.
    """
    due = [push.due for push in state.pushes.values()]
    scheduled = (
        state.confirmation_due_at,
        state.announcement_due_at,
        state.heartbeat_due_at,
        find_takeover_at(state, now=now),
    )
    due.extend(due_at for due_at in scheduled if due_at is not None)
    if state.joining.awaited_kinds:
        due.append(state.peer_wait_ends_at)
    if state.members.state is NodeState.joining:
        due.append(state.joining.next_check_at)
    return min(MAX_WAIT_SECONDS, max(0, min(due, default=now + 1) - now))


class DistributionTask:
    """Receives messages, decides on them, and executes the effects."""

    def __init__(
        self,
        state: DistributionState,
        *,
        sockets: NodeSockets,
        inbox: Inbox[Any],
        dependencies: TaskDependencies,
    ) -> None:
        """Prepare the task, which ``run`` executes.

        Args:
            state: state of a new node.
            sockets: bound sockets.
            inbox: inbox of this task.
            dependencies: other parts of the node that it uses.
        """
        self.state = state
        self.dependencies = dependencies
        self.counts = Counts()
        self.sockets = sockets
        self._inbox = inbox
        self._running = True
        sockets.watch_inbox(inbox)

    def run(self) -> None:
        """Process messages until stopped, then close the sockets."""
        while self._running:
            self._step()
        for message in self._inbox.take_all():
            self._process(message)
        self.sockets.close()

    def stop(self) -> None:
        """End ``run`` within a second."""
        self._running = False

    def send(self, instance: InstanceId, body: Body) -> None:
        """Send a message to an instance.

        Args:
            instance: receiving instance.
            body: body of the message.
        """
        frame = self._encode(instance, body)
        record = self.state.members.records.get(instance)
        self.counts.messages_out += 1
        if self.sockets.answer(instance, frame):
            return
        if record and self.sockets.send(record.control_address, frame):
            return
        self.counts.unsent += 1

    def send_seed(self, address: str, body: Body) -> None:
        """Send a message to an address whose instance is unknown.

        Args:
            address: address of a seed, from the settings.
            body: body of the message.
        """
        self.counts.messages_out += 1
        self.sockets.send(address, self._encode(ANY_INSTANCE, body))

    def _step(self) -> None:
        seconds = find_wait(self.state, now=read_clock())
        expected = read_clock() + seconds
        received_frames = self.sockets.wait(seconds)
        now = read_clock()
        if now - expected > LATE_SECONDS:
            self._process(WokeLate(now=now, late_by=now - expected))
        # Received messages come before timers. On a slow machine, a timer that
        # is processed first would suspect peers whose replies have arrived.
        for received in received_frames:
            self._receive(received)
        for message in self._inbox.take_all():
            self._process(message)
        if find_wait(self.state, now=read_clock()) == 0:
            self._process(messages.DeadlineReached())

    def _receive(self, received: ReceivedFrame) -> None:
        decoded = decode_envelope(received.frame)
        if isinstance(decoded, Err):
            self.counts.malformed += 1
            fault = decoded.err_value
            self._record_refusal(fault.code, fault.got)
            return
        envelope = decoded.ok_value
        # If an address is reused by another instance, messages for the previous
        # one reach the new one. They name their receiver and are dropped here.
        if envelope.to not in {ANY_INSTANCE, self.state.members.own.instance}:
            self.counts.misdirected += 1
            self._record_refusal(Code.message_misdirected, envelope.to)
            return
        self.counts.messages_in += 1
        self.sockets.note_route(envelope.sender, received.route)
        self.dependencies.recorder.clock.observe(envelope.stamp)
        self._process(messages.Received(envelope=envelope))

    def _process(self, message: object) -> None:
        if isinstance(message, WokeLate):
            detail = f'{message.late_by:.1f} s'
            self.dependencies.recorder.record(
                EventKind.woke_late, detail=detail
            )
        try:
            for effect in decide(message, self.state, now=read_clock()):
                execute(effect, self)
        except Exception as error:
            # Ending the process would not help if the message was made from
            # what the platform holds: the next one would end by it too.
            self.counts.defects += 1
            self.dependencies.recorder.record(
                EventKind.invariant_broken,
                code=Code.invariant_broken,
                detail=repr(error)[:LONGEST_DETAIL_CHARACTERS],
            )

    def _encode(self, to: InstanceId, body: Body) -> bytes:
        envelope = Envelope(
            to=to,
            news=pick_news(self.state.members, to=to),
            stamp=self.dependencies.recorder.clock.tick(),
            body=body,
            sent_ms=round(read_clock() * MILLISECONDS),
        )
        return encode_envelope(envelope)

    def _record_refusal(self, code: Code, detail: str) -> None:
        self.dependencies.recorder.record(
            EventKind.message_refused,
            code=code,
            detail=detail,
        )
