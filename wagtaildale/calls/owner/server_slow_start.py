"""Tracks whether the backend server beside a node is in slow start."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from wagtaildale.admission.server_messages import (
    SlowStartBegan,
    SlowStartEnded,
)
from wagtaildale.admission.slow_start import (
    build_bound,
    build_unconfigured_bound,
)
from wagtaildale.telemetry.events import EventKind
from wagtaildale.timers.service import read_clock

if TYPE_CHECKING:
    from collections.abc import Callable

    from wagtaildale.admission.gate import Gate
    from wagtaildale.admission.slow_start import SlowStartBound
    from wagtaildale.configuration.model import SlowStart
    from wagtaildale.settings.model import BoundSettings
    from wagtaildale.telemetry.events import EventRecorder, Inputs
    from wagtaildale.types import InstanceId

MILLISECONDS: Final = 1000
STARTED: Final = 'started'


class SlowStartTracker:
    """Begins and ends the slow start of the server beside a node.

    The list lags by seconds, so it only begins or prolongs a slow start. It
    ends by its time, or when the server itself reports in a health check that
    it is warm.

    Attributes:
        probe_listeners: callbacks that send a health check.
        sent_count: number of requests sent to a server in slow start.
        most_sent: largest number of requests in one second that a server in
            slow start was sent.
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
        self.sent_count = 0
        self.most_sent = 0
        self._gate = gate
        self._rate = gate.state.rate
        self._read_slow_start = read_slow_start
        self._bounds = bounds
        self._recorder = recorder
        self._listed: tuple[InstanceId, float] | None = None
        self._begun_at = float(0)
        self._is_unconfigured = False

    def note_unconfigured(self) -> None:
        """Record that no configuration tells yet how the server starts."""
        if self._is_unconfigured or not self._bounds.expects_slow_start:
            return
        self._is_unconfigured = True
        self._apply(
            build_unconfigured_bound(self._bounds, now=read_clock()),
            origin='unconfigured',
        )

    def note_configured(self) -> None:
        """Record that the first configuration is known.

        The process may have started together with its server, or beside one
        that has just become cold.
        """
        self._is_unconfigured = False
        if self._read_slow_start() is None:
            self._gate.handle_server_message(SlowStartEnded())
        else:
            self.note_unknown()

    def note_started(self) -> None:
        """Record that the server has started."""
        slow_start = self._read_slow_start()
        if slow_start is not None:
            self._begin(slow_start, slow_start.seconds, origin=STARTED)

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
        begun = self._rate.slow_start
        if begun is None or begun.until < read_clock() + left_seconds:
            self._begin(slow_start, left_seconds, origin='list')

    def note_sent(self) -> Inputs:
        """Count a request that is sent to the server.

        Returns:
            Log inputs for the request; empty if the server is warm.
        """
        bound = self._rate.slow_start
        now = read_clock()
        if bound is None or now >= bound.until:
            return {}
        sent = self._rate.recent_sends.count(now)
        self.sent_count += 1
        self.most_sent = max(self.most_sent, sent)
        return {
            'cold_ms': _to_ms(bound.until - now),
            'sent_in_second': sent,
        }

    def note_reported(self, left_seconds: float, *, asked_at: float) -> None:
        """Record what the server reports of itself.

        Args:
            left_seconds: time until it is warm, seconds; 0 if it is.
            asked_at: when the health check was sent, seconds.
        """
        slow_start = self._read_slow_start()
        if slow_start is None:
            return
        if left_seconds > 0:
            self._begin(slow_start, left_seconds, origin='server')
        elif self._rate.slow_start is not None:
            self._end(asked_at)

    def _end(self, asked_at: float) -> None:
        now = read_clock()
        self._gate.handle_server_message(SlowStartEnded())
        self._recorder.record(
            EventKind.slow_start_ended,
            inputs={
                'lasted_ms': _to_ms(now - self._begun_at),
                'asked_ms_ago': _to_ms(now - asked_at),
                'sent_in_second': self._rate.recent_sends.count(now),
            },
        )

    def _begin(
        self, slow_start: SlowStart, left_seconds: float, *, origin: str
    ) -> None:
        bound = build_bound(
            slow_start,
            bounds=self._bounds,
            left_seconds=left_seconds,
            now=read_clock(),
        )
        self._apply(bound, origin=origin)

    def _apply(self, bound: SlowStartBound, *, origin: str) -> None:
        now = read_clock()
        self._begun_at = now
        self._gate.handle_server_message(
            SlowStartBegan(bound=bound, has_started=origin == STARTED)
        )
        self._recorder.record(
            EventKind.slow_start_began,
            inputs={
                'origin': origin,
                'left_ms': _to_ms(bound.until - now),
                'per_second': str(bound.per_second),
                'sent_in_second': self._rate.recent_sends.count(now),
            },
        )


def _to_ms(seconds: float) -> int:
    return round(seconds * MILLISECONDS)
