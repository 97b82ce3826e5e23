"""Tests of servers that name how many requests a second they take."""

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
from wagtaildale.admission.tests.gates import RUN_SECONDS, SimulatedGate
from wagtaildale.errors.codes import Code

WINDOW: Final = 4.0
# What users bear in such a window.
ALLOWED_SHARE: Final = 1.5
ALLOWED_MORE: Final = 5
URGENT: Final = 0
USUAL: Final = 1


def find_allowed(limit: float) -> float:
    return ALLOWED_SHARE * limit * WINDOW + ALLOWED_MORE


@pytest.mark.parametrize('limit', [0, 0.3, 1, 2.3, 19.1, 60])
@pytest.mark.parametrize('asked', [5, 100, 600])
def test_any_window_has_what_the_server_takes(
    limit: float,
    asked: float,
) -> None:
    """A quick server gets many times its rate with few requests running."""
    gate = SimulatedGate()
    gate.limit = limit
    gate.run(12, per_second={USUAL: asked})
    told = 4 * RUN_SECONDS
    assert gate.find_max_arrivals(WINDOW, since=told) <= find_allowed(limit)
    taken = gate.count_arrivals(told)
    assert taken >= 0.9 * min(asked, limit) * (12 - told) - 2


@pytest.mark.parametrize('limits', [(50, 5), (5, 50), (20, 0.5), (3, 30)])
def test_limit_that_changes_is_followed(limits: tuple[float, float]) -> None:
    """A server lowers its limit, and gets as many as before."""
    before, after = limits
    gate = SimulatedGate()
    gate.limit = before
    gate.run(6, per_second={USUAL: 200})
    gate.limit = after
    gate.run(6, per_second={USUAL: 200})
    # At a low rate the next answer may take as long as a token.
    told = 6 + 4 * RUN_SECONDS + 1 / before
    assert gate.find_max_arrivals(WINDOW, since=told) <= find_allowed(after)
    last = gate.count_arrivals(gate.now - WINDOW)
    assert last >= 0.9 * min(after, 200) * WINDOW - 2


@pytest.mark.parametrize('limit', [0, 0.2, 10])
def test_limit_ends_when_the_server_names_none(limit: float) -> None:
    """A server is well again, and nobody asks it to find out."""
    gate = SimulatedGate()
    gate.limit = limit
    gate.run(4, per_second={USUAL: 100})
    gate.limit = None
    gate.run(4, per_second={USUAL: 100})
    assert gate.count_arrivals(gate.now - 1) >= 95


def test_burst_after_a_quiet_spell_is_bounded() -> None:
    """Nobody asks for a minute, and a server in need gets a minute's worth."""
    gate = SimulatedGate()
    gate.limit = 10
    gate.run(2, per_second={USUAL: 100})
    gate.now += 60
    since = gate.now
    gate.run(1, per_second={USUAL: 300})
    assert gate.count_arrivals(since) <= 10 + 5 + 1


def test_answers_of_older_requests_do_not_end_a_limit() -> None:
    """Answers to requests from before the need come after it was named."""
    rate = RateLimit()
    rate.note_answer(5, begun_at=2, now=3)
    rate.note_answer(None, begun_at=1, now=4)
    rate.note_answer(50, begun_at=1, now=4)
    assert rate.per_second == 5
    rate.note_answer(4, begun_at=1, now=4)
    assert rate.per_second == 4
    rate.note_answer(None, begun_at=3, now=5)
    assert rate.per_second is None


def test_limit_that_entries_bring_counts_until_the_server_is_heard() -> None:
    """An owner that has just started knows no limit of its server."""
    gate = SimulatedGate()
    brought = RateForwarded(per_second=2)
    decide_admission(brought, gate.state, now=gate.now)
    for _time in range(20):
        gate.ask()
    assert len(gate.arrivals) == 1
    gate.run(2, per_second={USUAL: 10})
    decide_admission(brought, gate.state, now=gate.now)
    assert gate.state.rate.per_second is None


def test_server_that_starts_anew_has_named_nothing() -> None:
    """A server is back after its end, and is held to an old limit."""
    gate = SimulatedGate()
    gate.limit = 1
    gate.run(2, per_second={USUAL: 50})
    gate.limit = None
    decide_admission(ServerRestarted(), gate.state, now=gate.now)
    since = gate.now
    gate.run(1, per_second={USUAL: 50})
    assert gate.count_arrivals(since) >= 45


def test_requests_of_the_node_itself_count() -> None:
    """A server in need gets health checks beside all that it takes."""
    rate = RateLimit()
    rate.note_answer(1, begun_at=0, now=0)
    rate.take_token(now=0)
    before = rate.find_wait(USUAL, ahead=0, now=0)
    gate = SimulatedGate()
    gate.state.rate = rate
    decide_admission(ProbeSent(), gate.state, now=0)
    assert rate.find_wait(USUAL, ahead=0, now=0) == before + 1


def test_least_important_are_refused_first() -> None:
    """Bookings meet an empty bucket as often as reports do."""
    gate = SimulatedGate()
    gate.limit = 30
    gate.run(8, per_second={URGENT: 20, USUAL: 100})
    since = 2
    urgent = gate.count_arrivals(since, rank=URGENT)
    assert urgent >= 0.95 * 20 * (gate.now - since)
    assert gate.count_arrivals(since) <= 31 * (gate.now - since)


def test_requests_that_a_new_limit_leaves_no_time_are_refused_at_once() -> None:
    """Callers in the queue wait until they are late, only to be refused."""
    gate = SimulatedGate(slots=1)
    for _time in range(4):
        gate.ask()
    assert not gate.refusals
    gate.limit = 1
    gate.run(2 * RUN_SECONDS, per_second={})
    refused = [each for each, _rank in gate.refusals]
    assert {each.code for each in refused} == {Code.rate_limited}


def test_refusal_says_when_the_rate_allows_another() -> None:
    """Callers come back at once to a server that takes one in two seconds."""
    gate = SimulatedGate()
    gate.limit = 0.5
    gate.run(2, per_second={USUAL: 50})
    last = gate.refusals[-1][0]
    assert isinstance(last, Refused)
    assert 0 < last.retry_after <= 2 * WINDOW


def test_answer_without_a_limit_turns_nobody_away() -> None:
    """A request whose turn has come is refused by the answer before it."""
    gate = SimulatedGate(slots=1)
    state = gate.state
    gate.ask()
    gate.ask()
    gate.now = state.queue[0].start_by
    told = RateReported(per_second=None, begun_at=0)
    assert not decide_admission(told, state, now=gate.now)
    finished = RequestFinished(ticket=TicketId(1), seconds=RUN_SECONDS)
    admitted = decide_admission(finished, state, now=gate.now)
    assert admitted == [Admitted(ticket=TicketId(2))]
