"""Tests of whether a backend server is taken to be slower than usual."""

from __future__ import annotations

from wagtaildale.admission.condition import TELL_SECONDS, Condition


def feed(condition: Condition, *ratios: float, now: float) -> bool:
    for ratio in ratios:
        condition.note(ratio)
    return condition.take_change(now=now)


def test_server_that_turns_slow_is_told_after_some_runs() -> None:
    condition = Condition()
    assert not feed(condition, 1.1, 0.9, 1.2, now=1)
    assert feed(condition, 4, 4, 4, now=2)
    assert condition.is_slow


def test_one_long_run_is_no_change() -> None:
    """One answer in a hundred takes several times the usual time."""
    assert not feed(Condition(), 5, now=1)


def test_server_that_is_well_again_is_told() -> None:
    condition = Condition()
    feed(condition, *((5,) * 10), now=1)
    assert not feed(condition, 1, now=2), 'not yet'
    assert feed(condition, *((1,) * 5), now=3)
    assert not condition.is_slow


def test_changes_are_not_told_one_upon_the_other() -> None:
    """A server at the edge tells two hundred entries with each of its runs."""
    condition = Condition()
    assert feed(condition, *((5,) * 10), now=1)
    well = (1,) * 20
    assert not feed(condition, *well, now=1 + TELL_SECONDS / 2)
    assert condition.take_change(now=1 + TELL_SECONDS)


def test_run_that_was_given_up_counts_only_if_it_took_long() -> None:
    condition = Condition()
    condition.note_abandoned(0.1)
    assert condition.ratio == 1
    for _run in range(8):
        condition.note_abandoned(3)
    assert condition.take_change(now=1)
