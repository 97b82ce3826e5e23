"""Tests of the table of suspected requests."""

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
def test_order_of_suspicions_does_not_matter(received: list[Suspicion]) -> None:
    checksums = set()
    for order in permutations(received):
        table = SuspectTable()
        for suspicion in order:
            table.merge(suspicion, now=0)
        checksums.add(table.compute_checksum())
    assert len(checksums) == 1


@pytest.mark.parametrize(
    ('ends', 'elapsed', 'standing'),
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
def test_standing_depends_on_ends_and_time(
    ends: int, elapsed: float, standing: Standing
) -> None:
    assert find_standing(ends, since=0, now=elapsed) is standing


def test_answered_request_is_cleared() -> None:
    """A late suspicion of an earlier end must not undo the clearing."""
    table = SuspectTable()
    table.merge(build_suspicion(ends=2), now=0)
    table.clear(FINGERPRINT, now=0)
    assert not table.merge(build_suspicion(ends=3), now=0)
    assert table.is_behind(build_suspicion(ends=3))
    assert table.get_snapshot().find(FINGERPRINT).ends == 0
    assert table.merge(build_suspicion(clearings=1, ends=1), now=0)


def test_ends_apply_to_callers_that_were_never_answered() -> None:
    """Otherwise each new caller of a harmful request ends more servers."""
    table = SuspectTable()
    table.merge(build_suspicion(caller=b'a', ends=3), now=0)
    answered = build_fingerprint(caller=b'b')
    table.clear(answered, now=0)
    snapshot = table.get_snapshot()
    assert snapshot.find(build_fingerprint(caller=b'c')).ends == 3
    assert snapshot.find(answered).ends == 0


@pytest.mark.parametrize(
    ('ends', 'seconds'),
    [(1, SUSPECT_SECONDS), (3, HARMFUL_SECONDS)],
)
def test_record_of_a_request_that_is_no_longer_sent_expires(
    ends: int,
    seconds: float,
) -> None:
    table = SuspectTable()
    table.merge(build_suspicion(ends=ends), now=0)
    assert not table.forget_old(now=seconds)
    assert table.forget_old(now=seconds + 1)
    assert not table.records


def test_record_of_a_request_that_is_still_sent_is_kept() -> None:
    """Otherwise a request that is sent for hours ends servers every hour."""
    table = SuspectTable()
    table.merge(build_suspicion(ends=3), now=0)
    assert table.note_seen(FINGERPRINT, now=HARMFUL_SECONDS)
    assert not table.note_seen(FINGERPRINT, now=HARMFUL_SECONDS + 0.5)
    assert not table.forget_old(now=HARMFUL_SECONDS + 1)
    described = table.describe([FINGERPRINT], now=HARMFUL_SECONDS + 1)
    assert described[0].age_seconds == 1


def test_expired_suspicion_is_not_merged() -> None:
    """Otherwise nodes exchange expired records forever."""
    table = SuspectTable()
    old = Suspicion(FINGERPRINT, 0, 3, int(HARMFUL_SECONDS) + 1)
    assert not table.merge(old, now=0)


def test_full_table_keeps_the_record_with_most_ends(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """If many servers end at once, the harmful request must not be evicted."""
    monkeypatch.setattr('wagtaildale.suspects.table.MAX_RECORDS', 8)
    table = SuspectTable()
    table.merge(build_suspicion(ends=3), now=0)
    for number in range(100):
        table.merge(build_suspicion(f'/{number}'), now=1)
    assert len(table.records) == 8
    assert table.records[FINGERPRINT].ends == 3
