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
        since: when it came, seconds on the clock, as all here.
        deadline: when its caller waits no more.
        running_since: when it went to the backend server; the same as
            ``since`` before that.
        delay: for how long its last message was held up on its way.
    """

    def __init__(self) -> None:
        """Begin when the call comes."""
        self.since = read_clock()
        self.deadline = self.since
        self.running_since = self.since
        self.delay = float(0)

    @property
    def is_past_deadline(self) -> bool:
        """Whether nobody waits for the call any more."""
        return read_clock() >= self.deadline

    def count_down(self, fields: CallFields, *, since: float) -> None:
        """Count the deadline from the time that is left.

        Args:
            fields: of the message that has come.
            since: when it came.
        """
        self.deadline = since + fields.remaining_ms / MILLISECONDS

    def begin_run(self) -> None:
        """Learn that the call goes to the backend server now."""
        self.running_since = read_clock()

    def measure(self) -> float:
        """Measure how long the call has been at its owner.

        Returns:
            Seconds.
        """
        return read_clock() - self.since

    def measure_run(self) -> float:
        """Measure how long the call has been at the backend server.

        Returns:
            Seconds.
        """
        return read_clock() - self.running_since

    def describe_wait(self, *, has_run: bool) -> Inputs:
        """Describe for the log what the call waited for.

        Args:
            has_run: whether it went to the backend server.

        Returns:
            Milliseconds on its way and at its owner.
        """
        until = self.running_since if has_run else read_clock()
        return {
            'held_up_ms': _to_ms(self.delay),
            'waited_ms': _to_ms(until - self.since),
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
