"""Tests of telling a server that ended from a connection that did."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

import pytest

from wagtaildale.calls.server_ends import CutRun, ServerEnds
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
    """Alarms that a test lets strike."""

    def __init__(self) -> None:
        self.waiting: list[Callable[[], None]] = []

    def set(self, seconds: float, work: Callable[[], None]) -> None:
        self.waiting.append(work)


class FakePool:
    """A pool whose connections stand, or not; also its own loop."""

    def __init__(self, *, stands: bool) -> None:
        self.alarms = FakeAlarms()
        self.loop = self
        self._stands = stands

    def has_standing(self) -> bool:
        return self._stands


class Judged:
    """What runs that were cut are told."""

    def __init__(self) -> None:
        self.suspects = SharedSuspects()
        self.recorder = build_recorder()
        self.answered = RecentAnswers()
        self.told: list[int] = []
        self.ends = ServerEnds(
            self.suspects.make_board(),
            node=InstanceId('n-1'),
            answered=self.answered,
            recorder=self.recorder,
        )

    def cut(self, *, ends: int = 0, is_leaving: bool = False) -> CutRun:
        return CutRun(
            instance=InstanceId('i-1'),
            fingerprint=FINGERPRINT,
            ends=ends,
            is_leaving=is_leaving,
            conclude=self.told.append,
        )

    def hold(self, *cuts: CutRun, stands: bool) -> FakePool:
        pool = FakePool(stands=stands)
        for cut in cuts:
            self.ends.hold(cut, pool=pool)  # type: ignore[arg-type]
        return pool


@pytest.fixture
def judged() -> Judged:
    return Judged()


def test_answer_that_was_broken_off_blames_nobody(judged: Judged) -> None:
    """A server resets what it has no room for, and callers are suspected."""
    pool = judged.hold(judged.cut(), judged.cut(), stands=True)
    assert len(pool.alarms.waiting) == 1
    pool.alarms.waiting[0]()
    assert judged.told == [0, 0]
    assert not judged.suspects.table.records


def test_run_that_knew_of_most_ends_counts(judged: Judged) -> None:
    """Two runs of a request end with a server, one begun before word came."""
    judged.hold(judged.cut(ends=1), judged.cut(), stands=False)
    judged.ends.conclude(has_ended=True)
    assert judged.told == [2, 1]
    assert judged.suspects.table.records[FINGERPRINT].ends == 2
    assert judged.ends.count == 1


def test_server_that_was_to_end_blames_nobody(judged: Judged) -> None:
    judged.hold(judged.cut(is_leaving=True), stands=False)
    judged.ends.conclude(has_ended=True)
    assert judged.told == [0]
    assert not judged.ends.count


def test_end_is_one_line_of_the_log(judged: Judged) -> None:
    judged.hold(judged.cut(), judged.cut(), stands=False)
    judged.ends.conclude(has_ended=True)
    events = judged.recorder.read_since(0)
    assert [event.kind for event in events] == [EventKind.server_ended]
    assert events[0].detail == FINGERPRINT.hex()
    assert events[0].inputs == {'requests': 2, 'most_ends': 1}
