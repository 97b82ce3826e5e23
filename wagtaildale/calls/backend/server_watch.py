"""Monitors whether the backend server beside a node is up.

The owner detects the end of its server within milliseconds and then probes
the port until the server is back. Without this, every entry would find out by
itself, again and again, through requests that the port refuses.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from wagtaildale.calls.backend.port_probe import PortProbe, ProbeResult
from wagtaildale.telemetry.events import EventKind
from wagtaildale.timers.service import read_clock

if TYPE_CHECKING:
    from collections.abc import Callable

    from wagtaildale.calls.addresses import Address
    from wagtaildale.reactor.loop import Loop
    from wagtaildale.telemetry.events import EventRecorder

# A server takes seconds to start, and each probe costs it a connection.
PROBE_INTERVAL_SECONDS: Final = 0.25
# Longest wait of a run for a restarting server. A server that is not back by
# then takes seconds to start, so the run is attempted at once and fails.
MAX_RESTART_WAIT_SECONDS: Final = 0.5
MILLISECONDS: Final = 1000


class ServerWatch:
    """Tracks whether the server accepts connections.

    Attributes:
        is_up: last known state.
        changed_at: time of the last change, in seconds on the clock.
        listeners: callbacks for each change, and for each failed probe while
            the server is down.
    """

    def __init__(
        self,
        loop: Loop,
        address: Address,
        *,
        recorder: EventRecorder,
    ) -> None:
        """Start with the assumption that the server is up.

        Args:
            loop: event loop of the probes.
            address: address of the server.
            recorder: recorder of events when the server goes down or is up
                again.
        """
        self.is_up = True
        self.changed_at = read_clock()
        self.listeners: list[Callable[[], None]] = []
        self._restart_callbacks: list[Callable[[], None]] = []
        self._loop = loop
        self._address = address
        self._recorder = recorder

    @property
    def up_seconds(self) -> float:
        """Seconds that the server has been up; 0 while it is down."""
        return read_clock() - self.changed_at if self.is_up else 0

    def wait_until_up(self, on_done: Callable[[], None]) -> None:
        """Call back once the server is up, or after a limited wait.

        Args:
            on_done: callback for when the server is up; called even if it is
                still down at the first probe after
                ``MAX_RESTART_WAIT_SECONDS``. May be called before this method
                returns.
        """
        if (
            self.is_up
            or read_clock() - self.changed_at >= MAX_RESTART_WAIT_SECONDS
        ):
            on_done()
        else:
            self._restart_callbacks.append(on_done)

    def note_down(self) -> None:
        """Record that the server is down or refused a connection."""
        if self.is_up:
            self._change(is_up=False)
            self._recorder.record(EventKind.server_down)
            self._schedule_probe()

    def note_up(self) -> None:
        """Record that the server accepted a connection."""
        if not self.is_up:
            since = self.changed_at
            self._change(is_up=True)
            down_seconds = read_clock() - since
            self._recorder.record(
                EventKind.server_up,
                inputs={'down_ms': round(down_seconds * MILLISECONDS)},
            )

    def _change(self, *, is_up: bool) -> None:
        self.is_up = is_up
        self.changed_at = read_clock()
        self._notify_listeners()
        if is_up:
            self._call_restart_callbacks()

    def _call_restart_callbacks(self) -> None:
        waiting = self._restart_callbacks
        self._restart_callbacks = []
        for notify in waiting:
            notify()

    def _notify_listeners(self) -> None:
        for notify in self.listeners:
            notify()

    def _schedule_probe(self) -> None:
        self._loop.alarms.set(PROBE_INTERVAL_SECONDS, self._probe)

    def _probe(self) -> None:
        if not self.is_up:
            PortProbe(self._loop, self._address, on_result=self._handle_probe)

    def _handle_probe(self, probe_result: ProbeResult) -> None:
        if probe_result is ProbeResult.opened:
            self.note_up()
        elif not self.is_up:
            # Repeats the notification, because an earlier one may have been
            # lost or an entry may have connected since.
            self._notify_listeners()
            self._schedule_probe()
            if read_clock() - self.changed_at >= MAX_RESTART_WAIT_SECONDS:
                self._call_restart_callbacks()
