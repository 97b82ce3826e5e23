"""Error responses that a node itself gives to callers."""

from __future__ import annotations

from math import ceil
from types import MappingProxyType
from typing import TYPE_CHECKING, Final

from msgspec import Struct, json

from wagtaildale.calls.dialect import DEFAULT_DIALECT
from wagtaildale.calls.http.responses import ResponseHead
from wagtaildale.errors.codes import MEANINGS, Code
from wagtaildale.types import Outcome

if TYPE_CHECKING:
    from collections.abc import Sequence

    from wagtaildale.calls.dialect import Dialect
    from wagtaildale.calls.failures import CallFailed
    from wagtaildale.calls.http.parsing import Header

DEFAULT_STATUS: Final = 503
# In plain HTTP, ``Retry-After`` holds whole seconds.
MIN_RETRY_AFTER_SECONDS: Final = 1
MIN_FRACTIONAL_RETRY_SECONDS: Final = 0.01
STATUS_BY_CODE: Final = MappingProxyType(
    {
        Code.request_malformed: 400,
        Code.request_too_large: 413,
        Code.head_timed_out: 408,
        Code.no_route: 404,
        Code.past_deadline: 504,
        Code.timed_out: 504,
        Code.backend_unreachable: 502,
        Code.backend_cut: 502,
        Code.backend_ended: 502,
        Code.outcome_unknown: 502,
        Code.answer_mismatched: 502,
        Code.key_repeated: 409,
        Code.too_deep: 508,
    },
)
# These statuses leave open whether the request ran. If it is known that it did
# not, ``DEFAULT_STATUS`` is sent instead.
AMBIGUOUS_STATUSES: Final = frozenset((502, 504))
# Failures whose response may have a ``Retry-After`` header.
RETRY_AFTER_CODES: Final = frozenset(
    (
        Code.no_configuration,
        Code.no_upstream,
        Code.wrong_instance,
        Code.draining,
        Code.past_deadline,
        Code.overloaded,
        Code.backend_unreachable,
        Code.backend_shed,
        Code.timed_out,
        Code.lease_ended,
        Code.peer_lost,
        Code.request_on_trial,
        Code.request_harmful,
        Code.rate_limited,
        Code.stopping,
        Code.memory_full,
    ),
)


class Problem(Struct, frozen=True, kw_only=True):
    """The body of an error response (RFC 9457).

    Attributes:
        title: short description of the error.
        status: HTTP status.
        code: numbered result code; docs/errors.md explains each.
        outcome: whether the request ran, as far as is known.
        detail: further explanation for callers and operators.
    """

    title: str
    status: int
    code: int
    outcome: Outcome
    detail: str


def find_status(failure: CallFailed) -> int:
    """Find the HTTP status of a failed call.

    Args:
        failure: reason, and whether the request may have run.

    Returns:
        The status; 503 instead of 502 and 504 if the request did not run, and
        502 instead of 503 if that is unknown.
    """
    status = STATUS_BY_CODE.get(failure.code, DEFAULT_STATUS)
    if status in AMBIGUOUS_STATUSES and failure.outcome is Outcome.not_run:
        return DEFAULT_STATUS
    if status == DEFAULT_STATUS and failure.outcome is Outcome.unknown:
        # Callers rely on 503 to mean that nothing ran.
        return STATUS_BY_CODE[Code.outcome_unknown]
    return status


def build_error_response(
    failure: CallFailed,
    *,
    extra_headers: Sequence[Header] = (),
    dialect: Dialect = DEFAULT_DIALECT,
) -> tuple[ResponseHead, bytes]:
    """Build the error response for a failed call.

    Args:
        failure: reason of the failure.
        extra_headers: further headers of the response.
        dialect: header fields used with callers.

    Returns:
        Head and body.
    """
    status = find_status(failure)
    problem = Problem(
        title=MEANINGS[failure.code],
        status=status,
        code=failure.code.value,
        outcome=failure.outcome,
        detail=failure.detail,
    )
    headers = [(b'content-type', b'application/problem+json'), *extra_headers]
    may_retry_later = status == DEFAULT_STATUS or failure.retry_after > 0
    if failure.code in RETRY_AFTER_CODES and may_retry_later:
        headers.append((b'retry-after', _format_retry_after(failure, dialect)))
    head = ResponseHead(status=status, headers=headers)
    return head, json.encode(problem)


def _format_retry_after(failure: CallFailed, dialect: Dialect) -> bytes:
    if dialect.fractional_retry_after:
        return b'%.3f' % max(MIN_FRACTIONAL_RETRY_SECONDS, failure.retry_after)
    return b'%d' % max(MIN_RETRY_AFTER_SECONDS, ceil(failure.retry_after))
