"""The gate under a lock against the same decisions in a task of their own."""

from __future__ import annotations

import time
from queue import SimpleQueue
from threading import Thread
from typing import TYPE_CHECKING, Final

from msgspec import Struct

from benchmarks.figures import Figure, find_percentile
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
WITHIN_MS: Final = 100
MEDIAN: Final = 50
TAIL: Final = 99


class Question(Struct, frozen=True):
    """A message to the task, and where the verdict goes."""

    message: RequestArrived | RequestFinished
    answers: SimpleQueue[list[Verdict]]


class GateTask:
    """Owns the admission state; callers talk to it by messages."""

    def __init__(self) -> None:
        """Start the task."""
        self._state = make_admission(SLOTS)
        self._questions: SimpleQueue[Question | None] = SimpleQueue()
        self._thread = Thread(target=self._run, daemon=True)
        self._thread.start()

    def ask(self, message: RequestArrived | RequestFinished) -> list[Verdict]:
        """Ask and wait.

        Args:
            message: to the gate.

        Returns:
            The verdicts.
        """
        answers: SimpleQueue[list[Verdict]] = SimpleQueue()
        self._questions.put(Question(message, answers))
        return answers.get()

    def stop(self) -> None:
        """End the task."""
        self._questions.put(None)
        self._thread.join()

    def _run(self) -> None:
        question = self._questions.get()
        while question is not None:
            verdicts = decide_admission(
                question.message,
                self._state,
                now=read_clock(),
            )
            question.answers.put(verdicts)
            question = self._questions.get()


def measure_gates() -> Iterator[Figure]:
    """Measure entering and leaving, one caller, nobody waiting.

    Yields:
        Median and tail of both.
    """
    gate = Gate(make_admission(SLOTS), alarms=Alarms())
    task = GateTask()
    own = _measure(lambda number: _pass_gate(gate))
    other = _measure(lambda number: _pass_task(task, number))
    task.stop()
    for percent in (MEDIAN, TAIL):
        yield Figure(
            name=f'gate_pass_p{percent}_us',
            amount=find_percentile(own, percent=percent) * MICROSECONDS,
            unit='us',
            nodes=1,
            baseline='task-with-inbox',
            baseline_amount=(
                find_percentile(other, percent=percent) * MICROSECONDS
            ),
        )


def _measure(step: Callable[[int], None]) -> list[float]:
    spent: list[float] = []
    for number in range(1, PASSES):
        started = time.perf_counter()
        step(number)
        spent.append(time.perf_counter() - started)
    return spent


def _pass_gate(gate: Gate) -> None:
    verdicts: list[Verdict] = []
    arrived = RequestArrived(within_ms=WITHIN_MS, deadline=read_clock() + 1)
    ticket = gate.request_slot(arrived, verdicts.append)
    assert isinstance(verdicts[0], Admitted)
    gate.release_slot(ticket, seconds=0.001, ending=Ending.good)


def _pass_task(task: GateTask, number: int) -> None:
    ticket = TicketId(number)
    arrived = RequestArrived(
        ticket=ticket,
        within_ms=WITHIN_MS,
        deadline=read_clock() + 1,
    )
    task.ask(arrived)
    task.ask(RequestFinished(ticket=ticket, seconds=0.001))
