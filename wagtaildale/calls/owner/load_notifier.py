"""Notifies entries of the load and limits of a backend server."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from wagtaildale.admission.capacity import compute_pass_share
from wagtaildale.admission.shares import (
    ALL_PASS,
    ANNOUNCE_INTERVAL_SECONDS,
    PassShare,
)
from wagtaildale.calls.owner.pace_steps import PaceSteps
from wagtaildale.calls.wire.fields import UNKNOWN_RATE, encode_rate
from wagtaildale.calls.wire.frames import LoadReport
from wagtaildale.telemetry.events import EventKind
from wagtaildale.timers.service import read_clock

if TYPE_CHECKING:
    from collections.abc import Callable

    from wagtaildale.admission.gate import Gate
    from wagtaildale.admission.incoming_line import LineState
    from wagtaildale.routing.leaving_servers import LeavingServer
    from wagtaildale.telemetry.events import EventRecorder
    from wagtaildale.timers.alarms import Alarm
    from wagtaildale.types import InstanceId

PERCENT: Final = 100
# Entries are notified when the wait for the line changes by this much, and not
# more often than the interval.
LINE_STEP_MS: Final = 250
LINE_INTERVAL_SECONDS: Final = 0.25


class LineSteps:
    """Tells when the wait for a line has changed enough to notify entries."""

    def __init__(self) -> None:
        """Start with an idle line."""
        self._announced_step = 0
        self._announced_at = float(0)

    def update(self, line: LineState | None, *, now: float) -> bool:
        """Update the announced wait.

        Args:
            line: state of the line; None if its bandwidth is not known.
            now: current time, seconds.

        Returns:
            Whether entries are to be notified.
        """
        step = 0 if line is None else line.wait_ms // LINE_STEP_MS
        is_early = now - self._announced_at < LINE_INTERVAL_SECONDS
        if step == self._announced_step or is_early:
            return False
        self._announced_step = step
        self._announced_at = now
        return True


class LoadNotifier:
    """Notifies connected entries when they should send more or fewer calls.

    Attributes:
        listeners: callbacks for each load message.
    """

    def __init__(
        self,
        gate: Gate,
        *,
        instance: InstanceId,
        recorder: EventRecorder,
        find_leaving: Callable[[], LeavingServer | None],
        read_lines: Callable[[], tuple[LineState | None, LineState | None]],
    ) -> None:
        """Start without listeners.

        Args:
            gate: admission control of the backend server.
            instance: instance of this node, which load reports name.
            recorder: recorder of events when the server becomes slow or
                recovers.
            find_leaving: lookup of the announcement that the listed run of
                the server leaves; made for each report, since the list may
                show a later run.
            read_lines: returns the state of the node's line for bodies that
                come in, and for large responses that leave; None if its
                bandwidth is not known.
        """
        self.listeners: list[Callable[[LoadReport], None]] = []
        self._is_up = True
        self._find_leaving = find_leaving
        self._read_lines = read_lines
        self._line_steps = (LineSteps(), LineSteps())
        self._pace_steps = PaceSteps(recorder)
        self._gate = gate
        self._alarm: Alarm | None = None
        self._instance = instance
        self._recorder = recorder

    def notify_changes(self) -> None:
        """Notify entries of changes of the load that affect them."""
        now = read_clock()
        percent = self._update_slowness(now)
        demand = self._gate.state.demand
        if (
            self._pace_steps.update(self._gate.state.pace, now=now)
            or demand.update_announcement(
                compute_pass_share(self._gate.state, now=now), now=now
            )
            or percent
            or _update_line_steps(self._line_steps, self._read_lines(), now)
        ):
            self._notify_listeners(self._describe_load(percent))
        self._plan_notification()

    def notify_leaving(self, _leaving_server: LeavingServer) -> None:
        """Notify entries that the backend server is leaving.

        Args:
            _leaving_server: not used; each report looks it up.
        """
        self._notify_listeners(self._describe_load(0))

    def notify_reachability(self, *, is_up: bool) -> None:
        """Notify entries whether the backend server accepts connections.

        Args:
            is_up: whether it does.
        """
        self._is_up = is_up
        self._notify_listeners(self._describe_load(0))

    def describe_initial_load(self) -> LoadReport | None:
        """Describe the load for an entry that has just connected.

        Returns:
            The load that other entries were notified of; None if the server
            has no restrictions.
        """
        load = self._describe_load(0)
        is_unrestricted = (
            load.is_up
            and load.share is None
            and load.leaving is None
            and not load.pace_percent
        )
        return None if is_unrestricted else load

    def encode_rate_limit(self) -> int:
        """Encode the rate limit of the backend server.

        Returns:
            Limit in thousandths of a request per second; negative if there
            is none or if it is not known yet.
        """
        rate = self._gate.state.rate
        per_second = rate.find_rate(read_clock())
        if rate.is_observed or per_second is not None:
            return encode_rate(per_second)
        return UNKNOWN_RATE

    def describe_share(self) -> PassShare | None:
        """Describe which share of their requests entries may send.

        Returns:
            The share for each rank; None if all requests may be sent.
        """
        share = compute_pass_share(self._gate.state, now=read_clock())
        return None if share == ALL_PASS else share

    def _plan_notification(self) -> None:
        # Without requests nothing else tells entries that the overload is over.
        is_set = self._alarm is not None and self._alarm.is_set
        if is_set or self._gate.state.demand.announced == ALL_PASS:
            return
        self._alarm = self._gate.alarms.set(
            ANNOUNCE_INTERVAL_SECONDS, self.notify_changes
        )

    def _update_slowness(self, now: float) -> int:
        slowness = self._gate.state.slowness
        if not slowness.update_announcement(now=now):
            # Entries need not be notified.
            return 0
        kind = EventKind.backend_well
        if slowness.is_slow:
            kind = EventKind.backend_slow
        percent = round(slowness.announced_ratio * PERCENT)
        self._recorder.record(kind, inputs={'slowness_percent': percent})
        return percent

    def _describe_load(self, slowness_percent: int) -> LoadReport:
        state = self._gate.state
        incoming, outgoing = self._read_lines()
        return LoadReport(
            instance=self._instance,
            in_flight=len(state.running),
            limit=int(state.limit),
            queued=len(state.queue),
            is_up=self._is_up,
            slowness_percent=slowness_percent,
            rate_milli=self.encode_rate_limit(),
            share=self.describe_share(),
            leaving=self._find_leaving(),
            pace_percent=state.pace.encode(read_clock()),
            line=incoming,
            outgoing_line=outgoing,
        )

    def _notify_listeners(self, load: LoadReport) -> None:
        for notify in self.listeners:
            notify(load)


def _update_line_steps(
    line_steps: tuple[LineSteps, LineSteps],
    lines: tuple[LineState | None, LineState | None],
    now: float,
) -> bool:
    # A list, since each line has to be updated even if another has changed.
    return any(
        [
            steps.update(line, now=now)
            for steps, line in zip(line_steps, lines, strict=True)
        ]
    )
