"""Decides who runs, who waits and who is refused.

Deterministic: no clock, no lock. A refusal given here is true, since no
request reaches the backend server but by an ``Admitted`` from here.
"""

from __future__ import annotations

from bisect import bisect_left, insort
from functools import singledispatch
from typing import Final

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
    SlotsTold,
    TicketId,
    TimePassed,
    Verdict,
)
from wagtaildale.admission.state import AdmissionState, Waiting
from wagtaildale.errors.codes import Code

MILLISECONDS: Final = 1000


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
    verdicts = _end_leases(state, now)
    return [*verdicts, *_judge(state, message, now)]


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
    return _admit_waiting(state, now)


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
    verdicts = _end_leases(state, now)
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
    return _end_leases(state, now)


@decide_admission.register
def _decide_slots_told(
    message: SlotsTold,
    state: AdmissionState,
    *,
    now: float,
) -> list[Verdict]:
    state.slots = message.slots
    state.limit = float(message.slots)
    state.adaptive = False
    return _admit_waiting(state, now)


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
    refused = [
        Refused(ticket=waiting.ticket, code=Code.draining)
        for waiting in state.queue
    ]
    state.queue = []
    return list(refused)


def _enqueue(
    state: AdmissionState,
    message: Arrived,
    now: float,
) -> list[Verdict]:
    waiting = Waiting(
        rank=message.rank,
        due=now + message.within_ms / MILLISECONDS,
        ticket=message.ticket,
        deadline=message.deadline,
    )
    ahead = bisect_left(state.queue, waiting)
    wait = state.estimate_wait(ahead)
    latest = message.deadline
    if not message.patient:
        latest = min(latest, waiting.due)
    if now + wait + state.find_seconds(message.work_class) > latest:
        # An answer that cannot be in time is refused now, not late.
        return [_shed(state, message.ticket)]
    insort(state.queue, waiting)
    if len(state.queue) <= state.queue_most:
        return []
    # What can wait longest is shed first: the last of the queue.
    return [_shed(state, state.queue.pop().ticket)]


def _judge(
    state: AdmissionState,
    message: Arrived,
    now: float,
) -> list[Verdict]:
    code = Code.draining if state.draining else Code.past_deadline
    if state.draining or message.deadline <= now:
        return [Refused(ticket=message.ticket, code=code)]
    due = now + message.within_ms / MILLISECONDS
    place = (message.rank, due)
    first = not state.queue or place < state.queue[0].place
    if first and state.has_room_for(due, now):
        return [_admit(state, message, now)]
    return _enqueue(state, message, now)


def _admit(
    state: AdmissionState,
    request: Arrived | Waiting,
    now: float,
) -> Admitted:
    state.running[request.ticket] = now
    return Admitted(ticket=request.ticket)


def _end_leases(state: AdmissionState, now: float) -> list[Verdict]:
    ended = [
        ticket for ticket, ends_at in state.leases.items() if ends_at <= now
    ]
    for ticket in ended:
        state.leases.pop(ticket)
        state.running.pop(ticket, None)
    return _admit_waiting(state, now) if ended else []


def _admit_waiting(state: AdmissionState, now: float) -> list[Verdict]:
    verdicts: list[Verdict] = []
    while state.queue and state.has_room_for(state.queue[0].due, now):
        waiting = state.queue.pop(0)
        if waiting.deadline <= now:
            code = Code.past_deadline
            verdicts.append(Refused(ticket=waiting.ticket, code=code))
        else:
            verdicts.append(_admit(state, waiting, now))
    return verdicts


def _shed(state: AdmissionState, ticket: TicketId) -> Refused:
    ahead = len(state.queue)
    return Refused(
        ticket=ticket,
        code=Code.overloaded,
        retry_after=state.estimate_wait(ahead) + state.service_seconds,
    )
