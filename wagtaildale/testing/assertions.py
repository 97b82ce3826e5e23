"""Assertions that several tests share."""

from __future__ import annotations

from typing import TYPE_CHECKING, TypeVar

from result import Err, Ok

if TYPE_CHECKING:
    from collections.abc import Iterable

    from result import Result

    from wagtaildale.errors.codes import Code
    from wagtaildale.errors.faults import Fault

Good = TypeVar('Good')
Bad = TypeVar('Bad')


def assert_ok(outcome: Result[Good, Bad]) -> Good:
    """Assert that something succeeded.

    Args:
        outcome: of the step under test.

    Returns:
        What it gave.
    """
    assert isinstance(outcome, Ok), f'got {outcome}'
    return outcome.ok_value


def assert_err(outcome: Result[Good, Bad]) -> Bad:
    """Assert that something failed.

    Args:
        outcome: of the step under test.

    Returns:
        Why it failed.
    """
    assert isinstance(outcome, Err), f'got {outcome}'
    return outcome.err_value


def assert_codes(faults: Iterable[Fault], *expected: Code) -> None:
    """Assert that faults have these codes, in any order.

    Args:
        faults: as given.
        expected: their codes.
    """
    codes = sorted(fault.code for fault in faults)
    assert codes == sorted(expected), f'got {list(map(str, faults))}'
