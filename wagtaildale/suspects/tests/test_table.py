"""Tests of what a node holds of suspected requests."""

from __future__ import annotations

from itertools import permutations
from typing import Final

import pytest
from hypothesis import given
from hypothesis import strategies as st

from wagtaildale.suspects.records import (
    HARMFUL_SECONDS,
    SUSPECT_SECONDS,
    Standing,
    Suspicion,
    find_standing,
)
from wagtaildale.suspects.table import SuspectTable
from wagtaildale.suspects.tests.builders import (
    build_fingerprint,
    build_suspicion,
)

FINGERPRINT: Final = build_fingerprint()
suspicions = st.builds(
    Suspicion,
    st.sampled_from([build_fingerprint(f'/{each}') for each in range(3)]),
    st.integers(0, 2),
    st.integers(0, 4),
)


@given(st.lists(suspicions, max_size=4))
def test_order_of_word_does_not_matter(told: list[Suspicion]) -> None:
    sums = set()
    for order in permutations(told):
        made = SuspectTable()
        for suspicion in order:
            made.merge(suspicion, now=0)
        sums.add(made.compute_checksum())
    assert len(sums) == 1


@pytest.mark.parametrize(
    ('ends', 'rested', 'standing'),
    [
        (0, 0, Standing.clear),
        (1, 0, Standing.clear),
        (2, 0, Standing.trial),
        (3, 0.5, Standing.harmful),
        (3, 1, Standing.trial),
        (4, 59, Standing.harmful),
        (4, 60, Standing.trial),
        (5, 10_000, Standing.harmful),
    ],
)
def test_standing(ends: int, rested: float, standing: Standing) -> None:
    assert find_standing(ends, since=0, now=rested) is standing


def test_answered_request_is_cleared() -> None:
    """An answer comes while word of an earlier end is still under way."""
    made = SuspectTable()
    made.merge(build_suspicion(ends=2), now=0)
    made.clear(FINGERPRINT, now=0)
    assert not made.merge(build_suspicion(ends=3), now=0)
    assert made.is_behind(build_suspicion(ends=3))
    assert made.get_snapshot().find(FINGERPRINT).ends == 0
    assert made.merge(build_suspicion(clearings=1, ends=1), now=0)


def test_ends_count_for_callers_that_were_never_answered() -> None:
    """Servers end under a request whoever sends it; each caller is new."""
    made = SuspectTable()
    made.merge(build_suspicion(caller=b'a', ends=3), now=0)
    answered = build_fingerprint(caller=b'b')
    made.clear(answered, now=0)
    shown = made.get_snapshot()
    assert shown.find(build_fingerprint(caller=b'c')).ends == 3
    assert shown.find(answered).ends == 0


@pytest.mark.parametrize(
    ('ends', 'seconds'),
    [(1, SUSPECT_SECONDS), (3, HARMFUL_SECONDS)],
)
def test_request_that_comes_no_more_is_forgotten(
    ends: int,
    seconds: float,
) -> None:
    made = SuspectTable()
    made.merge(build_suspicion(ends=ends), now=0)
    assert not made.forget_old(now=seconds)
    assert made.forget_old(now=seconds + 1)
    assert not made.records


def test_request_that_still_comes_is_kept() -> None:
    """A request comes for hours and ends servers anew every hour."""
    made = SuspectTable()
    made.merge(build_suspicion(ends=3), now=0)
    assert made.note_seen(FINGERPRINT, now=HARMFUL_SECONDS)
    assert not made.note_seen(FINGERPRINT, now=HARMFUL_SECONDS + 0.5)
    assert not made.forget_old(now=HARMFUL_SECONDS + 1)
    told = made.describe([FINGERPRINT], now=HARMFUL_SECONDS + 1)
    assert told[0].age_seconds == 1


def test_old_word_does_not_come_back() -> None:
    """What all nodes have forgotten goes round between them for ever."""
    made = SuspectTable()
    old = Suspicion(FINGERPRINT, 0, 3, int(HARMFUL_SECONDS) + 1)
    assert not made.merge(old, now=0)


def test_full_table_keeps_the_gravest(monkeypatch: pytest.MonkeyPatch) -> None:
    """Many servers end at once and push out what ends them."""
    monkeypatch.setattr('wagtaildale.suspects.table.MAX_RECORDS', 8)
    made = SuspectTable()
    made.merge(build_suspicion(ends=3), now=0)
    for number in range(100):
        made.merge(build_suspicion(f'/{number}'), now=1)
    assert len(made.records) == 8
    assert made.records[FINGERPRINT].ends == 3
