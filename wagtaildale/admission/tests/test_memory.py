"""Tests of the account of what a process holds for its callers."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

import pytest

from wagtaildale.admission.memory import (
    MIN_LIMIT_BYTES,
    MIN_WAITING_BYTES,
    SMALL_BYTES,
    MemoryAccount,
    find_memory_limit,
    find_waiting_limit,
)

if TYPE_CHECKING:
    from wagtaildale.admission.memory import Holding

LIMIT: Final = 1_000_000
LARGE: Final = 100_000
ORDINARY: Final = 4000


class HolderStub:
    """Holds bytes that it frees when asked, unless its request runs."""

    def __init__(
        self,
        account: MemoryAccount,
        size: int,
        *,
        now: float = 0,
        runs: bool = False,
    ) -> None:
        self.was_asked = False
        self._runs = runs
        self.holding: Holding = account.open(self, now=now)
        self.holding.resize(size)

    def give_up(self) -> None:
        self.was_asked = True
        if not self._runs:
            self.holding.resize(0)


@pytest.fixture
def account() -> MemoryAccount:
    return MemoryAccount(LIMIT)


def test_account_below_its_limit_takes_nothing_away(
    account: MemoryAccount,
) -> None:
    holders = [HolderStub(account, LARGE) for _number in range(10)]
    account.relieve(now=1)
    assert not any(each.was_asked for each in holders)


def test_large_unfinished_requests_give_way_to_small_ones(
    account: MemoryAccount,
) -> None:
    """Ordinary callers would be refused beside a crowd of unfinished bodies."""
    small = [HolderStub(account, ORDINARY) for _number in range(10)]
    large = [HolderStub(account, LARGE, now=9) for _number in range(10)]
    account.relieve(now=10)
    assert not account.is_full
    assert any(each.was_asked for each in large)
    assert not any(each.was_asked for each in small)


def test_request_without_progress_is_given_up_first(
    account: MemoryAccount,
) -> None:
    """A body that stopped would outlast those that still arrive."""
    stopped = HolderStub(account, LARGE, now=0)
    arriving = [HolderStub(account, LARGE, now=10) for _number in range(10)]
    account.relieve(now=10)
    assert stopped.was_asked
    assert not all(each.was_asked for each in arriving)


def test_requests_that_run_are_searched_in_vain_only_once(
    account: MemoryAccount,
) -> None:
    """Each byte that arrives would cost a search among all connections."""
    running = [HolderStub(account, LARGE, runs=True) for _number in range(11)]
    account.relieve(now=1)
    for each in running:
        each.was_asked = False
    account.relieve(now=2)
    assert not any(each.was_asked for each in running)


def test_part_of_the_account_is_left_to_small_requests(
    account: MemoryAccount,
) -> None:
    """Large requests that run would leave nothing to ordinary ones."""
    HolderStub(account, 8 * LARGE, runs=True)
    assert not account.admits(SMALL_BYTES + 1)
    assert account.admits(ORDINARY)


def test_closed_holding_is_charged_no_more(account: MemoryAccount) -> None:
    holding = HolderStub(account, LARGE).holding
    holding.close()
    holding.resize(LARGE)
    assert not account.held_bytes


@pytest.mark.parametrize('memory_mb', [1, 64, 200, 300, 552])
def test_limits_leave_most_of_the_memory_to_the_process(memory_mb: int) -> None:
    limit = find_memory_limit(memory_mb)
    unread = find_waiting_limit(memory_mb, max_connections=2000)
    assert limit >= MIN_LIMIT_BYTES
    assert unread >= MIN_WAITING_BYTES
    if memory_mb >= 200:
        assert limit + 2000 * unread < memory_mb * 1_000_000 / 2
