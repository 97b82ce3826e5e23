"""Tests of the limit that follows what is observed."""

from __future__ import annotations

import pytest

from wagtaildale.admission.limits import Ending, adjust_limit
from wagtaildale.admission.messages import TicketId
from wagtaildale.admission.run_times import MIN_RUNS
from wagtaildale.admission.state import AdmissionState, make_admission

SLOTS = 8


def build_busy() -> AdmissionState:
    state = make_admission(SLOTS)
    state.running = {TicketId(number): 0 for number in range(SLOTS)}
    return state


def feed(
    state: AdmissionState,
    ending: Ending,
    *,
    seconds: float,
    count: int,
) -> None:
    for number in range(count):
        adjust_limit(state, ending=ending, seconds=seconds, now=number)


def test_slow_but_steady_server_keeps_its_slots() -> None:
    """Lookups miss their target on a fleet that is half idle.

    Answers take 80 ms as they always do; measured against a guess of 5 ms
    they looked slow, and owners let one request through at a time.
    """
    state = build_busy()
    feed(state, Ending.good, seconds=0.08, count=50)
    assert state.limit == SLOTS


def test_server_that_slows_down_gets_less() -> None:
    state = build_busy()
    feed(state, Ending.good, seconds=0.01, count=50)
    feed(state, Ending.good, seconds=0.2, count=20)
    assert state.limit < SLOTS


def test_failures_shrink_and_success_restores() -> None:
    state = build_busy()
    feed(state, Ending.failed, seconds=0, count=20)
    assert state.limit == 1
    feed(state, Ending.good, seconds=0.01, count=200)
    assert state.limit == SLOTS


def test_callers_that_hang_up_say_nothing_of_the_server() -> None:
    state = build_busy()
    feed(state, Ending.abandoned, seconds=9, count=20)
    assert state.limit == SLOTS


def test_usual_time_is_told_once_it_is_known() -> None:
    """A healthy server gets no lookups for a minute.

    Its first run opened a connection and took a hundred times as long as the
    rest. Told as the usual time it kept every entry away, and nothing showed
    that it was wrong.
    """
    state = make_admission(SLOTS)
    work_class = 'files/lookup'

    def run(seconds: float, count: int) -> None:
        for _run in range(count):
            adjust_limit(
                state,
                ending=Ending.good,
                seconds=seconds,
                now=0,
                work_class=work_class,
            )

    run(0.1, 1)
    assert not state.find_run_times(work_class).reliable_mean
    run(0.001, MIN_RUNS - 1)
    assert 0.001 < state.find_run_times(work_class).reliable_mean < 0.02
    run(0.001, 100)
    assert state.find_run_times(work_class).reliable_mean < 0.002


def test_server_whose_runs_are_all_given_up_is_known_to_be_slow() -> None:
    """A server turns slow, and lookups keep going there.

    Each of them is answered by a second attempt elsewhere and given up here,
    so that no run ever ends and tells how long it takes.
    """
    state = make_admission(SLOTS)
    for ending, seconds in (
        *((Ending.good, 0.2) for _run in range(20)),
        *((Ending.abandoned, 0.6) for _run in range(20)),
    ):
        adjust_limit(
            state,
            ending=ending,
            seconds=seconds,
            now=0,
            work_class='files/lookup',
        )
    usual = state.find_run_times('files/lookup')
    assert usual.recent > 0.5
    assert usual.reliable_mean == pytest.approx(0.2)


def test_run_that_is_given_up_early_tells_nothing() -> None:
    """Callers leave at once, and the server is taken for a fast one."""
    state = make_admission(SLOTS)
    for ending, seconds in ((Ending.good, 0.2), (Ending.abandoned, 0.01)):
        adjust_limit(
            state,
            ending=ending,
            seconds=seconds,
            now=0,
            work_class='files/lookup',
        )
    assert state.find_run_times('files/lookup').recent == pytest.approx(0.2)
