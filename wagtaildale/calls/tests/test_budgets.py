"""Tests of the retries that all entries of a fleet send together."""

from __future__ import annotations

import random

import pytest

from wagtaildale.calls.entry.budgets import RetryBudget, compute_retry_limits
from wagtaildale.settings.model import BoundSettings
from wagtaildale.testing.builders import build_record
from wagtaildale.testing.loopback import make_host
from wagtaildale.testing.mesh import MeshNode

BOUNDS = BoundSettings(
    retry_share=0.2,
    retry_window_seconds=10.0,
    retry_slack=64,
)
STEP_SECONDS = 0.02
SEED = 1
ENTRIES = 16
# Instances that are still listed when the platform returns from an outage.
LISTED_AFTER_OUTAGE = 6


def simulate_retries(
    *, entries: int, requests_per_second: float, seconds: float
) -> list[int]:
    """Request one retry per step at each entry; return the retries by step."""
    random.seed(SEED)
    limits = compute_retry_limits(BOUNDS, entries=entries)
    budgets = [RetryBudget(limits, now=0) for _entry in range(entries)]
    requests_per_step = requests_per_second * STEP_SECONDS / entries
    pending_requests = float(0)
    spent: list[int] = []
    for step in range(int(seconds / STEP_SECONDS)):
        now = step * STEP_SECONDS
        pending_requests += requests_per_step
        spent.append(0)
        for budget in budgets:
            for _request in range(int(pending_requests)):
                budget.earn(now=now)
            spent[-1] += budget.spend(now=now)
        pending_requests -= int(pending_requests)
    return spent


def find_max_in_window(spent: list[int]) -> int:
    """Find the largest number of retries in any window."""
    window = int(BOUNDS.retry_window_seconds / STEP_SECONDS)
    return max(
        sum(spent[start : start + window])
        for start in range(0, len(spent), window // 20)
    )


@pytest.mark.parametrize('entries', [1, 12, 300])
def test_retries_stay_within_the_limit_when_all_servers_reject(
    entries: int,
) -> None:
    """Prevents a dozen entries from exceeding the operators' limit together.

    All servers reject requests, and each one would be retried. Tokens that
    every entry saves beyond its share add up to more retries in one window
    than the operators allow.
    """
    rate = 450.0
    spent = simulate_retries(
        entries=entries, requests_per_second=rate, seconds=30
    )
    window = BOUNDS.retry_window_seconds
    allowed = BOUNDS.retry_share * rate * window + BOUNDS.retry_slack
    # Calls that a retried request makes count as retries at other services, so
    # entries spend only a part of the limit.
    assert find_max_in_window(spent) <= 0.7 * allowed
    assert find_max_in_window(spent) >= 0.4 * allowed


@pytest.mark.parametrize('entries', [1, 12, 300])
def test_a_rarely_called_service_gets_retries_in_a_large_fleet(
    entries: int,
) -> None:
    """Few calls go to a service, and one of its servers goes down.

    Split among hundreds of entries, the slack gives none of them a whole
    retry. Some get one at random, and together they stay within the slack.
    """
    spent = simulate_retries(
        entries=entries, requests_per_second=1.0, seconds=30
    )
    assert 1 <= find_max_in_window(spent) <= BOUNDS.retry_slack


def test_slack_of_entries_that_start_keeps_to_the_limit() -> None:
    """Entries would keep the slack of a fleet of one after their first list."""
    random.seed(SEED)
    alone = compute_retry_limits(BOUNDS, entries=1)
    together = compute_retry_limits(BOUNDS, entries=ENTRIES)
    budgets = [RetryBudget(alone, now=0) for _entry in range(ENTRIES)]
    for budget in budgets:
        budget.replace_limits(together)
    assert sum(budget.tokens for budget in budgets) <= BOUNDS.retry_slack


def test_slack_of_all_entries_keeps_to_the_limit_while_the_list_is_short() -> (
    None
):
    """Entries that know few others would each take the slack of many."""
    records = [
        build_record(f'i-{number}', host=make_host(30 + number))
        for number in range(ENTRIES)
    ]
    with MeshNode(records[0]) as node:
        node.set_instances(*records)
        read_limits = node.calls.entry.parts.read_retry_limits
        read_limits()
        node.set_instances(*records[:LISTED_AFTER_OUTAGE])
        limits = read_limits()
    bounds = BoundSettings()
    # The slack is renewed once per window, so it can be spent twice in one.
    most_spent = 2 * ENTRIES * limits.slack
    assert most_spent <= bounds.retry_slack
