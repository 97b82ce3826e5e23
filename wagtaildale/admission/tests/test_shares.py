"""Tests of the share of requests that entries may send to a server."""

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
    """Build the demand that is measured after some seconds of requests.

    Args:
        per_second: requests per second of callers, by pass rank.
        passed: share of them that entries send.

    Returns:
        The demand.
    """
    demand = Demand()
    steps = 1000
    for step in range(SECONDS * steps):
        for rank, rate in per_second.items():
            share = passed.find(rank)
            if (
                step * rate * share // steps
                != (step + 1) * rate * share // steps
            ):
                demand.note(rank, stands_for=1 / share, now=step / steps)
    return demand


def test_all_requests_pass_without_a_limit() -> None:
    demand = build_demand({LOOKUP: 300})
    assert demand.compute_pass_share(None, now=SECONDS) == ALL_PASS
    assert demand.compute_pass_share(400, now=SECONDS) == ALL_PASS


def test_important_requests_pass_first() -> None:
    """Lookups must not displace bookings at a server that cannot run both."""
    demand = build_demand({BOOKING: 100, LOOKUP: 300})
    share = demand.compute_pass_share(200, now=SECONDS)
    assert share.find(BOOKING) == 1
    assert share.find(LOOKUP) == pytest.approx(1 / 3, rel=0.05)


def test_some_requests_of_every_class_pass() -> None:
    """Lookups must pass in part, even if bookings alone exceed the limit."""
    demand = build_demand({BOOKING: 300, LOOKUP: 300})
    share = demand.compute_pass_share(100, now=SECONDS)
    even = 100 / 600
    assert 0.25 * even < share.find(LOOKUP) < even
    assert share.find(BOOKING) > even


def test_late_requests_pass_last() -> None:
    """Otherwise retries that are late take the capacity of those in time."""
    demand = build_demand({LOOKUP: 300, LATE_LOOKUP: 300})
    share = demand.compute_pass_share(100, now=SECONDS)
    assert share.find(LOOKUP) == pytest.approx(1 / 3, rel=0.05)
    assert share.find(LATE_LOOKUP) * PARTS_PER_WHOLE == MIN_PARTS


def test_share_does_not_depend_on_the_share_before() -> None:
    """Guards against oscillation: a low share must not look like low demand."""
    load = {BOOKING: 100, LOOKUP: 300}
    passed = PassShare(LOOKUP, 1000, 1000)
    before = build_demand(load).compute_pass_share(200, now=SECONDS)
    after = build_demand(load, passed=passed).compute_pass_share(
        200, now=SECONDS
    )
    assert after.rank == before.rank
    assert after.parts == pytest.approx(before.parts, rel=0.2)


def test_only_significant_changes_of_a_share_are_announced() -> None:
    demand = Demand()
    shares = (
        (PassShare(LOOKUP, 3000, 100), 1),
        (PassShare(LOOKUP, 3000, 100), 2),
        (PassShare(LOOKUP, 3200, 100), 3),
        (PassShare(LOOKUP, 6000, 100), 4),
        (ALL_PASS, 4.1),
        (ALL_PASS, 5),
    )
    announced = [
        demand.update_announcement(share, now=now) for share, now in shares
    ]
    assert announced == [True, False, False, True, False, True]


@pytest.mark.parametrize('parts', [-5, 0, 1, 10**12])
def test_share_that_an_entry_reports_is_bounded(parts: int) -> None:
    """Guards against an entry whose one request counts for unlimited demand."""
    fields = structs.replace(build_run().fields, passed_parts=parts)
    assert 1 <= fields.stands_for <= PARTS_PER_WHOLE / MIN_PARTS


@pytest.mark.parametrize('parts', [-5, 0, 10**12])
def test_share_that_an_owner_announces_is_bounded(parts: int) -> None:
    """Guards against an owner that announces zero and gets no more requests."""
    share = PassShare(LOOKUP, parts, parts)
    for rank in (BOOKING, LOOKUP, LATE_LOOKUP):
        assert MIN_PARTS / PARTS_PER_WHOLE <= share.find(rank) <= 1
