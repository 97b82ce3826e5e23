"""Assertions that several tests share."""

from __future__ import annotations

from typing import TYPE_CHECKING, TypeVar

from result import Err, Ok

if TYPE_CHECKING:
    from collections.abc import Iterable

    from result import Result

    from wagtaildale.errors.codes import Code
    from wagtaildale.errors.faults import Fault

Success = TypeVar('Success')
Failure = TypeVar('Failure')


def assert_ok(outcome: Result[Success, Failure]) -> Success:
    """Assert that a result is a success.

    Args:
        outcome: result of the step under test.

    Returns:
        The value of the result.
    """
    assert isinstance(outcome, Ok), f'got {outcome}'
    return outcome.ok_value


def assert_err(outcome: Result[Success, Failure]) -> Failure:
    """Assert that a result is a failure.

    Args:
        outcome: result of the step under test.

    Returns:
        The error of the result.
    """
    assert isinstance(outcome, Err), f'got {outcome}'
    return outcome.err_value


def assert_codes(faults: Iterable[Fault], *expected: Code) -> None:
    """Assert that faults have these codes, in any order.

    Args:
        faults: faults that the step under test reported.
        expected: expected codes, one for each fault.
    """
    codes = sorted(fault.code for fault in faults)
    assert codes == sorted(expected), f'got {list(map(str, faults))}'
