"""Tests of what an owner lets entries send to a limited server."""

from __future__ import annotations

from typing import Final

import pytest
from msgspec import structs

from wagtaildale.admission.shares import (
    ALL_PASS,
    MIN_PARTS,
    PARTS_PER_WHOLE,
    Demand,
    PassShare,
    find_pass_rank,
)
from wagtaildale.calls.tests.pairs import build_run

BOOKING: Final = find_pass_rank(1, is_late=False)
LOOKUP: Final = find_pass_rank(2, is_late=False)
LATE_LOOKUP: Final = find_pass_rank(2, is_late=True)
SECONDS: Final = 4


def build_demand(
    per_second: dict[int, int],
    *,
    passed: PassShare = ALL_PASS,
) -> Demand:
    """Build what is known after some seconds of requests.

    Args:
        per_second: requests that callers make, by rank.
        passed: what entries let through of them.

    Returns:
        The demand.
    """
    demand = Demand()
    steps = 1000
    for step in range(SECONDS * steps):
        for rank, often in per_second.items():
            share = passed.find(rank)
            if (
                step * often * share // steps
                != (step + 1) * often * share // steps
            ):
                demand.note(rank, stands_for=1 / share, now=step / steps)
    return demand


def test_all_pass_while_no_limit_is_named() -> None:
    demand = build_demand({LOOKUP: 300})
    assert demand.compute_pass_share(None, now=SECONDS) == ALL_PASS
    assert demand.compute_pass_share(400, now=SECONDS) == ALL_PASS


def test_important_requests_pass_first() -> None:
    """A server takes a third of what comes, and bookings wait for lookups."""
    demand = build_demand({BOOKING: 100, LOOKUP: 300})
    share = demand.compute_pass_share(200, now=SECONDS)
    assert share.find(BOOKING) == 1
    assert share.find(LOOKUP) == pytest.approx(1 / 3, rel=0.05)


def test_no_class_is_turned_away_altogether() -> None:
    """Bookings alone are more than a server takes."""
    demand = build_demand({BOOKING: 300, LOOKUP: 300})
    share = demand.compute_pass_share(100, now=SECONDS)
    even = 100 / 600
    assert 0.25 * even < share.find(LOOKUP) < even
    assert share.find(BOOKING) > even


def test_what_is_late_passes_last() -> None:
    """Callers come back until they are late, and what passes is late."""
    demand = build_demand({LOOKUP: 300, LATE_LOOKUP: 300})
    share = demand.compute_pass_share(100, now=SECONDS)
    assert share.find(LOOKUP) == pytest.approx(1 / 3, rel=0.05)
    assert share.find(LATE_LOOKUP) * PARTS_PER_WHOLE == MIN_PARTS


def test_share_does_not_depend_on_what_passed_before() -> None:
    """A server lets few pass, takes that for a calm, and lets all pass."""
    load = {BOOKING: 100, LOOKUP: 300}
    passed = PassShare(LOOKUP, 1000, 1000)
    before = build_demand(load).compute_pass_share(200, now=SECONDS)
    after = build_demand(load, passed=passed).compute_pass_share(
        200, now=SECONDS
    )
    assert after.rank == before.rank
    assert after.parts == pytest.approx(before.parts, rel=0.2)


def test_entries_are_told_of_what_matters_alone() -> None:
    demand = Demand()
    shares = (
        (PassShare(LOOKUP, 3000, 100), 1),
        (PassShare(LOOKUP, 3000, 100), 2),
        (PassShare(LOOKUP, 3200, 100), 3),
        (PassShare(LOOKUP, 6000, 100), 4),
        (ALL_PASS, 4.1),
        (ALL_PASS, 5),
    )
    told = [demand.update_announcement(share, now=now) for share, now in shares]
    assert told == [True, False, False, True, False, True]


@pytest.mark.parametrize('parts', [-5, 0, 1, 10**12])
def test_word_of_an_entry_is_bounded(parts: int) -> None:
    """An entry says that one request stands for all of the world's."""
    fields = structs.replace(build_run().fields, passed_parts=parts)
    assert 1 <= fields.stands_for <= PARTS_PER_WHOLE / MIN_PARTS


@pytest.mark.parametrize('parts', [-5, 0, 10**12])
def test_word_of_an_owner_is_bounded(parts: int) -> None:
    """An owner says that nothing passes, and is never asked again."""
    share = PassShare(LOOKUP, parts, parts)
    for rank in (BOOKING, LOOKUP, LATE_LOOKUP):
        assert MIN_PARTS / PARTS_PER_WHOLE <= share.find(rank) <= 1
