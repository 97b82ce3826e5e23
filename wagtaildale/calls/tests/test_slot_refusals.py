"""Tests of the limits on attempts after an owner had no free slot."""

from __future__ import annotations

from typing import Final

import pytest

from wagtaildale.calls.entry.attempts import MAX_REJECTIONS, Attempts
from wagtaildale.calls.entry.budgets import RetryBudget
from wagtaildale.calls.failures import CallFailed
from wagtaildale.errors.codes import Code
from wagtaildale.routing.table import DEFAULT_RETRIES
from wagtaildale.testing.builders import build_retry_limits
from wagtaildale.types import InstanceId, Outcome

NOT_RUN: Final = CallFailed(Code.overloaded)
A: Final = InstanceId('a')


def build_attempts() -> Attempts:
    budget = RetryBudget(build_retry_limits(slack=3), now=0)
    return Attempts(idempotent=True, deadline=10, budget=budget, tried=[A])


def test_missing_slot_spends_nothing() -> None:
    """Requests that only looked for a slot use up retries for failures."""
    attempts = build_attempts()
    tokens = attempts.budget.tokens
    assert attempts.try_after_missing_slot(NOT_RUN, instance=A, now=1)
    assert attempts.budget.tokens == tokens
    assert attempts.retries_left == DEFAULT_RETRIES
    assert attempts.rejections_left == MAX_REJECTIONS


def test_upstream_without_a_free_slot_may_queue_the_request() -> None:
    """A request avoids the server that would answer first.

    It is not asked a second time, and the attempts keep distinct numbers, by
    which their answers are matched.
    """
    attempts = build_attempts()
    assert attempts.try_after_missing_slot(NOT_RUN, instance=A, now=1)
    assert not attempts.list_excluded()
    assert attempts.list_excluded(asks_free_slot=True) == {A}
    assert attempts.sent_count == 1


@pytest.mark.parametrize(
    ('failure', 'now'),
    [
        (CallFailed(Code.draining), 1),
        (CallFailed(Code.overloaded, outcome=Outcome.unknown), 1),
        (CallFailed(Code.overloaded, was_rejected_by_server=True), 1),
        (CallFailed(Code.overloaded), 10),
    ],
)
def test_other_failures_of_an_attempt_that_asked_are_not_free(
    failure: CallFailed, now: float
) -> None:
    """A request that a server has received is repeated without a token."""
    attempts = build_attempts()
    assert not attempts.try_after_missing_slot(failure, instance=A, now=now)
    assert attempts.tried == [A]


def test_retries_do_not_ask() -> None:
    """The number of messages of a request has no bound."""
    attempts = build_attempts()
    assert not attempts.may_ask_free_slot
    attempts.try_after_missing_slot(NOT_RUN, instance=A, now=1)
    allowed = [attempts.may_ask_free_slot]
    attempts.crash_count = 1
    allowed.append(attempts.may_ask_free_slot)
    assert allowed == [True, False]
