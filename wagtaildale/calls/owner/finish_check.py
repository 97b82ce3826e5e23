"""Checks whether a run ends before the process of its owner does."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from wagtaildale.calls.answer_times import AnswerTimes
from wagtaildale.calls.failures import CallFailed
from wagtaildale.calls.stop_schedule import NOT_STOPPING
from wagtaildale.errors.codes import Code
from wagtaildale.timers.service import read_clock

if TYPE_CHECKING:
    from wagtaildale.calls.wire.fields import CallFields

MILLISECONDS: Final = 1000


class FinishCheck:
    """Compares the time of a class with what is left of a stopping process.

    A process that ends cuts the runs at its backend server.

    Attributes:
        answer_times: times of answers of the server, for each class.
        stop_schedule: when this process ends, if it stops.
    """

    def __init__(self) -> None:
        """Start with a process that does not stop."""
        self.answer_times = AnswerTimes()
        self.stop_schedule = NOT_STOPPING

    def check(self, fields: CallFields) -> None:
        """Check that a run that starts now is answered in time.

        Args:
            fields: fields of the call.

        Raises:
            CallFailed: with outcome ``not_run``, if the process ends before
                the answer, as far as known.
        """
        schedule = self.stop_schedule
        if not schedule.is_stopping:
            return
        now = read_clock()
        latest_start = schedule.find_latest_start(
            seconds=self.answer_times.find_bound(fields.work_class),
            deadline=now + fields.remaining_ms / MILLISECONDS,
        )
        if now > latest_start:
            raise CallFailed(
                Code.stopping,
                detail='the process of the owner ends too soon',
                retry_after=schedule.compute_retry_after(now),
            )
