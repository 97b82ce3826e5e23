"""Builds refusals with their reason and the time after which to retry."""

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
    """Refuse a request that has waited past its latest start.

    Args:
        state: state of the gate.
        waiting: the request to refuse.
        now: current time, seconds.

    Returns:
        The refusal.
    """
    if state.rate.has_token(waiting.rank, now=now):
        return build_refusal(state, waiting, Code.past_deadline, now)
    return build_refusal(state, waiting, Code.rate_limited, now)


def refuse_overloaded(
    state: AdmissionState, waiting: QueuedRequest, now: float
) -> Refused:
    """Refuse a request that the backend server has no capacity for.

    Args:
        state: state of the gate.
        waiting: the request to refuse.
        now: current time, seconds.

    Returns:
        The refusal; its code tells whether slots or the rate limit are the
        cause.
    """
    ahead = len(state.queue)
    slot_wait = state.estimate_slot_wait(ahead, now=now)
    if state.rate.find_wait(waiting.rank, ahead=ahead, now=now) > slot_wait:
        return build_refusal(state, waiting, Code.rate_limited, now)
    return Refused(
        ticket=waiting.ticket,
        code=Code.overloaded,
        retry_after=slot_wait
        + state.service_seconds * state.pace.estimate(now),
    )


def build_refusal(
    state: AdmissionState,
    waiting: QueuedRequest,
    code: Code,
    now: float,
) -> Refused:
    """Build the refusal of a request, with its estimated wait.

    Args:
        state: state of the gate.
        waiting: the request to refuse.
        code: reason of the refusal.
        now: current time, seconds.

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
    """Refuse all queued requests.

    Args:
        state: state of the gate; updated in place.
        code: reason of the refusals.

    Returns:
        The refusals.
    """
    waiting = state.queue
    state.queue = []
    return [Refused(ticket=each.ticket, code=code) for each in waiting]


def refuse_rate_limited(state: AdmissionState, now: float) -> list[Verdict]:
    """Refuse queued requests that the rate limit delays past their start time.

    When a server names or lowers a limit, requests that expected to run
    within milliseconds would otherwise wait until they are late and be
    refused then.

    Args:
        state: state of the gate; updated in place.
        now: current time, seconds.

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
