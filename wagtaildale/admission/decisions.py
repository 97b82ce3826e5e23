"""Decides who runs, who waits and who is refused.

Deterministic: no clock, no lock. A refusal given here is true, since no
request reaches the backend server but by an ``Admitted`` from here.

Load pattern answered: more requests than the server can carry, for seconds
or for good. Served in the order they came, all of them wait until all of
them are late, and the slots run what nobody is glad of any more. So a
request that cannot be answered by its target is refused at once, while
going elsewhere or coming back is still of use, and a free slot goes to the
first request that can still be in time. One that cannot runs when nothing
else of its rank waits, and is refused when a tenth of its time is over: its
caller can still do something with the refusal then.
"""

from __future__ import annotations

from bisect import insort
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
# Of the time that a request has: how long it is held without a slot. Under
# overload no slot is idle, and whoever was held for a quarter comes back with
# the target missed, only to be refused again.
HELD_SHARE: Final = 0.1


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
    return [*_end_leases(state, now), *_admit_waiting(state, now)]


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


def _judge(
    state: AdmissionState,
    message: Arrived,
    now: float,
) -> list[Verdict]:
    code = Code.draining if state.draining else Code.past_deadline
    if state.draining or message.deadline <= now:
        return [Refused(ticket=message.ticket, code=code)]
    waiting = _make_waiting(state, message, now)
    ahead = _count_ahead(state, waiting, now)
    state.note_target(message.within_ms / MILLISECONDS)
    if state.has_room_for(waiting, now) and not ahead:
        return [_admit(state, waiting, now)]
    return _enqueue(state, waiting, patient=message.patient, now=now)


def _make_waiting(
    state: AdmissionState,
    message: Arrived,
    now: float,
) -> Waiting:
    seconds = state.find_seconds(message.work_class)
    within = message.within_ms / MILLISECONDS
    due = now + within
    latest = due - seconds
    if message.patient:
        held = HELD_SHARE * (message.deadline - now)
        latest = max(latest, now + held)
    return Waiting(
        rank=message.rank,
        due=due,
        ticket=message.ticket,
        deadline=message.deadline,
        latest=min(latest, message.deadline),
        seconds=seconds,
    )


def _enqueue(
    state: AdmissionState,
    waiting: Waiting,
    *,
    patient: bool,
    now: float,
) -> list[Verdict]:
    ahead = _count_ahead(state, waiting, now)
    start = now + state.estimate_wait(ahead)
    if not _can_wait(waiting, start, patient=patient):
        # An answer that cannot be in time is refused now, not late.
        return [_shed(state, waiting.ticket)]
    insort(state.queue, waiting)
    if len(state.queue) <= state.queue_most:
        return []
    # What can wait longest is shed first: the last of the queue.
    return [_shed(state, state.queue.pop().ticket)]


def _can_wait(waiting: Waiting, start: float, *, patient: bool) -> bool:
    if waiting.is_in_time(start):
        return start + waiting.seconds <= waiting.deadline
    if not patient or start > waiting.latest:
        return False
    return start + waiting.seconds <= waiting.deadline


def _count_ahead(state: AdmissionState, waiting: Waiting, now: float) -> int:
    in_time = waiting.is_in_time(now)
    return sum(
        _goes_first(other, waiting, now, in_time) for other in state.queue
    )


def _goes_first(
    other: Waiting,
    waiting: Waiting,
    now: float,
    in_time: bool,
) -> bool:
    if other.rank != waiting.rank:
        return other.rank < waiting.rank
    # Of one rank those go first that can still be in time.
    other_in_time = other.is_in_time(now)
    if other_in_time != in_time:
        return other_in_time
    return other.due < waiting.due


def _admit(state: AdmissionState, waiting: Waiting, now: float) -> Admitted:
    state.running[waiting.ticket] = now
    return Admitted(ticket=waiting.ticket)


def _end_leases(state: AdmissionState, now: float) -> list[Verdict]:
    ended = [
        ticket for ticket, ends_at in state.leases.items() if ends_at <= now
    ]
    for ticket in ended:
        state.leases.pop(ticket)
        state.running.pop(ticket, None)
    return _admit_waiting(state, now) if ended else []


def _admit_waiting(state: AdmissionState, now: float) -> list[Verdict]:
    verdicts = _refuse_held(state, now)
    following = _find_next(state, now)
    while following is not None:
        state.queue.remove(following)
        verdicts.append(_admit(state, following, now))
        following = _find_next(state, now)
    return verdicts


def _refuse_held(state: AdmissionState, now: float) -> list[Verdict]:
    held = [waiting for waiting in state.queue if waiting.latest <= now]
    verdicts: list[Verdict] = []
    for waiting in held:
        state.queue.remove(waiting)
        # With a slot free now it runs after all, though late.
        if waiting.deadline > now and state.has_room_for(waiting, now):
            verdicts.append(_admit(state, waiting, now))
        else:
            verdicts.append(_refuse_late(state, waiting.ticket))
    return verdicts


def _find_next(state: AdmissionState, now: float) -> Waiting | None:
    late: Waiting | None = None
    for waiting in state.queue:
        if late is not None and waiting.rank > late.rank:
            return late
        if not state.has_room_for(waiting, now):
            continue
        if waiting.is_in_time(now):
            return waiting
        late = late or waiting
    return late


def _refuse_late(state: AdmissionState, ticket: TicketId) -> Refused:
    return Refused(
        ticket=ticket,
        code=Code.past_deadline,
        retry_after=state.estimate_wait(len(state.queue)),
    )


def _shed(state: AdmissionState, ticket: TicketId) -> Refused:
    ahead = len(state.queue)
    return Refused(
        ticket=ticket,
        code=Code.overloaded,
        retry_after=state.estimate_wait(ahead) + state.service_seconds,
    )
