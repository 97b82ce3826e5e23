"""Timestamps and durations of one call at its owner."""

from __future__ import annotations

from math import inf
from typing import TYPE_CHECKING, Final

from wagtaildale.timers.service import read_clock

if TYPE_CHECKING:
    from wagtaildale.calls.wire.fields import CallFields
    from wagtaildale.telemetry.events import Inputs

MILLISECONDS: Final = 1000


class RunPauses:
    """Time in which a server waited for the caller to read the response."""

    def __init__(self) -> None:
        """Start without pauses."""
        self._began_at = inf
        self._seconds = float(0)

    def begin(self) -> None:
        """Record that the response is not read on."""
        self._began_at = min(self._began_at, read_clock())

    def end(self) -> None:
        """Record that the response is read on."""
        if self._began_at < inf:
            self._seconds = self.measure(read_clock())
            self._began_at = inf

    def measure(self, until: float) -> float:
        """Measure all pauses.

        Args:
            until: time up to which they count, seconds.

        Returns:
            Duration in seconds.
        """
        return self._seconds + max(0, until - self._began_at)


class CallTimes:
    """Timestamps of one call, in seconds on the clock.

    Attributes:
        arrived_at: time at which the call arrived at the owner.
        deadline: time at which the caller gives up.
        run_started_at: time at which the request was sent to the backend
            server; ``arrived_at`` until then.
        run_ended_at: time at which the backend server was done with the
            response; None until then.
        pauses: time in which the server waited for the caller.
        transit_seconds: time that the last message was delayed in transit.
    """

    def __init__(self) -> None:
        """Record the arrival of the call."""
        self.arrived_at = read_clock()
        self.deadline = self.arrived_at
        self.run_started_at = self.arrived_at
        self.run_ended_at: float | None = None
        self.pauses = RunPauses()
        self.transit_seconds = float(0)

    @property
    def is_past_deadline(self) -> bool:
        """Whether the caller has given up."""
        return read_clock() >= self.deadline

    def update_deadline(
        self,
        fields: CallFields,
        *,
        received_at: float,
    ) -> None:
        """Compute the deadline from the remaining time of a message.

        Args:
            fields: fields of the message, less its delay in transit.
            received_at: time at which the message arrived.
        """
        self.deadline = received_at + fields.remaining_ms / MILLISECONDS

    def start_run(self) -> None:
        """Record that the request is sent to the backend server now."""
        self.run_started_at = read_clock()
        self.run_ended_at = None

    def end_run(self) -> None:
        """Record that the backend server is done with the response."""
        self.run_ended_at = read_clock()

    def measure_elapsed(self) -> float:
        """Measure the time since the call arrived at the owner.

        Returns:
            Duration in seconds.
        """
        return read_clock() - self.arrived_at

    def measure_run(self) -> float:
        """Measure the time that the server had for the request so far.

        Returns:
            Duration in seconds, without the time in which the server waited
            for the caller to read; counted from the arrival of the call if the
            request was not sent.
        """
        ended_at = self.run_ended_at
        if ended_at is None:
            ended_at = read_clock()
        return ended_at - self.run_started_at - self.pauses.measure(ended_at)

    def measure_until_now(self) -> float:
        """Measure the time since the request was sent, with its delivery.

        Returns:
            Duration in seconds.
        """
        return read_clock() - self.run_started_at

    def describe_wait(self, *, has_run: bool) -> Inputs:
        """Build the log inputs for the time before the run.

        Args:
            has_run: whether the request was sent to the backend server.

        Returns:
            Milliseconds of delay in transit and of waiting at the owner.
        """
        until = self.run_started_at if has_run else read_clock()
        return {
            'held_up_ms': _to_ms(self.transit_seconds),
            'waited_ms': _to_ms(until - self.arrived_at),
        }

    def describe_run(self, *, has_run: bool) -> Inputs:
        """Build the log inputs for the duration of the run.

        Args:
            has_run: whether the request was sent to the backend server.

        Returns:
            Milliseconds at the backend server; 0 if it was not sent.
        """
        return {'took_ms': _to_ms(self.measure_run()) if has_run else 0}

    def describe_line(self) -> Inputs:
        """Build the log inputs for the time that the response waited to leave.

        Returns:
            Milliseconds since the server was done with the response; nothing
            if it was sent while it was read.
        """
        if self.run_ended_at is None:
            return {}
        return {'line_ms': _to_ms(read_clock() - self.run_ended_at)}


def _to_ms(seconds: float) -> int:
    return round(seconds * MILLISECONDS)
