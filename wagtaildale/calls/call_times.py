"""The times of one call at its owner."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from wagtaildale.timers.service import read_clock

if TYPE_CHECKING:
    from wagtaildale.calls.fields import CallFields
    from wagtaildale.telemetry.events import Inputs

MILLISECONDS: Final = 1000


class CallTimes:
    """When a call came, began to run, and is to be over.

    Attributes:
        arrived_at: when it came, seconds on the clock, as all here.
        deadline: when its caller waits no more.
        run_started_at: when it went to the backend server; the same as
            ``arrived_at`` before that.
        transit_seconds: for how long its last message was held up on its way.
    """

    def __init__(self) -> None:
        """Begin when the call comes."""
        self.arrived_at = read_clock()
        self.deadline = self.arrived_at
        self.run_started_at = self.arrived_at
        self.transit_seconds = float(0)

    @property
    def is_past_deadline(self) -> bool:
        """Whether nobody waits for the call any more."""
        return read_clock() >= self.deadline

    def update_deadline(
        self, fields: CallFields, *, received_at: float
    ) -> None:
        """Count the deadline from the time that is left.

        Args:
            fields: of the message that has come.
            arrived_at: when it came.
        """
        self.deadline = received_at + fields.remaining_ms / MILLISECONDS

    def start_run(self) -> None:
        """Learn that the call goes to the backend server now."""
        self.run_started_at = read_clock()

    def measure_elapsed(self) -> float:
        """Measure how long the call has been at its owner.

        Returns:
            Seconds.
        """
        return read_clock() - self.arrived_at

    def measure_run(self) -> float:
        """Measure how long the call has been at the backend server.

        Returns:
            Seconds.
        """
        return read_clock() - self.run_started_at

    def describe_wait(self, *, has_run: bool) -> Inputs:
        """Describe for the log what the call waited for.

        Args:
            has_run: whether it went to the backend server.

        Returns:
            Milliseconds on its way and at its owner.
        """
        until = self.run_started_at if has_run else read_clock()
        return {
            'held_up_ms': _to_ms(self.transit_seconds),
            'waited_ms': _to_ms(until - self.arrived_at),
        }

    def describe_run(self, *, has_run: bool) -> Inputs:
        """Describe for the log how long the call ran.

        Args:
            has_run: whether it went to the backend server.

        Returns:
            Milliseconds at the backend server.
        """
        return {'took_ms': _to_ms(self.measure_run()) if has_run else 0}


def _to_ms(seconds: float) -> int:
    return round(seconds * MILLISECONDS)
