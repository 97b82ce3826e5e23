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

TAKEN = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)


@pytest.fixture(autouse=True)
def _handlers() -> Iterator[None]:
    """Give the test's own handlers back."""
    before = {number: signal.getsignal(number) for number in TAKEN}
    yield
    for number, taker in before.items():
        signal.signal(number, taker)


class InterruptedWait:
    """A wait for the signal, which comes at a given step of the wait.

    A handler runs in the main thread, in between two steps of whatever that
    is at. Here a tracing function calls it there, in a thread of its own:
    one that never ends is left behind.
    """

    def __init__(self, signals: Signals, *, step: int) -> None:
        self.has_come = False
        self._signals = signals
        self._step = step
        self._steps = count(1)
        self._thread = threading.Thread(target=self._wait, daemon=True)

    def ends(self) -> bool:
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
            self.has_come = True
            taker = signal.getsignal(signal.SIGTERM)
            assert callable(taker)
            taker(signal.SIGTERM, frame)
        return self._trace


def test_signal_at_any_step_of_the_wait_begins_the_stop() -> None:
    """A process that is asked to stop works on, and is killed.

    The signal comes while the main thread holds the lock of what it waits
    for, as it does for a moment before and after each wait. The handler runs
    in the same thread, asks for the same lock, and waits for ever.
    """
    for step in count(1):
        signals = Signals(build_recorder(), hurry=lambda: None)
        wait = InterruptedWait(signals, step=step)
        assert wait.ends(), f'the signal came at step {step}'
        if not wait.has_come:
            break
        assert signals.wait(0)
    assert step > 1


def test_signal_that_changes_nothing_is_recorded_outside_its_handler() -> None:
    """A process stands still for ever after its settings file has changed.

    The signal comes while the main thread records an event and holds the
    lock of the recorder's clock. The handler, in the same thread, records
    one itself and waits for that lock. Now it only leaves word.
    """
    recorder = build_recorder()
    signals = Signals(recorder, hurry=lambda: None)
    taker = signal.getsignal(signal.SIGHUP)
    assert callable(taker)
    taker(signal.SIGHUP, None)
    assert not recorder.read_since(0)
    assert not signals.wait(0)
    kinds = [event.kind for event in recorder.read_since(0)]
    assert kinds == [EventKind.settings_kept]
