"""The planned stop of a node."""

from __future__ import annotations

import time
from math import inf
from typing import TYPE_CHECKING, Final

from wagtaildale.calls.stop_schedule import StopSchedule
from wagtaildale.distribution.messages import Leave
from wagtaildale.errors.codes import Code
from wagtaildale.settings.model import ANNOUNCE_SECONDS, LINGER_SECONDS
from wagtaildale.telemetry.events import EventKind
from wagtaildale.timers.service import read_clock

if TYPE_CHECKING:
    from wagtaildale.calls.task import CallsTask
    from wagtaildale.telemetry.events import EventRecorder
    from wagtaildale.timers.inbox import Inbox

POLL_SECONDS: Final = 0.05
# Longest time for entries to close their connections once no call is in
# flight. They get the notice when admission ends and need a round trip; a lost
# packet is sent again after 200 ms. An entry that is cut off, or of a build
# without this notice, delays the stop by no more than this.
ENTRY_CLOSE_SECONDS: Final = 0.5
# Share of the time between the drain and the bound for which the callers' port
# stays open at most while requests run here. A request that arrives at the end
# of this share has the rest of the time for its answer.
OPEN_PORT_SHARE: Final = 0.5
# What arrives later than this in a stop is passed on only if its caller gives
# up before the process ends.
ESTIMATES_SECONDS: Final = 3.0


class Stop:
    """The planned stop, which waits for all work in flight.

    At first callers are still served, but asked to leave: responses ask them
    to close their connections, and the readiness check fails. After
    ``announce_seconds`` the other nodes are informed and no new calls are
    admitted. The callers' port is closed once the local backend server has
    finished its requests. Entries are asked to send no further calls and to
    close their connections after their last call. The rest is closed when
    nothing is in flight and the entries have closed.

    The order prevents these failures:

    - A caller sends a request on an idle connection just when it is closed,
      and the request is lost. Idle connections stay open for
      ``linger_seconds``, so that their next response asks them to close.
    - Callers that do not know of the stop keep connecting, and the stop never
      ends. A closed port refuses them before they send.
    - In a rolling restart the servers of stopping nodes are idle while the
      callers move. The servers accept work until the callers have moved.
    - A run message is on the wire when the owner closes, and the entry cannot
      know that it never ran. Entries close first; until then such a message
      is refused as not run.
    - A request is passed on, runs, and is cut when the process ends. From the
      beginning of the stop each one is compared with the time that is left;
      one that does not fit is rejected as not run.
    - A request that runs here makes a call of its own and fails because the
      callers' port is closed. The port stays open for such requests.
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
        """Create a stop; ``begin`` starts it.

        Args:
            calls: task that carries callers' requests and other nodes' calls.
            inbox: inbox of the distribution task.
            recorder: recorder of events.
            announce_seconds: time for which callers are still served, seconds.
            linger_seconds: time for which idle connections of callers stay
                open, seconds.
        """
        self._announce_seconds = announce_seconds
        self._linger_seconds = linger_seconds
        self._calls = calls
        self._inbox = inbox
        self._recorder = recorder
        self._is_draining = False
        self._idle_since: float | None = None
        self._is_wait_ended = False

    def stop_waiting(self) -> None:
        """End the wait for work in flight at once."""
        self._is_wait_ended = True

    def begin(self, *, seconds: float = inf) -> None:
        """Start the stop: ask callers to use other nodes.

        Args:
            seconds: time until the process ends, seconds.
        """
        self._recorder.record(
            EventKind.node_leaving,
            detail='callers are asked to use other nodes',
        )
        now = read_clock()
        self._calls.begin_stop(
            StopSchedule(
                callers_move_at=now + self._announce_seconds,
                estimates_until=now + ESTIMATES_SECONDS,
                ends_at=now + seconds,
            )
        )

    def wait(self, *, seconds: float) -> bool:
        """Wait until nothing is in flight.

        Args:
            seconds: longest wait, seconds.

        Returns:
            Whether all work was finished in time.
        """
        is_done = self._wait_until_done(seconds)
        in_flight = 0 if is_done else self.count_in_flight()
        self._calls.finish_peers()
        if in_flight:
            self._recorder.record(
                EventKind.node_leaving,
                code=Code.drain_bound_passed,
                detail=f'{in_flight} requests were still in flight and are cut',
            )
        return not in_flight

    def count_in_flight(self) -> int:
        """Count the requests in flight.

        Returns:
            Number of requests of callers, of other nodes, and at the backend
            server.
        """
        return self._calls.active_calls

    def _wait_until_done(self, seconds: float) -> bool:
        remaining_seconds = max(0, seconds - self._announce_seconds)
        port_seconds = (
            self._announce_seconds + OPEN_PORT_SHARE * remaining_seconds
        )
        started_at = read_clock()
        while read_clock() < started_at + seconds and not self._is_wait_ended:
            elapsed = read_clock() - started_at
            if elapsed >= self._announce_seconds:
                self._start_drain()
                self._close_port(is_late=elapsed >= port_seconds)
            if elapsed > self._linger_seconds:
                self._calls.close_idle()
            if self._is_done(elapsed):
                return True
            time.sleep(POLL_SECONDS)
        return False

    def _start_drain(self) -> None:
        if self._is_draining:
            return
        self._is_draining = True
        self._inbox.put(Leave())
        self._calls.drain()

    def _close_port(self, *, is_late: bool) -> None:
        # Nothing new is admitted, so the runs end however many callers keep
        # connecting.
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
        if self._idle_since is None:
            self._idle_since = now
            self._calls.close_peer_port()
        if self._calls.peer_port.is_closed:
            return True
        if now > self._idle_since + ENTRY_CLOSE_SECONDS:
            # The entries read the end of the stream and close; the next poll
            # finds no connection.
            self._calls.finish_peers()
        return False
