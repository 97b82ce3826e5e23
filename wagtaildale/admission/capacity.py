"""Computes which share of their requests entries may send to a server.

When a server names a rate limit, or most servers of a service are gone, more
requests arrive than the remaining servers can run. Without a share, each
request is tried at three of them, and nine requests in ten are refused there.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from wagtaildale.admission.shares import PassShare
    from wagtaildale.admission.state import AdmissionState

# Multiple of a server's capacity that entries may send. Some excess is useful,
# since it fills the gaps that long runs leave. Requests beyond this factor
# have no chance of being admitted.
CAPACITY_FACTOR: Final = 2.5


def compute_pass_share(state: AdmissionState, *, now: float) -> PassShare:
    """Compute the share of requests that entries may send to a server.

    Args:
        state: state of the gate before the server.
        now: current time, seconds.

    Returns:
        The share of each rank; ``ALL_PASS`` if the server can run them all, or
        if neither a rate limit nor a run time is known.
    """
    per_second = state.rate.find_rate(now)
    if per_second is None and state.slot_seconds:
        slot_seconds = state.slot_seconds * state.pace.estimate(now)
        per_second = CAPACITY_FACTOR * state.limit / slot_seconds
    return state.demand.compute_pass_share(per_second, now=now)
