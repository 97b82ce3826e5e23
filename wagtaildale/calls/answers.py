"""The answers that a node gives by itself, when a call fails."""

from __future__ import annotations

from math import ceil
from types import MappingProxyType
from typing import TYPE_CHECKING, Final

from msgspec import Struct, json

from wagtaildale.calls.heads import CLOSE, write_response_head
from wagtaildale.errors.codes import MEANINGS, Code
from wagtaildale.timers.service import read_clock
from wagtaildale.types import Outcome

if TYPE_CHECKING:
    from collections.abc import Sequence

    from wagtaildale.calls.connections import Connection
    from wagtaildale.calls.failures import CallFailed
    from wagtaildale.calls.parsing import Header

SEND_SECONDS: Final = 1.0
DEFAULT_STATUS: Final = 503
# The field holds whole seconds.
LEAST_RETRY_SECONDS: Final = 1
STATUSES: Final = MappingProxyType(
    {
        Code.request_malformed: 400,
        Code.request_too_large: 413,
        Code.no_route: 404,
        Code.past_deadline: 504,
        Code.timed_out: 504,
        Code.backend_unreachable: 502,
        Code.backend_cut: 502,
        Code.outcome_unknown: 502,
        Code.answer_mismatched: 502,
        Code.key_repeated: 409,
        Code.too_deep: 508,
        Code.wrong_instance: 421,
    },
)
RETRY_LATER: Final = frozenset(
    (
        Code.no_configuration,
        Code.no_upstream,
        Code.overloaded,
        Code.draining,
    ),
)


class Problem(Struct, frozen=True, kw_only=True):
    """The body of an answer that a node gives by itself (RFC 9457).

    Attributes:
        title: what went wrong.
        status: HTTP status.
        code: numbered result code; docs/errors.md explains each.
        outcome: what the caller may conclude of its request.
        detail: anything more.
    """

    title: str
    status: int
    code: int
    outcome: Outcome
    detail: str


def find_status(code: Code) -> int:
    """Find the HTTP status of a result code.

    Args:
        code: why the call failed.

    Returns:
        The status.
    """
    return STATUSES.get(code, DEFAULT_STATUS)


def send_problem(
    connection: Connection,
    *,
    failure: CallFailed,
    extra: Sequence[Header] = (),
    method: bytes = b'',
) -> None:
    """Send the whole answer of a failed call.

    Args:
        connection: to whoever asked.
        failure: why it failed.
        extra: headers that go along.
        method: of the request; HEAD gets no body.

    Raises:
        OSError: when the other side is gone.
    """
    headers = [*extra, CLOSE] if connection.closing else extra
    head, body = _write_problem(failure, headers)
    answer = head if method == b'HEAD' else head + body
    connection.send(answer, deadline=read_clock() + SEND_SECONDS)


def _write_problem(
    failure: CallFailed,
    extra: Sequence[Header],
) -> tuple[bytes, bytes]:
    status = find_status(failure.code)
    problem = Problem(
        title=MEANINGS[failure.code],
        status=status,
        code=failure.code.value,
        outcome=failure.outcome,
        detail=failure.detail,
    )
    body = json.encode(problem)
    headers = [
        (b'content-type', b'application/problem+json'),
        (b'content-length', b'%d' % len(body)),
        *extra,
    ]
    if failure.code in RETRY_LATER:
        seconds = max(LEAST_RETRY_SECONDS, ceil(failure.retry_after))
        headers.append((b'retry-after', b'%d' % seconds))
    return write_response_head(status, headers=headers), body
