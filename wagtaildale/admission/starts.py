"""Estimates when queued requests start."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from wagtaildale.admission.messages import TicketId
    from wagtaildale.admission.state import AdmissionState


def estimate_start(
    state: AdmissionState, ticket: TicketId | None, *, now: float
) -> float:
    """Estimate when a queued request starts.

    Args:
        state: state of the gate.
        ticket: ticket of the request; None if it has none yet.
        now: current time, seconds.

    Returns:
        Seconds on the clock; ``now``, unless the request is in the queue.
    """
    for ahead, waiting in enumerate(state.queue):
        if waiting.ticket == ticket:
            wait = state.estimate_wait(ahead, rank=waiting.rank, now=now)
            return now + wait
    return now
