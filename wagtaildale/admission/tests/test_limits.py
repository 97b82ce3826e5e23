"""Tests of the concurrency limit that adjusts to observed run times."""

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
    """Guards against lookups that miss their target on a half idle fleet.

    Responses that always take 80 ms look slow next to an assumed run time of
    5 ms, and owners would admit one request at a time.
    """
    state = build_busy()
    feed(state, Ending.good, seconds=0.08, count=50)
    assert state.limit == SLOTS


def test_limit_decreases_when_the_server_slows_down() -> None:
    state = build_busy()
    feed(state, Ending.good, seconds=0.01, count=50)
    feed(state, Ending.good, seconds=0.2, count=20)
    assert state.limit < SLOTS


def test_failures_decrease_and_successes_restore_the_limit() -> None:
    state = build_busy()
    feed(state, Ending.failed, seconds=0, count=20)
    assert state.limit == 1
    feed(state, Ending.good, seconds=0.01, count=200)
    assert state.limit == SLOTS


def test_abandoned_requests_do_not_change_the_limit() -> None:
    state = build_busy()
    feed(state, Ending.abandoned, seconds=9, count=20)
    assert state.limit == SLOTS


def test_usual_time_is_published_after_enough_runs() -> None:
    """Guards against a healthy server that gets no lookups for a minute.

    The first run opens a connection and takes a hundred times as long as
    others. Published as the usual time it keeps every entry away, so no
    further run corrects it.
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


def test_server_whose_runs_are_all_abandoned_is_known_to_be_slow() -> None:
    """Guards against sending lookups to a server that became slow.

    Second attempts elsewhere answer all of them, and the runs here are
    abandoned, so no completed run shows how long they take.
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
    run_times = state.find_run_times('files/lookup')
    assert run_times.recent > 0.5
    assert run_times.reliable_mean == pytest.approx(0.2)


def test_run_abandoned_early_does_not_change_the_recent_time() -> None:
    """Callers that disconnect at once must not make the server look fast."""
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
