"""Compares the gate under a lock with a gate task that has an inbox.

Both make the same admission decisions.
"""

from __future__ import annotations

import time
from queue import SimpleQueue
from threading import Thread
from typing import TYPE_CHECKING, Final

from msgspec import Struct

from benchmarks.measurements import Measurement, find_percentile
from wagtaildale.admission.decisions import decide_admission
from wagtaildale.admission.gate import Gate
from wagtaildale.admission.limits import Ending
from wagtaildale.admission.messages import (
    Admitted,
    RequestArrived,
    RequestFinished,
    TicketId,
    Verdict,
)
from wagtaildale.admission.state import make_admission
from wagtaildale.timers.alarms import Alarms
from wagtaildale.timers.service import read_clock

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

SLOTS: Final = 10
PASSES: Final = 5000
MICROSECONDS: Final = 1_000_000
TARGET_MS: Final = 100
MEDIAN: Final = 50
TAIL: Final = 99


class Submission(Struct, frozen=True):
    """A message to the gate task and the queue for its verdicts."""

    message: RequestArrived | RequestFinished
    replies: SimpleQueue[list[Verdict]]


class GateTask:
    """Task that owns the admission state and receives messages."""

    def __init__(self) -> None:
        """Start the task."""
        self._state = make_admission(SLOTS)
        self._inbox: SimpleQueue[Submission | None] = SimpleQueue()
        self._thread = Thread(target=self._run, daemon=True)
        self._thread.start()

    def submit(
        self, message: RequestArrived | RequestFinished
    ) -> list[Verdict]:
        """Send a message and wait for the verdicts.

        Args:
            message: message to the gate.

        Returns:
            Verdicts on the message.
        """
        replies: SimpleQueue[list[Verdict]] = SimpleQueue()
        self._inbox.put(Submission(message, replies))
        return replies.get()

    def stop(self) -> None:
        """Stop the task and wait until it has ended."""
        self._inbox.put(None)
        self._thread.join()

    def _run(self) -> None:
        submission = self._inbox.get()
        while submission is not None:
            verdicts = decide_admission(
                submission.message,
                self._state,
                now=read_clock(),
            )
            submission.replies.put(verdicts)
            submission = self._inbox.get()


def measure_gates() -> Iterator[Measurement]:
    """Measure admission and release with one caller and an empty queue.

    Yields:
        Median and 99th percentile, with the gate task as baseline.
    """
    gate = Gate(make_admission(SLOTS), alarms=Alarms())
    task = GateTask()
    gate_durations = _measure_passes(lambda number: _pass_gate(gate))
    task_durations = _measure_passes(lambda number: _pass_task(task, number))
    task.stop()
    for percent in (MEDIAN, TAIL):
        yield Measurement(
            name=f'gate_pass_p{percent}_us',
            amount=find_percentile(gate_durations, percent=percent)
            * MICROSECONDS,
            unit='us',
            nodes=1,
            baseline='task-with-inbox',
            baseline_amount=(
                find_percentile(task_durations, percent=percent) * MICROSECONDS
            ),
        )


def _measure_passes(step: Callable[[int], None]) -> list[float]:
    durations: list[float] = []
    for number in range(1, PASSES):
        started = time.perf_counter()
        step(number)
        durations.append(time.perf_counter() - started)
    return durations


def _pass_gate(gate: Gate) -> None:
    verdicts: list[Verdict] = []
    arrived = RequestArrived(within_ms=TARGET_MS, deadline=read_clock() + 1)
    ticket = gate.request_slot(arrived, verdicts.append)
    assert isinstance(verdicts[0], Admitted)
    gate.release_slot(ticket, seconds=0.001, ending=Ending.good)


def _pass_task(task: GateTask, number: int) -> None:
    ticket = TicketId(number)
    arrived = RequestArrived(
        ticket=ticket,
        within_ms=TARGET_MS,
        deadline=read_clock() + 1,
    )
    task.submit(arrived)
    task.submit(RequestFinished(ticket=ticket, seconds=0.001))
