"""Tracks whether the backend server beside a node is in slow start."""

from __future__ import annotations

from enum import Enum
from math import inf
from typing import TYPE_CHECKING, final

from wagtaildale.admission.server_messages import (
    SlowStartBegan,
    SlowStartEnded,
)
from wagtaildale.admission.slow_start import (
    build_bound,
    build_unconfigured_bound,
)
from wagtaildale.calls.owner.slow_start_record import SlowStartRecord
from wagtaildale.timers.service import read_clock

if TYPE_CHECKING:
    from collections.abc import Callable

    from wagtaildale.admission.gate import Gate
    from wagtaildale.admission.slow_start import SlowStartBound
    from wagtaildale.configuration.model import SlowStart
    from wagtaildale.settings.model import BoundSettings
    from wagtaildale.telemetry.events import EventRecorder
    from wagtaildale.types import InstanceId


@final
class SlowStartOrigin(Enum):
    """What tells that a server is cold, or may be.

    Attributes:
        unconfigured: no configuration tells yet how servers start.
        unknown: the node has started, an evacuation has ended, or the server
            turned out to be another instance.
        idle: it may have restarted while nothing was sent to it.
        started: it was down and is up.
        listed: the instance list.
        server: its answer to a health check.
    """

    unconfigured = 'unconfigured'
    unknown = 'unknown'
    idle = 'idle'
    started = 'started'
    listed = 'list'
    server = 'server'


class SlowStartTracker:
    """Begins and ends the slow start of the server beside a node.

    The list lags by seconds, so it only begins or prolongs a slow start. It
    ends by its time, or when the server itself reports in a health check that
    it is warm. A server that may have started unnoticed is in doubt: it counts
    as cold until it has answered a health check.

    Attributes:
        probe_listeners: callbacks that send health checks until one is
            answered.
        record: events and counts of slow starts.
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
        self.record = SlowStartRecord(gate.state.rate, recorder=recorder)
        self._gate = gate
        self._rate = gate.state.rate
        self._read_slow_start = read_slow_start
        self._bounds = bounds
        self._listed: tuple[InstanceId, float] | None = None
        self._is_unconfigured = False
        self._is_asked = False
        self._started_at = -inf

    @property
    def starts_slowly(self) -> bool:
        """Whether servers of the service are known to start slowly."""
        return self._read_slow_start() is not None

    @property
    def is_in_doubt(self) -> bool:
        """Whether the server counts as cold until it answers."""
        is_bounded = self._rate.find_slow_start(read_clock()) is not None
        return self._is_asked and is_bounded

    def review_configuration(self, *, is_configured: bool) -> None:
        """Bound the server until the first configuration is known.

        This process may have started together with its server, or beside one
        that has just become cold. It is asked once there is a configuration.

        Args:
            is_configured: whether a configuration is known.
        """
        if is_configured and self.starts_slowly:
            self.note_unknown()
        elif is_configured:
            self._gate.handle_server_message(SlowStartEnded())
        elif self._bounds.expects_slow_start and not self._is_unconfigured:
            self._is_unconfigured = True
            bound = build_unconfigured_bound(self._bounds, now=read_clock())
            self._apply(bound, origin=SlowStartOrigin.unconfigured)

    def note_started(self) -> None:
        """Record that the server has started."""
        self._started_at = read_clock()
        slow_start = self._read_slow_start()
        if slow_start is not None:
            self._begin(
                slow_start, slow_start.seconds, origin=SlowStartOrigin.started
            )

    def note_unknown(
        self,
        *,
        origin: SlowStartOrigin = SlowStartOrigin.unknown,
        asks: bool = True,
    ) -> None:
        """Record that the server may have started without notice.

        Args:
            origin: what casts the doubt.
            asks: whether the server is asked at once; if not, ``ask`` does.
        """
        slow_start = self._read_slow_start()
        if slow_start is None:
            return
        self._begin(slow_start, slow_start.seconds, origin=origin)
        if asks:
            self.ask()

    def ask(self) -> None:
        """Ask the server whether it is cold, until it answers."""
        self._is_asked = True
        for send_probes in self.probe_listeners:
            send_probes()

    def note_listed(self, instance: InstanceId, left_seconds: float) -> None:
        """Record what the instance list states of the server.

        Args:
            instance: listed instance.
            left_seconds: time until it is warm, seconds; 0 if it is.
        """
        slow_start = self._read_slow_start()
        listed = (instance, left_seconds)
        if slow_start is None or listed == self._listed:
            return
        self._listed = listed
        if left_seconds <= 0:
            return
        begun = self._rate.slow_start
        if begun is None or begun.until < read_clock() + left_seconds:
            self._begin(slow_start, left_seconds, origin=SlowStartOrigin.listed)

    def note_reported(self, left_seconds: float, *, asked_at: float) -> None:
        """Record what the server reports of itself.

        Answers may be false: a server that was seen to start counts as cold
        for the published time, whatever it reports. An answer to a health
        check from before the bound began tells nothing about what began it.

        Args:
            left_seconds: time until it is warm, seconds; 0 if it is.
            asked_at: when the health check was sent, seconds.
        """
        slow_start = self._read_slow_start()
        if slow_start is None or asked_at < self.record.begun_at:
            return
        warm_at = self._started_at + slow_start.seconds
        left_seconds = max(left_seconds, warm_at - read_clock())
        if left_seconds > 0:
            self._begin(slow_start, left_seconds, origin=SlowStartOrigin.server)
        elif self._rate.slow_start is not None:
            self._is_asked = False
            self._gate.handle_server_message(SlowStartEnded())
            self.record.record_ended(asked_at=asked_at)

    def _begin(
        self,
        slow_start: SlowStart,
        left_seconds: float,
        *,
        origin: SlowStartOrigin,
    ) -> None:
        bound = build_bound(
            slow_start,
            bounds=self._bounds,
            left_seconds=min(left_seconds, slow_start.seconds),
            now=read_clock(),
        )
        self._apply(bound, origin=origin)

    def _apply(self, bound: SlowStartBound, *, origin: SlowStartOrigin) -> None:
        # The list lags, so it does not answer what the server was asked.
        self._is_asked = self._is_asked and origin is SlowStartOrigin.listed
        has_started = origin is SlowStartOrigin.started
        self._gate.handle_server_message(
            SlowStartBegan(bound=bound, has_started=has_started)
        )
        self.record.record_begun(bound, origin=origin.value)
