"""Tests of backend servers that name a request rate limit."""

from __future__ import annotations

from typing import Final

import pytest

from wagtaildale.admission.decisions import decide_admission
from wagtaildale.admission.messages import (
    Admitted,
    Refused,
    RequestFinished,
    TicketId,
)
from wagtaildale.admission.rates import RateLimit
from wagtaildale.admission.server_messages import (
    ProbeSent,
    RateForwarded,
    RateReported,
    ServerRestarted,
)
from wagtaildale.admission.tests.simulated_gate import (
    RUN_SECONDS,
    SimulatedGate,
)
from wagtaildale.errors.codes import Code

WINDOW_SECONDS: Final = 4.0
# What users tolerate in such a window.
TOLERATED_FACTOR: Final = 1.5
TOLERATED_EXTRA: Final = 5
URGENT: Final = 0
USUAL: Final = 1


def find_tolerated(limit: float) -> float:
    return TOLERATED_FACTOR * limit * WINDOW_SECONDS + TOLERATED_EXTRA


@pytest.mark.parametrize('limit', [0, 0.3, 1, 2.3, 19.1, 60])
@pytest.mark.parametrize('sent', [5, 100, 600])
def test_arrivals_in_any_window_match_the_limit(
    limit: float,
    sent: float,
) -> None:
    """Slots alone allow a fast server to get many times its rate."""
    gate = SimulatedGate()
    gate.limit = limit
    gate.run(12, per_second={USUAL: sent})
    learned_at = 4 * RUN_SECONDS
    assert gate.find_max_arrivals(
        WINDOW_SECONDS, since=learned_at
    ) <= find_tolerated(limit)
    taken = gate.count_arrivals(learned_at)
    assert taken >= 0.9 * min(sent, limit) * (12 - learned_at) - 2


@pytest.mark.parametrize('limits', [(50, 5), (5, 50), (20, 0.5), (3, 30)])
def test_limit_that_changes_is_followed(limits: tuple[float, float]) -> None:
    """Guards against keeping the old rate after a server lowers its limit."""
    before, after = limits
    gate = SimulatedGate()
    gate.limit = before
    gate.run(6, per_second={USUAL: 200})
    gate.limit = after
    gate.run(6, per_second={USUAL: 200})
    # At a low rate the next response may take as long as the next token.
    learned_at = 6 + 4 * RUN_SECONDS + 1 / before
    assert gate.find_max_arrivals(
        WINDOW_SECONDS, since=learned_at
    ) <= find_tolerated(after)
    last = gate.count_arrivals(gate.now - WINDOW_SECONDS)
    assert last >= 0.9 * min(after, 200) * WINDOW_SECONDS - 2


@pytest.mark.parametrize('limit', [0, 0.2, 10])
def test_limit_ends_when_a_response_names_none(limit: float) -> None:
    """A recovered server must get requests, or its recovery stays unknown."""
    gate = SimulatedGate()
    gate.limit = limit
    gate.run(4, per_second={USUAL: 100})
    gate.limit = None
    gate.run(4, per_second={USUAL: 100})
    assert gate.count_arrivals(gate.now - 1) >= 95


def test_burst_after_an_idle_period_is_bounded() -> None:
    """Guards against a minute's worth of requests after an idle minute."""
    gate = SimulatedGate()
    gate.limit = 10
    gate.run(2, per_second={USUAL: 100})
    gate.now += 60
    since = gate.now
    gate.run(1, per_second={USUAL: 300})
    assert gate.count_arrivals(since) <= 10 + 5 + 1


def test_responses_to_older_requests_do_not_end_a_limit() -> None:
    """Responses to requests sent before the limit may arrive after it."""
    rate = RateLimit()
    rate.note_answer(5, begun_at=2, now=3)
    rate.note_answer(None, begun_at=1, now=4)
    rate.note_answer(50, begun_at=1, now=4)
    assert rate.per_second == 5
    rate.note_answer(4, begun_at=1, now=4)
    assert rate.per_second == 4
    rate.note_answer(None, begun_at=3, now=5)
    assert rate.per_second is None


def test_forwarded_limit_applies_until_the_server_responds() -> None:
    """An owner that has just started does not know the limit of its server."""
    gate = SimulatedGate()
    forwarded = RateForwarded(per_second=2)
    decide_admission(forwarded, gate.state, now=gate.now)
    for _request in range(20):
        gate.send_request()
    assert len(gate.arrivals) == 1
    gate.run(2, per_second={USUAL: 10})
    decide_admission(forwarded, gate.state, now=gate.now)
    assert gate.state.rate.per_second is None


def test_restarted_server_has_no_limit() -> None:
    """Guards against applying the old limit after a restart."""
    gate = SimulatedGate()
    gate.limit = 1
    gate.run(2, per_second={USUAL: 50})
    gate.limit = None
    decide_admission(ServerRestarted(), gate.state, now=gate.now)
    since = gate.now
    gate.run(1, per_second={USUAL: 50})
    assert gate.count_arrivals(since) >= 45


def test_health_checks_take_tokens() -> None:
    """Otherwise health checks exceed the limit of a server under load."""
    rate = RateLimit()
    rate.note_answer(1, begun_at=0, now=0)
    rate.take_token(None, now=0)
    before = rate.find_wait(USUAL, ahead=0, now=0)
    gate = SimulatedGate()
    gate.state.rate = rate
    decide_admission(ProbeSent(), gate.state, now=0)
    assert rate.find_wait(USUAL, ahead=0, now=0) == before + 1


def test_low_priority_requests_are_refused_first() -> None:
    """Otherwise bookings find the bucket empty as often as reports do."""
    gate = SimulatedGate()
    gate.limit = 30
    gate.run(8, per_second={URGENT: 20, USUAL: 100})
    since = 2
    urgent = gate.count_arrivals(since, rank=URGENT)
    assert urgent >= 0.95 * 20 * (gate.now - since)
    assert gate.count_arrivals(since) <= 31 * (gate.now - since)


def test_queued_requests_that_a_new_limit_delays_are_refused_at_once() -> None:
    """Otherwise they wait until they are late, only to be refused then."""
    gate = SimulatedGate(slots=1)
    for _request in range(4):
        gate.send_request()
    assert not gate.refusals
    gate.limit = 1
    gate.run(2 * RUN_SECONDS, per_second={})
    refused = [each for each, _rank in gate.refusals]
    assert {each.code for each in refused} == {Code.rate_limited}


def test_refusal_tells_when_the_rate_allows_a_retry() -> None:
    """Otherwise callers retry at once at a server that takes 0.5 a second."""
    gate = SimulatedGate()
    gate.limit = 0.5
    gate.run(2, per_second={USUAL: 50})
    last = gate.refusals[-1][0]
    assert isinstance(last, Refused)
    assert 0 < last.retry_after <= 2 * WINDOW_SECONDS


def test_response_without_a_limit_refuses_no_request() -> None:
    """Guards against refusing a due request when the one before it ends."""
    gate = SimulatedGate(slots=1)
    state = gate.state
    gate.send_request()
    gate.send_request()
    gate.now = state.queue[0].start_by
    report = RateReported(per_second=None, begun_at=0)
    assert not decide_admission(report, state, now=gate.now)
    finished = RequestFinished(ticket=TicketId(1), seconds=RUN_SECONDS)
    admitted = decide_admission(finished, state, now=gate.now)
    assert admitted == [Admitted(ticket=TicketId(2))]
