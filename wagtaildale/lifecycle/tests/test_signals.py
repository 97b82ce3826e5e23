"""Tests of what the daemon does with signals."""

from __future__ import annotations

import signal
import sys
import threading
from itertools import count
from typing import TYPE_CHECKING, Any

import pytest

from wagtaildale.calls.tests.pairs import TIMEOUT_SECONDS
from wagtaildale.daemon import Signals
from wagtaildale.telemetry.events import EventKind
from wagtaildale.testing.builders import build_recorder

if TYPE_CHECKING:
    from collections.abc import Iterator

HANDLED_SIGNALS = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)


@pytest.fixture(autouse=True)
def _handlers() -> Iterator[None]:
    """Restore the signal handlers after the test."""
    before = {number: signal.getsignal(number) for number in HANDLED_SIGNALS}
    yield
    for number, signal_handler in before.items():
        signal.signal(number, signal_handler)


class InterruptedWait:
    """A wait that is interrupted by a signal at a given step.

    Signal handlers run in the main thread, between two steps of its code.
    Here a tracing function calls the handler at the given step, in a separate
    thread, so that a deadlock blocks only that thread.

    Attributes:
        is_delivered: whether the wait has reached the step.
    """

    def __init__(self, signals: Signals, *, step: int) -> None:
        self.is_delivered = False
        self._signals = signals
        self._step = step
        self._steps = count(1)
        self._thread = threading.Thread(target=self._wait, daemon=True)

    def finishes(self) -> bool:
        self._thread.start()
        self._thread.join(TIMEOUT_SECONDS)
        return not self._thread.is_alive()

    def _wait(self) -> None:
        sys.settrace(self._trace)
        self._signals.wait(0.01)
        sys.settrace(None)

    def _trace(self, frame: Any, event: str, argument: Any) -> Any:
        if event == 'line' and next(self._steps) == self._step:
            sys.settrace(None)
            self.is_delivered = True
            signal_handler = signal.getsignal(signal.SIGTERM)
            assert callable(signal_handler)
            signal_handler(signal.SIGTERM, frame)
        return self._trace


def test_signal_at_any_step_of_the_wait_starts_the_stop() -> None:
    """A process ignores the signal to stop until it is killed.

    The signal arrives while the main thread holds the lock of the object it
    waits for, shortly before or after each wait. The handler runs in the same
    thread, acquires the same lock and deadlocks.
    """
    for step in count(1):
        signals = Signals(build_recorder(), stop_waiting=lambda: None)
        wait = InterruptedWait(signals, step=step)
        assert wait.finishes(), f'the signal came at step {step}'
        if not wait.is_delivered:
            break
        assert signals.wait(0)
    assert step > 1


def test_signal_that_changes_nothing_is_recorded_outside_its_handler() -> None:
    """A process deadlocks on SIGHUP after its settings file has changed.

    The signal arrives while the main thread records an event and holds the
    lock of the recorder's clock. A handler that records an event itself would
    wait for that lock in the same thread, so the event is recorded later.
    """
    recorder = build_recorder()
    signals = Signals(recorder, stop_waiting=lambda: None)
    signal_handler = signal.getsignal(signal.SIGHUP)
    assert callable(signal_handler)
    signal_handler(signal.SIGHUP, None)
    assert not recorder.read_since(0)
    assert not signals.wait(0)
    kinds = [event.kind for event in recorder.read_since(0)]
    assert kinds == [EventKind.settings_kept]


@pytest.mark.parametrize(
    ('further', 'ends_wait'), [(signal.SIGTERM, False), (signal.SIGINT, True)]
)
def test_only_an_interrupt_during_the_stop_ends_its_wait(
    further: signal.Signals, ends_wait: bool
) -> None:
    """A supervisor sends SIGTERM twice, and all work in flight is cut."""
    ended_waits: list[bool] = []
    signals = Signals(
        build_recorder(), stop_waiting=lambda: ended_waits.append(True)
    )
    for number in (signal.SIGTERM, further):
        signal_handler = signal.getsignal(number)
        assert callable(signal_handler)
        signal_handler(number, None)
    assert signals.wait(0)
    assert bool(ended_waits) is ends_wait
