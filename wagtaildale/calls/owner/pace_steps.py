"""Tells when entries and operators are to learn of a server's pace."""

from __future__ import annotations

from typing import TYPE_CHECKING

from wagtaildale.telemetry.events import EventKind

if TYPE_CHECKING:
    from wagtaildale.admission.pace import Pace
    from wagtaildale.telemetry.events import EventRecorder


class PaceSteps:
    """Records when reports are contradicted, and tells whom to notify."""

    def __init__(self, recorder: EventRecorder) -> None:
        """Start with reports that are not contradicted.

        Args:
            recorder: recorder of an event when run times contradict the
                reports, and when they agree again.
        """
        self._recorder = recorder
        self._was_contradicted = False

    def update(self, pace: Pace, *, now: float) -> bool:
        """Update what entries and operators know of the pace.

        Args:
            pace: pace of the backend server.
            now: current time, seconds.

        Returns:
            Whether entries are to be notified.
        """
        if pace.is_contradicted is not self._was_contradicted:
            self._was_contradicted = pace.is_contradicted
            self._record_event(pace)
        return pace.update_announcement(now)

    def _record_event(self, pace: Pace) -> None:
        kind = EventKind.pace_confirmed
        if pace.is_contradicted:
            kind = EventKind.pace_contradicted
        self._recorder.record(
            kind,
            inputs={
                'reported_percent': pace.reported.percent,
                'measured_percent': pace.measured.percent,
            },
        )
