"""Start, readiness and the planned stop of a node."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING, Final

from wagtaildale.distribution.messages import Leave
from wagtaildale.errors.codes import Code
from wagtaildale.settings.model import ANNOUNCE_SECONDS, LINGER_SECONDS
from wagtaildale.telemetry.events import EventKind
from wagtaildale.timers.service import read_clock

if TYPE_CHECKING:
    from wagtaildale.calls.task import CallsTask
    from wagtaildale.telemetry.events import EventRecorder
    from wagtaildale.timers.inbox import Inbox

LOOK_SECONDS: Final = 0.05
# How long entries may take to close their connections once nothing is under
# way. They were told when the gate closed, and need a round trip; a lost
# packet is sent again after 200 ms. One that is cut off, or of a build that
# is not told, costs the stop no more than this.
NODES_SECONDS: Final = 0.5
# Of the time between the drain and the bound: how long the callers' port
# stays open for runs at most. What comes at its end has the rest for its
# answer.
PORT_SHARE: Final = 0.5


class Stop:
    """The planned stop: nothing in flight is cut.

    First callers are served on, but told to go elsewhere: answers ask them
    to close, and whoever asks hears that the node is not ready. After the
    time for that, other nodes are told, the gate admits nothing more, and
    the callers' port takes no new connection once the requests that the
    backend server here still runs are over. Entries are told to send
    nothing more and close their connections when their calls are over. When
    nothing is under way and they have closed, the rest closes.

    Failures guarded here: a caller sends on a connection that was idle just
    when it is closed, and its request is lost; idle connections are given
    time in which their next answer tells them to go
    elsewhere. Callers that do not know of the stop keep connecting, so that
    it never ends; a port that is closed refuses them before they send. In
    a rolling restart the servers of stopping nodes stand idle while the
    callers move; they take work until the callers have moved. A run
    message is on the wire when the owner closes, and nobody knows that it
    never ran; entries close first, and until then it is refused as not run.
    A request that runs here makes a call of its own, finds the callers' port
    closed and fails; the port stays open for it.
    """

    def __init__(
        self,
        *,
        calls: CallsTask,
        inbox: Inbox[object],
        recorder: EventRecorder,
        announce_seconds: float = ANNOUNCE_SECONDS,
        linger_seconds: float = LINGER_SECONDS,
    ) -> None:
        """Prepare.

        Args:
            calls: carries callers' requests and other nodes' calls.
            inbox: of the distribution task.
            recorder: gets events.
            announce_seconds: how long callers are served on.
            linger_seconds: how long idle callers are waited for.
        """
        self._announce_seconds = announce_seconds
        self._linger_seconds = linger_seconds
        self._calls = calls
        self._inbox = inbox
        self._recorder = recorder
        self._has_left = False
        self._quiet_since: float | None = None
        self._hurried = False

    def hurry(self) -> None:
        """End the wait for work in flight (a second signal)."""
        self._hurried = True

    def begin(self) -> None:
        """Tell callers to go elsewhere."""
        self._recorder.record(EventKind.node_leaving, detail='callers first')
        self._calls.announce_drain_to_callers()

    def wait(self, *, seconds: float) -> bool:
        """Wait until nothing is in flight.

        Args:
            seconds: at most.

        Returns:
            Whether all work was done in time.
        """
        is_done = self._work_off(seconds)
        left = 0 if is_done else self.count_in_flight()
        self._calls.finish_peers()
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
            Of callers, of other nodes, and at the backend server.
        """
        return self._calls.active_calls

    def _work_off(self, seconds: float) -> bool:
        left = max(0, seconds - self._announce_seconds)
        port_seconds = self._announce_seconds + PORT_SHARE * left
        began = read_clock()
        while read_clock() < began + seconds and not self._hurried:
            elapsed = read_clock() - began
            if elapsed >= self._announce_seconds:
                self._leave()
                self._close_port(is_late=elapsed >= port_seconds)
            if elapsed > self._linger_seconds:
                self._calls.close_idle()
            if self._is_done(elapsed):
                return True
            time.sleep(LOOK_SECONDS)
        return False

    def _leave(self) -> None:
        if self._has_left:
            return
        self._has_left = True
        self._inbox.put(Leave())
        self._calls.drain()

    def _close_port(self, *, is_late: bool) -> None:
        # The gate admits no more, so that the runs come to an end, however
        # many callers keep coming.
        if is_late or not self._calls.has_runs:
            self._calls.close_caller_port()

    def _is_done(self, elapsed: float) -> bool:
        if self.count_in_flight() or not self._calls.caller_port.is_closed:
            return False
        if (
            self._calls.caller_port.open_connections
            and elapsed < self._linger_seconds
        ):
            return False
        return self._have_entries_closed()

    def _have_entries_closed(self) -> bool:
        now = read_clock()
        if self._quiet_since is None:
            self._quiet_since = now
            self._calls.close_peer_port()
        if self._calls.peer_port.is_closed:
            return True
        if now > self._quiet_since + NODES_SECONDS:
            # They read the end and close; the next look finds none.
            self._calls.finish_peers()
        return False
