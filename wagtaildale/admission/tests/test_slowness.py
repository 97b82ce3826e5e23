"""Tests of the detection that a backend server is slower than usual."""

from __future__ import annotations

from wagtaildale.admission.slowness import ANNOUNCE_INTERVAL_SECONDS, Slowness


def feed(slowness: Slowness, *ratios: float, now: float) -> bool:
    for ratio in ratios:
        slowness.note(ratio)
    return slowness.update_announcement(now=now)


def test_slow_server_is_announced_after_some_runs() -> None:
    slowness = Slowness()
    assert not feed(slowness, 1.1, 0.9, 1.2, now=1)
    assert feed(slowness, 4, 4, 4, now=2)
    assert slowness.is_slow


def test_one_long_run_is_not_announced() -> None:
    """One response in a hundred takes several times the usual time."""
    assert not feed(Slowness(), 5, now=1)


def test_recovered_server_is_announced() -> None:
    slowness = Slowness()
    feed(slowness, *((5,) * 10), now=1)
    assert not feed(slowness, 1, now=2), 'not yet'
    assert feed(slowness, *((1,) * 5), now=3)
    assert not slowness.is_slow


def test_changes_are_announced_at_a_limited_rate() -> None:
    """Guards against messages to two hundred entries after every run.

    A server whose ratio is close to a threshold would send them.
    """
    slowness = Slowness()
    assert feed(slowness, *((5,) * 10), now=1)
    usual = (1,) * 20
    assert not feed(slowness, *usual, now=1 + ANNOUNCE_INTERVAL_SECONDS / 2)
    assert slowness.update_announcement(now=1 + ANNOUNCE_INTERVAL_SECONDS)


def test_abandoned_run_counts_only_if_it_took_long() -> None:
    slowness = Slowness()
    slowness.note_abandoned(0.1)
    assert slowness.ratio == 1
    for _run in range(8):
        slowness.note_abandoned(3)
    assert slowness.update_announcement(now=1)
