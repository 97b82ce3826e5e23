"""Tests of the repeats that all entries of a fleet make together."""

from __future__ import annotations

import random

import pytest

from wagtaildale.calls.budgets import RetryBudget, compute_retry_share
from wagtaildale.settings.model import BoundSettings

BOUNDS = BoundSettings(
    retry_share=0.2,
    retry_window_seconds=10.0,
    retry_slack=64,
)
STEP_SECONDS = 0.02
SEED = 1


def play(
    *, entries: int, requests_a_second: float, seconds: float
) -> list[int]:
    """Let every request want a repeat; give the repeats of each step."""
    random.seed(SEED)
    share = compute_retry_share(BOUNDS, entries=entries)
    budgets = [RetryBudget(share, now=0) for _entry in range(entries)]
    each = requests_a_second * STEP_SECONDS / entries
    owed = float(0)
    spent: list[int] = []
    for step in range(int(seconds / STEP_SECONDS)):
        now = step * STEP_SECONDS
        owed += each
        spent.append(0)
        for budget in budgets:
            for _request in range(int(owed)):
                budget.earn(now=now)
            spent[-1] += budget.spend(now=now)
        owed -= int(owed)
    return spent


def find_most(spent: list[int]) -> int:
    """Find the most repeats in any window."""
    window = int(BOUNDS.retry_window_seconds / STEP_SECONDS)
    return max(
        sum(spent[start : start + window])
        for start in range(0, len(spent), window // 20)
    )


@pytest.mark.parametrize('entries', [1, 12, 300])
def test_a_service_that_refuses_everywhere(entries: int) -> None:
    """All servers of a service turn requests away for a while.

    Each request would be sent a second time. Each entry kept to a share of
    its own, but had saved up some besides: together those of a dozen
    entries were over what the operators allow in one window.
    """
    rate = 450.0
    spent = play(entries=entries, requests_a_second=rate, seconds=30)
    window = BOUNDS.retry_window_seconds
    allowed = BOUNDS.retry_share * rate * window + BOUNDS.retry_slack
    # The calls of repeated requests count as repeats at other services.
    assert find_most(spent) <= 0.7 * allowed
    assert find_most(spent) >= 0.4 * allowed


@pytest.mark.parametrize('entries', [1, 12, 300])
def test_a_quiet_service_in_a_large_fleet(entries: int) -> None:
    """Hardly anybody calls a service, and one of its servers goes down.

    With the slack split among hundreds of entries none has a whole repeat
    to spend. Some of them get one by lot, and together they keep to it.
    """
    spent = play(entries=entries, requests_a_second=1.0, seconds=30)
    assert 1 <= find_most(spent) <= BOUNDS.retry_slack
