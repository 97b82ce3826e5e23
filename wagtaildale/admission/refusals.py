"""Why a request does not run, and when to ask again."""

from __future__ import annotations

from typing import TYPE_CHECKING

from wagtaildale.admission.messages import Refused
from wagtaildale.errors.codes import Code

if TYPE_CHECKING:
    from wagtaildale.admission.messages import Verdict
    from wagtaildale.admission.state import AdmissionState, QueuedRequest


def refuse_overdue(
    state: AdmissionState,
    waiting: QueuedRequest,
    now: float,
) -> Refused:
    """Refuse a request that was held for too long.

    Args:
        state: the gate.
        waiting: the request.
        now: seconds.

    Returns:
        The refusal.
    """
    if state.rate.has_token(waiting.rank, now=now):
        return build_refusal(state, waiting, Code.past_deadline, now)
    return build_refusal(state, waiting, Code.rate_limited, now)


def refuse_overloaded(
    state: AdmissionState, waiting: QueuedRequest, now: float
) -> Refused:
    """Refuse a request that there is no room for.

    Args:
        state: the gate.
        waiting: the request.
        now: seconds.

    Returns:
        The refusal; its code says whether slots or a rate are short.
    """
    ahead = len(state.queue)
    slot_wait = state.estimate_slot_wait(ahead)
    if state.rate.find_wait(waiting.rank, ahead=ahead, now=now) > slot_wait:
        return build_refusal(state, waiting, Code.rate_limited, now)
    return Refused(
        ticket=waiting.ticket,
        code=Code.overloaded,
        retry_after=slot_wait + state.service_seconds,
    )


def build_refusal(
    state: AdmissionState,
    waiting: QueuedRequest,
    code: Code,
    now: float,
) -> Refused:
    """Refuse a request that waits.

    Args:
        state: the gate.
        waiting: the request.
        code: why.
        now: seconds.

    Returns:
        The refusal.
    """
    ahead = len(state.queue)
    return Refused(
        ticket=waiting.ticket,
        code=code,
        retry_after=state.estimate_wait(ahead, rank=waiting.rank, now=now),
    )


def refuse_all(state: AdmissionState, code: Code) -> list[Verdict]:
    """Refuse those in the queue.

    Args:
        state: the gate; moved forward in place.
        code: why.

    Returns:
        The refusals.
    """
    waiting = state.queue
    state.queue = []
    return [Refused(ticket=each.ticket, code=code) for each in waiting]


def refuse_rate_limited(state: AdmissionState, now: float) -> list[Verdict]:
    """Refuse those in the queue that a named rate leaves no time for.

    Failure guarded here: a limit is named or falls, and requests that were
    to run in some milliseconds are held until they are late, only to be
    refused.

    Args:
        state: the gate; moved forward in place.
        now: seconds.

    Returns:
        The refusals.
    """
    kept: list[QueuedRequest] = []
    verdicts: list[Verdict] = []
    for waiting in state.queue:
        wait = state.rate.find_wait(waiting.rank, ahead=len(kept), now=now)
        if now + wait <= waiting.start_by:
            kept.append(waiting)
        else:
            verdicts.append(
                build_refusal(state, waiting, Code.rate_limited, now)
            )
    state.queue = kept
    return verdicts
