"""Decides which requests run, wait or are refused.

The decisions are deterministic: they read no clock and take no lock. A
refusal guarantees that the request has not run, because only requests that
were ``Admitted`` here are sent to the backend server.
"""

from __future__ import annotations

from functools import singledispatch

from wagtaildale.admission.limits import adjust_limit
from wagtaildale.admission.messages import (
    Admitted,
    DrainStarted,
    LeaseGranted,
    LeaseRedeemed,
    Refused,
    RequestArrived,
    RequestCancelled,
    RequestFinished,
    TimePassed,
    Verdict,
)
from wagtaildale.admission.pace import OCCUPIED_SECONDS
from wagtaildale.admission.queue import (
    admit_waiting,
    decide_arrival,
    expire_leases,
)
from wagtaildale.admission.rates import begin_slow_start
from wagtaildale.admission.refusals import refuse_all, refuse_rate_limited
from wagtaildale.admission.server_messages import (
    DataCentreEvacuated,
    LeavingReported,
    LoadReported,
    ProbeSent,
    RateForwarded,
    RateReported,
    RequestSent,
    ServerRestarted,
    SlotsPublished,
    SlowStartBegan,
    SlowStartEnded,
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
    """Handle one message to the gate.

    Args:
        message: event to handle, a ``GateMessage``.
        state: state of the gate; updated in place.
        now: current time, seconds.

    Returns:
        Verdicts on this request and on queued requests.

    Raises:
        TypeError: if the message is not a ``GateMessage``.
    """
    raise TypeError(f'got {message!r}, expected a message to a gate')


@decide_admission.register
def _decide_arrived(
    message: RequestArrived,
    state: AdmissionState,
    *,
    now: float,
) -> list[Verdict]:
    verdicts = expire_leases(state, now)
    return [*verdicts, *decide_arrival(state, message, now)]


@decide_admission.register
def _decide_sent(
    message: RequestSent,
    state: AdmissionState,
    *,
    now: float,
) -> list[Verdict]:
    if message.ticket in state.running:
        state.rate.recent_sends.note(message.ticket, now=now)
    return []


@decide_admission.register
def _decide_finished(
    message: RequestFinished,
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
def _decide_lease_granted(
    message: LeaseGranted,
    state: AdmissionState,
    *,
    now: float,
) -> list[Verdict]:
    if message.ticket in state.running:
        state.leases[message.ticket] = message.ends_at
    return []


@decide_admission.register
def _decide_lease_redeemed(
    message: LeaseRedeemed,
    state: AdmissionState,
    *,
    now: float,
) -> list[Verdict]:
    # An entry may be paused between its reservation and its run message and
    # resume after the slot has been given to another request. The lease
    # expires by this owner's own clock, and a later run message is refused.
    verdicts = expire_leases(state, now)
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
    return [*expire_leases(state, now), *admit_waiting(state, now)]


@decide_admission.register
def _decide_slots_published(
    message: SlotsPublished,
    state: AdmissionState,
    *,
    now: float,
) -> list[Verdict]:
    slots = message.slots
    if not slots or (slots == state.slots and not state.adaptive):
        return []
    state.slots = message.slots
    state.limit = float(message.slots)
    state.adaptive = False
    return admit_waiting(state, now)


@decide_admission.register
def _decide_rate_reported(
    message: RateReported,
    state: AdmissionState,
    *,
    now: float,
) -> list[Verdict]:
    before = state.rate.per_second
    state.rate.note_answer(
        message.per_second,
        begun_at=message.begun_at,
        now=now,
    )
    if state.rate.per_second == before:
        return []
    return [*refuse_rate_limited(state, now), *admit_waiting(state, now)]


@decide_admission.register
def _decide_rate_forwarded(
    message: RateForwarded,
    state: AdmissionState,
    *,
    now: float,
) -> list[Verdict]:
    state.rate.note_forwarded(message.per_second, now=now)
    return refuse_rate_limited(state, now)


@decide_admission.register
def _decide_server_restarted(
    message: ServerRestarted,
    state: AdmissionState,
    *,
    now: float,
) -> list[Verdict]:
    state.rate.note_restart()
    state.pace.note_report(0, now=now)
    state.occupied_until = 0
    return admit_waiting(state, now)


@decide_admission.register
def _decide_load_reported(
    message: LoadReported,
    state: AdmissionState,
    *,
    now: float,
) -> list[Verdict]:
    load = message.load
    state.pace.note_report(load.pace_percent, now=now)
    was_occupied = now < state.occupied_until
    if not (load.waiting and load.pace_percent):
        state.occupied_until = 0
    elif state.free_slots > 0 and not state.occupied_until:
        # Others use the server, or requests that were given up still run
        # there. A request that is sent now would wait there. A server that
        # always reports waiting requests is stopped only once.
        state.occupied_until = now + OCCUPIED_SECONDS
    return admit_waiting(state, now) if was_occupied else []


@decide_admission.register
def _decide_probe_sent(
    message: ProbeSent,
    state: AdmissionState,
    *,
    now: float,
) -> list[Verdict]:
    state.rate.take_token(None, now=now)
    return []


@decide_admission.register
def _decide_cancelled(
    message: RequestCancelled,
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
    message: DrainStarted,
    state: AdmissionState,
    *,
    now: float,
) -> list[Verdict]:
    state.draining = True
    return refuse_all(state, Code.draining)


@decide_admission.register
def _decide_leaving_reported(
    message: LeavingReported,
    state: AdmissionState,
    *,
    now: float,
) -> list[Verdict]:
    return refuse_all(state, Code.draining)


@decide_admission.register
def _decide_data_centre_evacuated(
    message: DataCentreEvacuated,
    state: AdmissionState,
    *,
    now: float,
) -> list[Verdict]:
    return refuse_all(state, Code.evacuated)


@decide_admission.register
def _decide_slow_start_began(
    message: SlowStartBegan,
    state: AdmissionState,
    *,
    now: float,
) -> list[Verdict]:
    if message.has_started:
        state.rate.recent_sends.keep(state.running)
    begin_slow_start(state.rate, message.bound, now=now)
    return refuse_rate_limited(state, now)


@decide_admission.register
def _decide_slow_start_ended(
    message: SlowStartEnded,
    state: AdmissionState,
    *,
    now: float,
) -> list[Verdict]:
    state.rate.slow_start = None
    return admit_waiting(state, now)
