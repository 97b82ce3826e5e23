"""Checks whether a run ends before the process of its owner does.

Load pattern: runs take many times as long as ever while nodes stop one after
the other. What another server can run is therefore left to it unless the caller
gives up before the end of this process.
"""

from __future__ import annotations

from math import inf
from typing import TYPE_CHECKING, Final

from wagtaildale.calls.answer_times import AnswerTimes
from wagtaildale.calls.failures import CallFailed
from wagtaildale.calls.stop_schedule import NOT_STOPPING
from wagtaildale.errors.codes import Code
from wagtaildale.timers.service import read_clock

if TYPE_CHECKING:
    from collections.abc import Callable

    from wagtaildale.calls.wire.fields import CallFields

MILLISECONDS: Final = 1000


class FinishCheck:
    """Compares the time of a class with what is left of a stopping process.

    A process that ends cuts the runs at its backend server.

    Attributes:
        answer_times: times of answers of the server, for each class.
        stop_schedule: when this process ends, if it stops.
    """

    def __init__(self, *, has_other_server: Callable[[], bool]) -> None:
        """Start with a process that does not stop.

        Args:
            has_other_server: tells whether another server of the service is
                listed.
        """
        self._has_other_server = has_other_server
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
            seconds=self._find_seconds(fields),
            deadline=now + fields.remaining_ms / MILLISECONDS,
            arrived_at=now,
        )
        if now > latest_start:
            raise CallFailed(
                Code.stopping,
                detail='the process of the owner ends too soon',
                retry_after=schedule.compute_retry_after(now),
            )

    def _find_seconds(self, fields: CallFields) -> float:
        if self._has_other_server():
            return inf
        return self.answer_times.find_bound(fields.work_class)
