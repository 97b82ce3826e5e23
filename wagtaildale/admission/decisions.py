"""Decides who runs, who waits and who is refused.

Deterministic: no clock, no lock. A refusal given here is true, since no
request reaches the backend server but by an ``Admitted`` from here.
"""

from __future__ import annotations

from functools import singledispatch

from wagtaildale.admission.limits import adjust_limit
from wagtaildale.admission.messages import (
    Admitted,
    Arrived,
    DrainBegun,
    Finished,
    GaveUp,
    LeaseGiven,
    Refused,
    RunCame,
    TimePassed,
    Verdict,
)
from wagtaildale.admission.queue import (
    admit_waiting,
    end_leases,
    judge,
)
from wagtaildale.admission.refusals import refuse_all, refuse_hopeless
from wagtaildale.admission.server_messages import (
    ProbeSent,
    RateBrought,
    RateTold,
    ServerLeaves,
    ServerStarted,
    SlotsTold,
)
from wagtaildale.admission.state import AdmissionState
from wagtaildale.errors.codes import Code


@singledispatch
def decide_admission(
    message: object,
    state: AdmissionState,
    *,
    now: float,
) -> list[Verdict]:
    """Decide on one message to the gate.

    Args:
        message: what has come.
        state: the gate; moved forward in place.
        now: seconds.

    Returns:
        Verdicts on this request and on others that waited.

    Raises:
        TypeError: for a message that no gate knows.
    """
    raise TypeError(f'got {message!r}, expected a message to a gate')


@decide_admission.register
def _decide_arrived(
    message: Arrived,
    state: AdmissionState,
    *,
    now: float,
) -> list[Verdict]:
    verdicts = end_leases(state, now)
    return [*verdicts, *judge(state, message, now)]


@decide_admission.register
def _decide_finished(
    message: Finished,
    state: AdmissionState,
    *,
    now: float,
) -> list[Verdict]:
    if state.running.pop(message.ticket, None) is None:
        return []
    state.leases.pop(message.ticket, None)
    adjust_limit(
        state,
        ending=message.ending,
        seconds=message.seconds,
        now=now,
        work_class=message.work_class,
    )
    return admit_waiting(state, now)


@decide_admission.register
def _decide_lease_given(
    message: LeaseGiven,
    state: AdmissionState,
    *,
    now: float,
) -> list[Verdict]:
    if message.ticket in state.running:
        state.leases[message.ticket] = message.ends_at
    return []


@decide_admission.register
def _decide_run_came(
    message: RunCame,
    state: AdmissionState,
    *,
    now: float,
) -> list[Verdict]:
    # Failure: an entry is paused between its reservation and its run
    # message, and wakes when the slot has long been given to another. The
    # lease ends by this owner's own clock; a run after that is refused.
    verdicts = end_leases(state, now)
    if state.leases.pop(message.ticket, None) is None:
        refused = Refused(ticket=message.ticket, code=Code.lease_ended)
        return [refused, *verdicts]
    return [Admitted(ticket=message.ticket), *verdicts]


@decide_admission.register
def _decide_time_passed(
    message: TimePassed,
    state: AdmissionState,
    *,
    now: float,
) -> list[Verdict]:
    return [*end_leases(state, now), *admit_waiting(state, now)]


@decide_admission.register
def _decide_slots_told(
    message: SlotsTold,
    state: AdmissionState,
    *,
    now: float,
) -> list[Verdict]:
    told = message.slots
    if not told or (told == state.slots and not state.adaptive):
        return []
    state.slots = message.slots
    state.limit = float(message.slots)
    state.adaptive = False
    return admit_waiting(state, now)


@decide_admission.register
def _decide_rate_told(
    message: RateTold,
    state: AdmissionState,
    *,
    now: float,
) -> list[Verdict]:
    before = state.rate.per_second
    state.rate.note_told(
        message.per_second,
        begun_at=message.begun_at,
        now=now,
    )
    if state.rate.per_second == before:
        return []
    return [*refuse_hopeless(state, now), *admit_waiting(state, now)]


@decide_admission.register
def _decide_rate_brought(
    message: RateBrought,
    state: AdmissionState,
    *,
    now: float,
) -> list[Verdict]:
    state.rate.note_brought(message.per_second, now=now)
    return refuse_hopeless(state, now)


@decide_admission.register
def _decide_server_started(
    message: ServerStarted,
    state: AdmissionState,
    *,
    now: float,
) -> list[Verdict]:
    state.rate.note_started()
    return admit_waiting(state, now)


@decide_admission.register
def _decide_probe_sent(
    message: ProbeSent,
    state: AdmissionState,
    *,
    now: float,
) -> list[Verdict]:
    state.rate.take(now=now)
    return []


@decide_admission.register
def _decide_gave_up(
    message: GaveUp,
    state: AdmissionState,
    *,
    now: float,
) -> list[Verdict]:
    state.queue = [
        waiting for waiting in state.queue if waiting.ticket != message.ticket
    ]
    return []


@decide_admission.register
def _decide_drain(
    message: DrainBegun,
    state: AdmissionState,
    *,
    now: float,
) -> list[Verdict]:
    state.draining = True
    return refuse_all(state, Code.draining)


@decide_admission.register
def _decide_server_leaves(
    message: ServerLeaves,
    state: AdmissionState,
    *,
    now: float,
) -> list[Verdict]:
    return refuse_all(state, Code.draining)
