"""Builds an entry's description of a call and reads the owner's reports."""

from __future__ import annotations

from math import inf
from typing import TYPE_CHECKING, Final

from msgspec import Struct

from wagtaildale.admission.shares import ALL_PASS, PARTS_PER_WHOLE
from wagtaildale.calls.wire.fields import (
    NO_START_LIMIT,
    UNKNOWN_RATE,
    CallFields,
    decode_rate,
    encode_rate,
)
from wagtaildale.configuration.qualified_names import qualify_class
from wagtaildale.routing.known_limits import ServerLimit
from wagtaildale.routing.upstream import OwnerReport, UpstreamStatistics
from wagtaildale.timers.service import read_clock
from wagtaildale.types import UNKNOWN_INCARNATION

if TYPE_CHECKING:
    from wagtaildale.calls.entry.attempts import Attempts
    from wagtaildale.calls.entry.routed_call import RoutedCall
    from wagtaildale.calls.wire.fields import AnswerFields
    from wagtaildale.calls.wire.frames import LoadReport
    from wagtaildale.types import Version

MILLISECONDS: Final = 1000
MICROSECONDS: Final = 1_000_000
# Subtracted from the time left, except for calls that have no more left than
# this number of margins.
DEADLINE_MARGIN_SECONDS: Final = 0.02
MIN_REMAINING_MARGINS: Final = 4


class SendOptions(Struct, frozen=True, kw_only=True):
    """Options for sending an attempt.

    Attributes:
        patient: whether the attempt may wait for a slot past its target time.
        needs_free_slot: whether the attempt runs only if a slot is free at
            once; it counts as past its target there.
        asks_free_slot: whether the attempt is refused unless a slot is free at
            once, and keeps its target.
        rate: known rate limit of the server in requests per second, if any.
        pass_rank: rank for the sampling of requests to limited servers; see
            ``admission.shares``.
        share: fraction of the requests of this rank that the entry sends to
            this upstream, to respect its rate limit.
        list_version: version of the instance list that the upstream was chosen
            from.
    """

    patient: bool
    needs_free_slot: bool
    asks_free_slot: bool
    rate: float | None
    pass_rank: int
    share: float
    list_version: Version


def build_owner_report(answer: AnswerFields) -> OwnerReport:
    """Build the report of an owner from its answer.

    Args:
        answer: fields of the answer.

    Returns:
        The report.
    """
    return OwnerReport(
        incarnation=answer.incarnation,
        in_flight=answer.in_flight,
        limit=answer.limit,
        queued=answer.queued,
        slot_seconds=answer.slot_us / MICROSECONDS,
        run_seconds=answer.backend_us / MICROSECONDS,
        class_seconds=answer.class_us / MICROSECONDS,
        class_usual_seconds=answer.class_usual_us / MICROSECONDS,
        code=answer.code,
        server_limit=decode_limit(answer),
        line=answer.line,
        outgoing_line=answer.outgoing_line,
        pace_percent=answer.pace_percent,
    )


def decode_limit(message: AnswerFields | LoadReport) -> ServerLimit | None:
    """Decode the limit of a backend server from a message of its owner.

    Args:
        message: answer or load message of the owner.

    Returns:
        The limit; None if the owner has no feedback from the server yet.
    """
    if message.rate_milli == UNKNOWN_RATE:
        return None
    return ServerLimit(
        per_second=decode_rate(message.rate_milli),
        share=message.share or ALL_PASS,
    )


def format_class_name(routed: RoutedCall) -> str:
    """Format the qualified class name of a call.

    Args:
        routed: the call.

    Returns:
        Names of the service and the class, joined by a slash.
    """
    return qualify_class(routed.service, routed.match.work_class.name)


def describe_call(
    routed: RoutedCall,
    upstream: UpstreamStatistics,
    attempts: Attempts,
    options: SendOptions,
) -> CallFields:
    """Describe a call for the owner of its upstream.

    Args:
        routed: the call.
        upstream: upstream of this attempt.
        attempts: attempts of the call, including this one.
        options: options for sending this attempt.

    Returns:
        Fields to send to the owner.
    """
    work_class = routed.match.work_class
    now = read_clock()
    # Under overload, every slow answer would get a second attempt, which
    # would queue for a slot that a first attempt needs. A second attempt, or
    # one past its target time, therefore runs only if a slot is free at once;
    # a patient one may still wait.
    target_seconds = (
        0 if options.needs_free_slot else max(0, routed.latency_target_at - now)
    )
    remaining = routed.deadline - now
    if remaining > DEADLINE_MARGIN_SECONDS * MIN_REMAINING_MARGINS:
        # The owner's deadline is slightly earlier than the entry's. With equal
        # deadlines the entry would give up just before the owner's "not run"
        # arrives, and the caller would get "unknown".
        remaining -= DEADLINE_MARGIN_SECONDS
    return CallFields(
        request_id=routed.request_id,
        attempt=attempts.sent_count,
        work_class=format_class_name(routed),
        idempotent=work_class.idempotent,
        within_ms=int(target_seconds * MILLISECONDS),
        remaining_ms=max(0, int(remaining * MILLISECONDS)),
        instance=upstream.instance,
        incarnation=UNKNOWN_INCARNATION,
        depth=routed.depth,
        retries=attempts.retries_left,
        ends=attempts.crash_count,
        rate_milli=encode_rate(options.rate),
        pass_rank=options.pass_rank,
        passed_parts=round(options.share * PARTS_PER_WHOLE),
        rank=work_class.rank,
        patient=options.patient,
        bulk=work_class.is_bulk,
        asks_free_slot=options.asks_free_slot,
        list_version=options.list_version,
        start_within_ms=describe_start_limit(attempts.latest_start, now=now),
    )


def describe_start_limit(latest_start: float, *, now: float) -> int:
    """Describe for an owner when a run may start at the latest.

    Args:
        latest_start: latest start, seconds; infinite if there is no limit.
        now: current time, seconds.

    Returns:
        Milliseconds from now, or ``NO_START_LIMIT``.
    """
    if latest_start == inf:
        return NO_START_LIMIT
    return max(0, int((latest_start - now) * MILLISECONDS))


def find_run_start(answer: AnswerFields, *, attempt_started_at: float) -> float:
    """Find when the server began with a request, as seen from the entry.

    Args:
        answer: fields of the answer.
        attempt_started_at: start of the attempt, seconds.

    Returns:
        Start of the attempt, later by what the request waited at the owner.
    """
    waited_us = max(0, answer.owner_us - answer.backend_us)
    return attempt_started_at + waited_us / MICROSECONDS
