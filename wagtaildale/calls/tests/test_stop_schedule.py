"""Tests of what fits into the life of a process that stops."""

from __future__ import annotations

import random
from math import inf

import pytest

from wagtaildale.calls.answer_times import AnswerTimes
from wagtaildale.calls.entry.attempts import Attempts, Obstacle
from wagtaildale.calls.entry.budgets import RetryBudget
from wagtaildale.calls.failures import CallFailed
from wagtaildale.calls.stop_schedule import (
    DELIVERY_SECONDS,
    NOT_STOPPING,
    StopSchedule,
)
from wagtaildale.errors.codes import Code
from wagtaildale.testing.builders import build_retry_limits
from wagtaildale.types import InstanceId

CLASS = 'casefiles/report'
EARLY = 102
LATE = 103.5
SCHEDULE = StopSchedule(
    callers_move_at=102.4, estimates_until=103, ends_at=105.3
)


def build_attempts() -> Attempts:
    attempts = Attempts(
        idempotent=True,
        deadline=108,
        budget=RetryBudget(build_retry_limits(slack=9), now=100),
    )
    attempts.latest_start = 103
    return attempts


def test_work_that_fits_may_start_until_its_time_is_over() -> None:
    """Rejecting early leaves callers without another node unserved."""
    latest = SCHEDULE.find_latest_start(
        seconds=2, deadline=108, arrived_at=EARLY
    )
    assert latest == pytest.approx(105.3 - DELIVERY_SECONDS - 2)


@pytest.mark.parametrize(
    ('seconds', 'deadline', 'expected'),
    [(inf, 108, 0), (inf, 104, inf), (9, 104, inf), (9, 105.29, 96.2)],
)
def test_deadline_before_the_end_needs_no_comparison(
    seconds: float, deadline: float, expected: float
) -> None:
    latest = SCHEDULE.find_latest_start(
        seconds=seconds, deadline=deadline, arrived_at=EARLY
    )
    assert latest == pytest.approx(expected)


@pytest.mark.parametrize(
    ('deadline', 'expected'), [(108, 0), (105.25, 0), (105.1, inf)]
)
def test_late_request_counts_with_its_deadline(
    deadline: float, expected: float
) -> None:
    """A request that takes longer than its class ever has is cut."""
    latest = SCHEDULE.find_latest_start(
        seconds=0.05, deadline=deadline, arrived_at=LATE
    )
    assert latest == pytest.approx(expected)


def test_nothing_is_limited_without_a_stop() -> None:
    assert not NOT_STOPPING.is_stopping
    latest = NOT_STOPPING.find_latest_start(
        seconds=2, deadline=108, arrived_at=LATE
    )
    assert latest == inf


@pytest.mark.parametrize(
    ('now', 'expected'), [(101, 1.4), (103, 2.3), (106, 0)]
)
def test_rejected_callers_return_when_another_node_serves_them(
    now: float, expected: float
) -> None:
    """Callers spend their retries at the node that has just rejected them."""
    assert SCHEDULE.compute_retry_after(now) == pytest.approx(expected)


def test_steady_times_give_a_close_bound() -> None:
    times = AnswerTimes()
    for _answer in range(20):
        times.note(CLASS, 2)
    assert 2 <= times.find_bound(CLASS) < 2.05


def test_bound_covers_varying_times() -> None:
    """A request that takes longer than most is cut at the end of a stop."""
    draw = random.Random(7)
    times = AnswerTimes()
    samples = [draw.lognormvariate(0, 0.4) for _answer in range(2000)]
    exceeded = 0
    for sample in samples:
        exceeded += sample > times.find_bound(CLASS)
        times.note(CLASS, sample)
    assert exceeded <= 0.01 * len(samples)


def test_single_long_answer_is_forgotten() -> None:
    times = AnswerTimes()
    times.note(CLASS, 9)
    for _answer in range(1000):
        times.note(CLASS, 2)
    assert times.find_bound(CLASS) < 2.1


@pytest.mark.parametrize(('now', 'may_start'), [(103, True), (103.1, False)])
def test_further_attempts_start_only_if_their_answer_is_in_time(
    now: float, may_start: bool
) -> None:
    """A retry, a hedge or a second question for a slot is cut at the end."""
    refused = CallFailed(Code.draining)
    overloaded = CallFailed(Code.overloaded)
    instance = InstanceId('b')
    attempts = build_attempts()
    attempts.tried.append(instance)
    assert attempts.may_hedge(now) is may_start
    assert attempts.try_redirect(refused, now=now) is may_start
    assert attempts.try_retry(refused, now=now, replayable=True) is may_start
    assert (attempts.obstacle is Obstacle.stopping) is not may_start
    assert (
        attempts.try_after_missing_slot(overloaded, instance=instance, now=now)
        is may_start
    )
