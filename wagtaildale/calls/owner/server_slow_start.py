"""Tracks whether the backend server beside a node is in slow start."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from wagtaildale.admission.server_messages import (
    SlowStartBegan,
    SlowStartEnded,
)
from wagtaildale.admission.slow_start import build_bound
from wagtaildale.telemetry.events import EventKind
from wagtaildale.timers.service import read_clock

if TYPE_CHECKING:
    from collections.abc import Callable

    from wagtaildale.admission.gate import Gate
    from wagtaildale.configuration.model import SlowStart
    from wagtaildale.settings.model import BoundSettings
    from wagtaildale.telemetry.events import EventRecorder
    from wagtaildale.types import InstanceId

MILLISECONDS: Final = 1000


class SlowStartTracker:
    """Begins and ends the slow start of the server beside a node.

    The list lags by seconds, so it only begins or prolongs a slow start. It
    ends by its time, or when the server itself reports in a health check that
    it is warm.

    Attributes:
        probe_listeners: callbacks that send a health check.
    """

    def __init__(
        self,
        gate: Gate,
        *,
        read_slow_start: Callable[[], SlowStart | None],
        bounds: BoundSettings,
        recorder: EventRecorder,
    ) -> None:
        """Start with a server that bears its usual rate.

        Args:
            gate: admission control of the server, which applies the bound.
            read_slow_start: returns how servers of the service start; None
                if they bear their usual rate at once.
            bounds: bounds that the platform's operators publish.
            recorder: recorder of events when a slow start begins or ends.
        """
        self.probe_listeners: list[Callable[[], None]] = []
        self._gate = gate
        self._read_slow_start = read_slow_start
        self._bounds = bounds
        self._recorder = recorder
        self._listed: tuple[InstanceId, float] | None = None

    def note_started(self) -> None:
        """Record that the server has started."""
        slow_start = self._read_slow_start()
        if slow_start is not None:
            self._begin(slow_start, slow_start.seconds, origin='started')

    def note_unknown(self) -> None:
        """Record that the server may have started without notice; ask it."""
        slow_start = self._read_slow_start()
        if slow_start is None:
            return
        self._begin(slow_start, slow_start.seconds, origin='unknown')
        for send_probe in self.probe_listeners:
            send_probe()

    def note_listed(self, instance: InstanceId, left_seconds: float) -> None:
        """Record what the instance list states of the server.

        Args:
            instance: listed instance.
            left_seconds: time until it is warm, seconds; 0 if it is.
        """
        listed = (instance, left_seconds)
        if listed == self._listed:
            return
        self._listed = listed
        slow_start = self._read_slow_start()
        if slow_start is None or left_seconds <= 0:
            return
        begun = self._gate.state.rate.slow_start
        if begun is None or begun.until < read_clock() + left_seconds:
            self._begin(slow_start, left_seconds, origin='list')

    def note_reported(self, left_seconds: float) -> None:
        """Record what the server reports of itself.

        Args:
            left_seconds: time until it is warm, seconds; 0 if it is.
        """
        slow_start = self._read_slow_start()
        if slow_start is None:
            return
        if left_seconds > 0:
            self._begin(slow_start, left_seconds, origin='server')
        elif self._gate.state.rate.slow_start is not None:
            self._gate.handle_server_message(SlowStartEnded())
            self._recorder.record(EventKind.slow_start_ended)

    def _begin(
        self, slow_start: SlowStart, left_seconds: float, *, origin: str
    ) -> None:
        bound = build_bound(
            slow_start,
            bounds=self._bounds,
            left_seconds=left_seconds,
            now=read_clock(),
        )
        self._gate.handle_server_message(SlowStartBegan(bound=bound))
        self._recorder.record(
            EventKind.slow_start_began,
            inputs={
                'origin': origin,
                'left_ms': round(left_seconds * MILLISECONDS),
                'per_second': str(bound.per_second),
            },
        )
