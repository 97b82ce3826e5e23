"""How many requests a second a server is to be asked for.

Load pattern answered: a server names a limit, or most servers of a service
are gone. Each request is taken to three of those that are left, and all but
one in ten of them is refused there.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from wagtaildale.admission.shares import PassShare
    from wagtaildale.admission.state import AdmissionState

# Of what a server has room for. What is a little over it had better come: it
# fills the gaps that long runs leave. Beyond this a request has no prospects.
CAPACITY_FACTOR: Final = 2.5


def compute_pass_share(state: AdmissionState, *, now: float) -> PassShare:
    """Share out what a server takes to those who ask.

    Args:
        state: the gate before it.
        now: seconds.

    Returns:
        What entries may send: all of it while there is a prospect of it.
    """
    per_second = state.rate.per_second
    if per_second is None and state.slot_seconds:
        per_second = CAPACITY_FACTOR * state.limit / state.slot_seconds
    return state.demand.compute_pass_share(per_second, now=now)
