"""What an entry tells an owner of a call, and reads of what it answers."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from msgspec import Struct

from wagtaildale.admission.shares import ALL_PASS, PARTS_PER_WHOLE
from wagtaildale.calls.fields import (
    UNHEARD_RATE,
    CallFields,
    decode_rate,
    encode_rate,
)
from wagtaildale.routing.known_limits import NamedLimit
from wagtaildale.routing.upstream import OwnerReport, UpstreamStatistics
from wagtaildale.timers.service import read_clock
from wagtaildale.types import ANY_INCARNATION

if TYPE_CHECKING:
    from wagtaildale.calls.attempts import Attempts
    from wagtaildale.calls.fields import AnswerFields
    from wagtaildale.calls.frames import Load
    from wagtaildale.calls.routed import Routed

MILLISECONDS: Final = 1000
MICROSECONDS: Final = 1_000_000
GRACE_SECONDS: Final = 0.02
GRACE_SHARE: Final = 4


class Sending(Struct, frozen=True, kw_only=True):
    """How an attempt is sent.

    Attributes:
        patient: whether it may wait for a slot past its target.
        spare: whether it is to run only where a slot is free.
        rate: requests a second that its server is known to take, if any.
        pass_rank: by which it was drawn; see ``admission.shares``.
        share: of such requests, the part that goes to this upstream.
    """

    patient: bool
    spare: bool
    rate: float | None
    pass_rank: int
    share: float


def read_report(answer: AnswerFields) -> OwnerReport:
    """Read what an owner says of itself with an answer.

    Args:
        answer: its fields.

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
        class_usual=answer.class_usual_us / MICROSECONDS,
        code=answer.code,
        named=read_limit(answer),
    )


def read_limit(told: AnswerFields | Load) -> NamedLimit | None:
    """Read what an owner says that its backend server takes.

    Args:
        told: its word.

    Returns:
        The limit; nothing if the owner has not heard the server yet.
    """
    if told.rate_milli == UNHEARD_RATE:
        return None
    return NamedLimit(
        per_second=decode_rate(told.rate_milli),
        share=told.share or ALL_PASS,
    )


def name_class(routed: Routed) -> str:
    """Name the class of a call.

    Args:
        routed: the call.

    Returns:
        Service and class.
    """
    return f'{routed.service}/{routed.match.work_class.name}'


def describe_call(
    routed: Routed,
    upstream: UpstreamStatistics,
    attempts: Attempts,
    sending: Sending,
) -> CallFields:
    """Describe a call to its owner.

    Args:
        routed: the call.
        upstream: where this attempt goes.
        attempts: of the call, this one included.
        sending: how it is sent.

    Returns:
        What the owner is told.
    """
    work_class = routed.match.work_class
    now = read_clock()
    # Failure: under overload every slow answer gets a second attempt, which
    # waits for a slot that a first one needs. One whose target is over runs
    # only where a slot is free at once.
    within = 0 if sending.spare else max(0, routed.due - now)
    rest = routed.deadline - now
    if rest > GRACE_SECONDS * GRACE_SHARE:
        # Failure: at the deadline the entry gives up a moment before the
        # owner's word comes that nothing has run, and the caller hears
        # "unknown". The owner's deadline is a little earlier.
        rest -= GRACE_SECONDS
    return CallFields(
        request_id=routed.request_id,
        attempt=len(attempts.tried),
        work_class=name_class(routed),
        idempotent=work_class.idempotent,
        within_ms=int(within * MILLISECONDS),
        remaining_ms=max(0, int(rest * MILLISECONDS)),
        instance=upstream.instance,
        incarnation=ANY_INCARNATION,
        depth=routed.depth,
        retries=attempts.retries_left,
        ends=attempts.ends,
        rate_milli=encode_rate(sending.rate),
        pass_rank=sending.pass_rank,
        passed_parts=round(sending.share * PARTS_PER_WHOLE),
        rank=work_class.rank,
        patient=sending.patient,
    )
