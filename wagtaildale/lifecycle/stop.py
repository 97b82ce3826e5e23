"""Start, readiness and the planned stop of a node."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING, Final

from wagtaildale.distribution.messages import Leave
from wagtaildale.errors.codes import Code
from wagtaildale.telemetry.events import EventKind
from wagtaildale.timers.service import read_clock

if TYPE_CHECKING:
    from wagtaildale.admission.gate import Gate
    from wagtaildale.calls.listener import Listener
    from wagtaildale.telemetry.events import EventRecorder
    from wagtaildale.timers.inbox import Inbox

LOOK_SECONDS: Final = 0.05
QUIET_SECONDS: Final = 1.0
LINGER_SECONDS: Final = 4.0


class Stop:
    """The planned stop: nothing in flight is cut.

    In order: other nodes are told, the gate admits nothing more, every
    answer asks its caller to close, and when no request has been under way
    for ``QUIET_SECONDS`` the ports close.

    Failure guarded here: a caller sends on a connection that was idle just
    when the port closes, and its request is lost. Idle connections of
    callers are given ``LINGER_SECONDS`` in which their next answer tells
    them to go elsewhere.
    """

    def __init__(
        self,
        *,
        gate: Gate,
        callers: Listener,
        nodes: Listener,
        inbox: Inbox[object],
        recorder: EventRecorder,
    ) -> None:
        """Prepare.

        Args:
            gate: in front of the backend server.
            callers: takes callers' requests.
            nodes: takes other nodes' calls.
            inbox: of the distribution task.
            recorder: gets events.
        """
        self._gate = gate
        self._callers = callers
        self._listeners = (callers, nodes)
        self._inbox = inbox
        self._recorder = recorder
        self._hurried = False

    def hurry(self) -> None:
        """End the wait for work in flight (a second signal)."""
        self._hurried = True

    def begin(self) -> None:
        """Take no new work."""
        self._inbox.put(Leave())
        self._gate.drain()
        for listener in self._listeners:
            listener.drain()

    def wait(self, *, seconds: float) -> bool:
        """Wait until nothing is in flight.

        Args:
            seconds: at most.

        Returns:
            Whether all work was done in time.
        """
        began = read_clock()
        quiet_since = began
        while read_clock() < began + seconds and not self._hurried:
            now = read_clock()
            if self.count_in_flight():
                quiet_since = now
            lingered = now - began > LINGER_SECONDS or not self._callers.open
            if lingered and now - quiet_since > QUIET_SECONDS:
                return True
            time.sleep(LOOK_SECONDS)
        left = self.count_in_flight()
        if left:
            self._recorder.record(
                EventKind.node_leaving,
                code=Code.drain_bound_passed,
                detail=f'{left} requests cut',
            )
        return not left

    def count_in_flight(self) -> int:
        """Count the requests under way.

        Returns:
            Over all ports.
        """
        return sum(listener.busy for listener in self._listeners)
