"""Tests of telling the end of a server from the end of a connection."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

import pytest

from wagtaildale.calls.backend.server_end_detector import (
    InterruptedRun,
    ServerEndDetector,
)
from wagtaildale.suspects.recent_answers import RecentAnswers
from wagtaildale.suspects.tests.builders import build_fingerprint
from wagtaildale.telemetry.events import EventKind
from wagtaildale.testing.builders import build_recorder
from wagtaildale.testing.suspects import SharedSuspects
from wagtaildale.types import InstanceId

if TYPE_CHECKING:
    from collections.abc import Callable

FINGERPRINT: Final = build_fingerprint()


class FakeAlarms:
    """Alarms that a test triggers by hand."""

    def __init__(self) -> None:
        self.waiting: list[Callable[[], None]] = []

    def set(self, seconds: float, work: Callable[[], None]) -> None:
        self.waiting.append(work)


class FakePool:
    """A pool with or without open connections, and its event loop."""

    def __init__(self, *, is_open: bool) -> None:
        self.alarms = FakeAlarms()
        self.loop = self
        self._is_open = is_open

    def has_open_connection(self) -> bool:
        return self._is_open


class DetectorHarness:
    """A detector, and the results that it gives to interrupted runs."""

    def __init__(self) -> None:
        self.suspects = SharedSuspects()
        self.recorder = build_recorder()
        self.answered = RecentAnswers()
        self.resolved: list[int] = []
        self.detector = ServerEndDetector(
            self.suspects.make_holder(),
            node=InstanceId('n-1'),
            answered=self.answered,
            recorder=self.recorder,
        )

    def make_run(
        self,
        *,
        ends: int = 0,
        is_leaving: bool = False,
    ) -> InterruptedRun:
        return InterruptedRun(
            instance=InstanceId('i-1'),
            fingerprint=FINGERPRINT,
            ends=ends,
            is_leaving=is_leaving,
            on_resolved=self.resolved.append,
        )

    def add(self, *runs: InterruptedRun, is_open: bool) -> FakePool:
        pool = FakePool(is_open=is_open)
        for run in runs:
            self.detector.add(run, pool=pool)  # type: ignore[arg-type]
        return pool


@pytest.fixture
def harness() -> DetectorHarness:
    return DetectorHarness()


def test_interrupted_answer_makes_no_request_suspected(
    harness: DetectorHarness,
) -> None:
    """Requests are suspected after a server lacks capacity for connections."""
    pool = harness.add(harness.make_run(), harness.make_run(), is_open=True)
    assert len(pool.alarms.waiting) == 1
    pool.alarms.waiting[0]()
    assert harness.resolved == [0, 0]
    assert not harness.suspects.table.records


def test_highest_number_of_known_ends_applies(harness: DetectorHarness) -> None:
    """Two runs end with a server; one started before an end was known."""
    harness.add(harness.make_run(ends=1), harness.make_run(), is_open=False)
    harness.detector.resolve(has_ended=True)
    assert harness.resolved == [2, 1]
    assert harness.suspects.table.records[FINGERPRINT].ends == 2
    assert harness.detector.count == 1


def test_end_of_a_leaving_server_makes_no_request_suspected(
    harness: DetectorHarness,
) -> None:
    harness.add(harness.make_run(is_leaving=True), is_open=False)
    harness.detector.resolve(has_ended=True)
    assert harness.resolved == [0]
    assert not harness.detector.count


def test_end_is_logged_once(harness: DetectorHarness) -> None:
    harness.add(harness.make_run(), harness.make_run(), is_open=False)
    harness.detector.resolve(has_ended=True)
    events = harness.recorder.read_since(0)
    assert [event.kind for event in events] == [EventKind.server_ended]
    assert events[0].detail == FINGERPRINT.hex()
    assert events[0].inputs == {'requests': 2, 'most_ends': 1}
