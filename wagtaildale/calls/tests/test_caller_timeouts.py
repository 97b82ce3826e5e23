"""Tests of how much of its time a request is taken to have used."""

from __future__ import annotations

import random

from wagtaildale.calls.caller_timeouts import CallerTimeouts

LOOKUP = 'files/lookup'
LIMIT_MS = 5000


def test_caller_that_comes_back_has_used_time() -> None:
    times = CallerTimeouts()
    for _request in range(20):
        assert not times.estimate_elapsed_ms(LOOKUP, LIMIT_MS)
    assert times.estimate_elapsed_ms(LOOKUP, 3000) > 1900


def test_under_overload_first_tries_are_still_told_from_others() -> None:
    """Every caller is refused twice and comes back."""
    times = CallerTimeouts()
    used = [
        times.estimate_elapsed_ms(LOOKUP, given)
        for _caller in range(50)
        for given in (LIMIT_MS, 3400, 2300)
    ]
    assert not any(used[::3])
    assert min(used[31::3]) > 1500
    assert min(used[32::3]) > 2600


def test_callers_that_differ_tell_nothing() -> None:
    """One lookup in ten is late on a calm day, and servers are idle.

    Callers wait for five seconds, some for half a second less and some for
    half a second more. Next to the most patient one nearly every request
    looked as if its target was missed already, which is 0.6 s; it was sent
    to other data centres, and refused where it could have waited.
    """
    draw = random.Random(1)
    times = CallerTimeouts()
    used = [
        times.estimate_elapsed_ms(
            LOOKUP, round(LIMIT_MS * draw.uniform(0.85, 1.15))
        )
        for _request in range(2000)
    ]
    assert not any(used)


def test_few_patient_callers_change_nothing_for_the_others() -> None:
    """One caller in twenty-five waits half as long again."""
    draw = random.Random(1)
    times = CallerTimeouts()
    for _request in range(500):
        is_patient = draw.random() < 0.04
        given = LIMIT_MS * 3 // 2 if is_patient else LIMIT_MS
        assert not times.estimate_elapsed_ms(LOOKUP, given)
