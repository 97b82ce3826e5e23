"""Tests of the estimated slowness of an upstream."""

from __future__ import annotations

from math import inf

import pytest

from wagtaildale.errors.codes import Code
from wagtaildale.routing.slowness import (
    MAX_SLOWNESS,
    MIN_SLOWNESS,
    SLOWNESS_DECAY_SECONDS,
    USUAL_SPEED_DECAY_SECONDS,
    Slowness,
)
from wagtaildale.routing.statistics import FleetStatistics
from wagtaildale.routing.upstream import OwnerReport
from wagtaildale.types import Incarnation, InstanceId

NOW = 1000.0


def build_report(
    *,
    run: float = 0.2,
    recent: float = 0.2,
    usual: float = 0.2,
) -> OwnerReport:
    return OwnerReport(
        incarnation=Incarnation(1),
        in_flight=0,
        limit=4,
        queued=0,
        run_seconds=run,
        class_seconds=recent,
        class_usual_seconds=usual,
        code=Code.ok,
    )


def find_slowness(*reports: OwnerReport, after: float = 0) -> float:
    statistics = FleetStatistics()
    names = [InstanceId(str(number)) for number in range(len(reports))]
    for name, report in zip(names, reports, strict=True):
        upstream = statistics.find(name, now=NOW)
        statistics.note_run_time(upstream, report, class_name='lookup', now=NOW)
    last = statistics.find(names[-1], now=NOW)
    return last.slowness.estimate(NOW + after)


def test_one_answer_shows_that_a_server_is_slow() -> None:
    """Prevents lookups from staying with a server on a slow machine.

    Each entry of a large fleet sends it a request every few seconds and
    measures single runs, while the owner has measured hundreds.
    """
    usual = build_report()
    slow = build_report(run=0.2, recent=0.4, usual=0.4)
    assert find_slowness(usual, slow) > 1.8
    assert find_slowness(usual, slow, after=SLOWNESS_DECAY_SECONDS) > 1.7


def test_slowness_decays_sooner_than_the_usual_speed() -> None:
    """A server that hung for a moment must not be avoided for a minute."""
    usual = build_report()
    paused = build_report(recent=0.8, usual=0.2)
    assert find_slowness(usual, paused) > 3
    after = find_slowness(usual, paused, after=SLOWNESS_DECAY_SECONDS)
    assert after == pytest.approx(1, abs=0.1)


def test_wrong_report_expires() -> None:
    """A nonsensical report must not keep a server unused for good."""
    wrong = build_report(recent=1e9, usual=1e9)
    assert find_slowness(build_report(), wrong) <= MAX_SLOWNESS
    after = find_slowness(
        build_report(), wrong, after=USUAL_SPEED_DECAY_SECONDS
    )
    assert after == pytest.approx(1)


@pytest.mark.parametrize('ratio', [0, 1e-9, 1e9, inf])
def test_reported_ratio_is_bounded(ratio: float) -> None:
    slowness = Slowness(now=NOW)
    slowness.note_reported_times(ratio, usual_ratio=ratio, now=NOW)
    assert MIN_SLOWNESS <= slowness.estimate(NOW) <= MAX_SLOWNESS


def test_slowness_without_reports_follows_measured_times() -> None:
    """Owners of an earlier build do not report the times of their runs."""
    usual = build_report()
    silent = build_report(run=0.8, recent=0, usual=0)
    statistics = FleetStatistics()
    upstream = statistics.find(InstanceId('a'), now=NOW)
    other = statistics.find(InstanceId('b'), now=NOW)
    for _answer in range(30):
        for each, report in ((other, usual), (upstream, silent)):
            statistics.note_run_time(each, report, class_name='lookup', now=NOW)
    assert upstream.slowness.estimate(NOW) > 1.3


def test_pace_is_kept_until_it_is_old() -> None:
    """An entry waits for work at a server that has become slow."""
    slowness = Slowness(now=0)
    slowness.note_pace(250, now=1)
    assert slowness.estimate_pace(1) == pytest.approx(2.5)
    assert slowness.has_fresh_pace(1)
    assert slowness.estimate_pace(2) == 1
    assert not slowness.has_fresh_pace(2)


def test_pace_of_a_new_upstream_is_usual() -> None:
    """A server that reports no pace counts as one with a fresh report."""
    slowness = Slowness(now=0)
    assert slowness.estimate_pace(0) == 1
    assert not slowness.has_fresh_pace(0)


def test_pace_replaces_recent_run_times_but_not_the_usual_speed() -> None:
    """A server is avoided for seconds after a slow period of half a second."""
    slowness = Slowness(now=0)
    slowness.note_reported_times(3.0, usual_ratio=1.5, now=1)
    slowness.note_pace(100, now=1)
    assert slowness.estimate(1) == pytest.approx(1.5)
    slowness.note_pace(200, now=1.1)
    assert slowness.estimate(1.1) == pytest.approx(3.0, rel=0.01)
    assert slowness.estimate(2) == pytest.approx(1.5, rel=0.02)


def test_constant_wrong_pace_cancels_out() -> None:
    """A server that reports any constant pace is avoided or overloaded.

    The owner divides the usual time by the reported pace.
    """
    slowness = Slowness(now=0)
    slowness.note_reported_times(1.0, usual_ratio=10.0, now=1)
    slowness.note_pace(10, now=1)
    assert slowness.estimate(1) == pytest.approx(1.0)


def test_hanging_server_is_avoided_without_a_pace() -> None:
    """A server that hangs reports nothing, and its last pace was usual."""
    slowness = Slowness(now=0)
    slowness.note_reported_times(1.0, usual_ratio=1.0, now=1)
    slowness.note_pace(100, now=1)
    slowness.note_unfinished_attempt(3.0, now=2)
    assert slowness.estimate(2) == pytest.approx(3.0)
    slowness.note_pace(100, now=2.5)
    assert slowness.estimate(2.5) == pytest.approx(1.0)
