"""Tests of how fast an upstream is taken to be."""

from __future__ import annotations

from math import inf

import pytest

from wagtaildale.errors.codes import Code
from wagtaildale.routing.speed import (
    MIN_SLOWNESS,
    MAX_SLOWNESS,
    SLOWNESS_DECAY_SECONDS,
    USUAL_SPEED_DECAY_SECONDS,
    Speed,
)
from wagtaildale.routing.statistics import FleetStatistics
from wagtaildale.routing.upstream import OwnerReport
from wagtaildale.types import Incarnation, InstanceId

NOW = 1000.0


def build_report(
    *,
    run: float = 0.2,
    now: float = 0.2,
    usual: float = 0.2,
) -> OwnerReport:
    return OwnerReport(
        incarnation=Incarnation(1),
        in_flight=0,
        limit=4,
        queued=0,
        run_seconds=run,
        class_seconds=now,
        class_usual_seconds=usual,
        code=Code.ok,
    )


def find_slowness(*reports: OwnerReport, after: float = 0) -> float:
    statistics = FleetStatistics()
    names = [InstanceId(str(number)) for number in range(len(reports))]
    for name, report in zip(names, reports, strict=True):
        upstream = statistics.find(name, now=NOW)
        statistics.note_speed(upstream, report, work_class='lookup', now=NOW)
    last = statistics.find(names[-1], now=NOW)
    return last.speed.find_slowness(NOW + after)


def test_one_answer_tells_that_a_server_is_slow() -> None:
    """Lookups stay with a server on a slow machine.

    Each entry of a large fleet asks it every few seconds, and sees one run
    at a time. The owner has seen hundreds of them.
    """
    usual = build_report()
    slow = build_report(run=0.2, now=0.4, usual=0.4)
    assert find_slowness(usual, slow) > 1.8
    assert find_slowness(usual, slow, after=SLOWNESS_DECAY_SECONDS) > 1.7


def test_a_passing_slowness_is_forgotten_and_the_speed_kept() -> None:
    """A server stood still for a moment and gets no requests for a minute."""
    usual = build_report()
    paused = build_report(now=0.8, usual=0.2)
    assert find_slowness(usual, paused) > 3
    after = find_slowness(usual, paused, after=SLOWNESS_DECAY_SECONDS)
    assert after == pytest.approx(1, abs=0.1)


def test_a_wrong_word_is_forgotten_in_the_end() -> None:
    """An owner tells nonsense, and its server is left alone for good."""
    wrong = build_report(now=1e9, usual=1e9)
    assert find_slowness(build_report(), wrong) <= MAX_SLOWNESS
    after = find_slowness(
        build_report(), wrong, after=USUAL_SPEED_DECAY_SECONDS
    )
    assert after == pytest.approx(1)


@pytest.mark.parametrize('ratio', [0, 1e-9, 1e9, inf])
def test_what_is_told_is_bounded(ratio: float) -> None:
    speed = Speed(now=NOW)
    speed.note_reported(ratio, usual_ratio=ratio, now=NOW)
    assert MIN_SLOWNESS <= speed.find_slowness(NOW) <= MAX_SLOWNESS


def test_owner_that_tells_nothing_is_judged_by_what_is_seen() -> None:
    """Half of a fleet runs an earlier build, which does not tell its times."""
    usual = build_report()
    silent = build_report(run=0.8, now=0, usual=0)
    statistics = FleetStatistics()
    upstream = statistics.find(InstanceId('a'), now=NOW)
    other = statistics.find(InstanceId('b'), now=NOW)
    for _answer in range(30):
        for each, report in ((other, usual), (upstream, silent)):
            statistics.note_speed(each, report, work_class='lookup', now=NOW)
    assert upstream.speed.find_slowness(NOW) > 1.3
