"""Records what a backend server in slow start gets, and why it is in one."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from wagtaildale.telemetry.events import EventKind
from wagtaildale.timers.service import read_clock

if TYPE_CHECKING:
    from wagtaildale.admission.rates import RateLimit
    from wagtaildale.admission.slow_start import SlowStartBound
    from wagtaildale.telemetry.events import EventRecorder, Inputs

MILLISECONDS: Final = 1000


class SlowStartRecord:
    """Events and counts of the slow starts of the server beside a node.

    Attributes:
        sent_count: number of requests sent to a server in slow start.
        most_sent: largest number of requests in one second that a server in
            slow start was sent.
        begun_at: when the last bound began, seconds on the clock.
    """

    def __init__(self, rate: RateLimit, *, recorder: EventRecorder) -> None:
        """Start with no slow start.

        Args:
            rate: rate limit of the server.
            recorder: recorder of the events.
        """
        self.sent_count = 0
        self.most_sent = 0
        self.begun_at = float(0)
        self._rate = rate
        self._recorder = recorder

    def note_sent(self) -> Inputs:
        """Count a request that is sent to the server.

        Returns:
            Log inputs for the request; empty if the server is warm.
        """
        now = read_clock()
        bound = self._rate.find_slow_start(now)
        if bound is None:
            return {}
        sent = self._rate.recent_sends.count(now)
        self.sent_count += 1
        self.most_sent = max(self.most_sent, sent)
        return {'cold_ms': _to_ms(bound.until - now), 'sent_in_second': sent}

    def record_begun(self, bound: SlowStartBound, *, origin: str) -> None:
        """Record that a bound is in force from now on.

        Args:
            bound: the bound.
            origin: what tells that the server is cold, or may be.
        """
        now = read_clock()
        self.begun_at = now
        self._recorder.record(
            EventKind.slow_start_began,
            inputs={
                'origin': origin,
                'left_ms': _to_ms(bound.until - now),
                'per_second': str(bound.per_second),
                'sent_in_second': self._rate.recent_sends.count(now),
            },
        )

    def record_ended(self, *, asked_at: float) -> None:
        """Record that the server has reported that it is warm.

        Args:
            asked_at: when the health check was sent, seconds on the clock.
        """
        now = read_clock()
        self._recorder.record(
            EventKind.slow_start_ended,
            inputs={
                'lasted_ms': _to_ms(now - self.begun_at),
                'asked_ms_ago': _to_ms(now - asked_at),
                'sent_in_second': self._rate.recent_sends.count(now),
            },
        )


def _to_ms(seconds: float) -> int:
    return round(seconds * MILLISECONDS)
