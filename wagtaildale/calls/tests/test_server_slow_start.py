"""Tests of what begins and ends the slow start of a server."""

from __future__ import annotations

from typing import Final

import pytest

from wagtaildale.admission.gate import Gate
from wagtaildale.admission.messages import RequestArrived, Verdict
from wagtaildale.calls.owner.server_slow_start import SlowStartTracker
from wagtaildale.configuration.model import SlowStart
from wagtaildale.settings.model import BoundSettings
from wagtaildale.telemetry.events import EventKind
from wagtaildale.testing.builders import build_gate, build_recorder
from wagtaildale.timers.service import read_clock
from wagtaildale.types import InstanceId

SLOW_START: Final = SlowStart(seconds=30, per_second=7.5)
MANY_SLOTS: Final = 10
FIRST: Final = InstanceId('i-1')
SECOND: Final = InstanceId('i-2')


class TrackedServer:
    """A server with its gate and tracker.

    Attributes:
        slow_start: how servers of the service start.
        gate: admission control of the server.
        tracker: tracker of its slow start.
        probes: number of health checks that were sent.
    """

    def __init__(self, slow_start: SlowStart | None = SLOW_START) -> None:
        self.gate: Gate = build_gate(MANY_SLOTS)
        self.slow_start = slow_start
        self.recorder = build_recorder()
        self.tracker = SlowStartTracker(
            self.gate,
            read_slow_start=lambda: self.slow_start,
            bounds=BoundSettings(slow_start_factor=1.5, slow_start_slack=8),
            recorder=self.recorder,
        )
        self.probes = 0
        self.tracker.probe_listeners.append(self._count_probe)

    def find_rate(self) -> float | None:
        """Find the rate that the server may get."""
        return self.gate.state.rate.find_rate(read_clock())

    def find_left_seconds(self) -> float:
        """Find how long the bound is still in force."""
        bound = self.gate.state.rate.slow_start
        return 0 if bound is None else bound.until - read_clock()

    def _count_probe(self) -> None:
        self.probes += 1


def test_server_that_started_is_cold() -> None:
    server = TrackedServer()
    server.tracker.note_started()
    assert server.find_rate() == 11.25


def test_server_that_may_have_started_is_asked() -> None:
    """A node that starts beside a cold server takes it for a warm one."""
    server = TrackedServer()
    server.tracker.note_unknown()
    assert server.find_rate() == 11.25
    assert server.probes == 1


def test_first_configuration_lets_nothing_through_between_two_bounds() -> None:
    """What waits is sent to a cold server while its bound is replaced."""
    server = TrackedServer()
    server.tracker.review_configuration(is_configured=False)
    verdicts: list[Verdict] = []
    for _request in range(6):
        server.gate.request_slot(
            RequestArrived(within_ms=2000, deadline=read_clock() + 3),
            verdicts.append,
        )
    sent = len(server.gate.state.running)
    server.tracker.review_configuration(is_configured=True)
    assert len(server.gate.state.running) == sent


def test_last_report_of_the_server_counts() -> None:
    """A server that is warm gets a cold one's rate for seconds."""
    server = TrackedServer()
    server.tracker.note_unknown()
    server.tracker.note_reported(0, asked_at=read_clock())
    assert server.find_rate() is None
    server.tracker.note_reported(2, asked_at=read_clock())
    assert server.find_rate() == 11.25
    kinds = [event.kind for event in server.recorder.read_since(0)]
    assert kinds.count(EventKind.slow_start_began) == 2
    assert kinds.count(EventKind.slow_start_ended) == 1


@pytest.mark.parametrize('left_seconds', [0, 0.5])
def test_answer_from_before_a_start_does_not_count(left_seconds: float) -> None:
    """A health check sent before a restart ends the slow start after it."""
    server = TrackedServer()
    asked_at = read_clock()
    server.tracker.note_unknown()
    server.tracker.note_started()
    server.tracker.note_reported(left_seconds, asked_at=asked_at)
    assert server.find_left_seconds() > 29


@pytest.mark.parametrize('left_seconds', [0, 0.5])
def test_false_answer_does_not_end_a_start_that_was_seen(
    left_seconds: float,
) -> None:
    """A server that has just started reports that it is warm, or is soon."""
    server = TrackedServer()
    server.tracker.note_started()
    server.tracker.note_reported(left_seconds, asked_at=read_clock())
    assert server.find_left_seconds() > 29


@pytest.mark.parametrize('left_seconds', [31, 999_999])
def test_slow_start_is_no_longer_than_published(left_seconds: float) -> None:
    """A false answer or entry bounds a warm server for days."""
    server = TrackedServer()
    server.tracker.note_reported(left_seconds, asked_at=read_clock())
    assert server.find_left_seconds() <= 30
    server.tracker.note_listed(FIRST, left_seconds)
    assert server.find_left_seconds() <= 30


def test_first_list_is_read_again_once_there_is_a_configuration() -> None:
    """The list comes before the configuration and is never looked at again."""
    server = TrackedServer(None)
    server.tracker.note_listed(FIRST, 2)
    server.slow_start = SLOW_START
    server.tracker.note_listed(FIRST, 2)
    assert server.find_rate() == 11.25


def test_list_begins_a_slow_start_once() -> None:
    """Each new list makes the slow start of a server begin again."""
    server = TrackedServer()
    server.tracker.note_listed(FIRST, 2)
    server.tracker.note_reported(0, asked_at=read_clock())
    server.tracker.note_listed(FIRST, 2)
    assert server.find_rate() is None
    server.tracker.note_listed(SECOND, 2)
    assert server.find_rate() == 11.25


def test_list_that_lags_does_not_end_a_slow_start() -> None:
    """The list still shows a server as warm that has just become cold."""
    server = TrackedServer()
    server.tracker.note_started()
    server.tracker.note_listed(FIRST, 0)
    assert server.find_rate() == 11.25


@pytest.mark.parametrize('left_seconds', [0, 5])
def test_service_without_slow_start_has_no_bound(left_seconds: float) -> None:
    """Services whose servers bear their usual rate at once are held back."""
    server = TrackedServer(None)
    server.tracker.note_started()
    server.tracker.note_unknown()
    server.tracker.note_listed(FIRST, left_seconds)
    server.tracker.note_reported(left_seconds, asked_at=read_clock())
    assert server.find_rate() is None
    assert not server.probes


def test_late_list_does_not_shorten_a_slow_start() -> None:
    """A list from before a restart ends the slow start too early."""
    server = TrackedServer()
    server.tracker.note_started()
    until = server.gate.state.rate.slow_start
    server.tracker.note_listed(FIRST, 0.5)
    assert until is not None
    assert server.gate.state.rate.slow_start is not None
    assert server.gate.state.rate.slow_start.until >= until.until
