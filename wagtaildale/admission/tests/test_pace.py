"""Tests of the pace that backend servers report."""

from __future__ import annotations

from typing import Final

import pytest

from wagtaildale.admission.pace import (
    DECAY_SECONDS,
    MAX_PERCENT,
    ReportedPace,
)

SLOW_PERCENT: Final = 250
SLOW: Final = 2.5


def test_pace_is_usual_before_a_report() -> None:
    """A server that reports no pace is expected to be faster or slower."""
    pace = ReportedPace()
    assert pace.estimate(5) == 1
    assert not pace.is_fresh(0)


def test_pace_applies_until_the_next_report() -> None:
    pace = ReportedPace()
    pace.note(SLOW_PERCENT, now=1)
    assert pace.estimate(1) == pytest.approx(SLOW)
    pace.note(50, now=1.1)
    assert pace.estimate(1.1) == pytest.approx(0.5)


def test_deviation_decays_without_a_report() -> None:
    """An avoided server gets no request, so no report shows its recovery."""
    pace = ReportedPace()
    pace.note(SLOW_PERCENT, now=1)
    assert pace.estimate(1 + DECAY_SECONDS / 2) == pytest.approx(1.75)
    assert pace.is_fresh(1 + DECAY_SECONDS / 2)
    assert pace.estimate(1 + DECAY_SECONDS) == 1
    assert not pace.is_fresh(1 + DECAY_SECONDS)


def test_report_without_a_pace_ends_the_last_one() -> None:
    """A server of an earlier build inherits the pace of its predecessor."""
    pace = ReportedPace()
    pace.note(SLOW_PERCENT, now=1)
    pace.note(0, now=1.1)
    assert pace.estimate(1.1) == 1
    assert pace.encode(1.1) == 0


@pytest.mark.parametrize('percent', [-5, 10**9])
def test_reports_out_of_range_are_limited(percent: int) -> None:
    """Nonsense from another node makes an expected time negative or huge."""
    pace = ReportedPace()
    pace.note(percent, now=1)
    assert 0 <= pace.percent <= MAX_PERCENT


def test_encoded_pace_is_never_unknown() -> None:
    """A very fast server looks like one that reports no pace."""
    pace = ReportedPace()
    pace.note(1, now=1)
    assert pace.encode(1) == 1
