"""Queues requests at the gate: which ones wait, in which order, how long.

Under overload, first-in first-out order makes every request wait until it is
late, and slots run requests whose responses are no longer of use. Therefore a
request that cannot be answered by its target is refused at once, while a
retry elsewhere or later can still succeed. A free slot goes to the first
request that can still meet its target. A request that cannot meet it runs if
no other request of its rank waits, and is refused after a tenth of its time,
while its caller can still act on the refusal.
"""

from __future__ import annotations

from bisect import insort
from typing import Final

from wagtaildale.admission.messages import (
    Admitted,
    Refused,
    RequestArrived,
    Verdict,
)
from wagtaildale.admission.refusals import refuse_overdue, refuse_overloaded
from wagtaildale.admission.state import AdmissionState, QueuedRequest
from wagtaildale.errors.codes import Code

MILLISECONDS: Final = 1000
# Share of its time that a request may wait for a slot past its target. Under
# overload no slot is idle: after waiting a quarter of its time, a caller
# retries with its target missed and is refused again.
MAX_HOLD_SHARE: Final = 0.1


def decide_arrival(
    state: AdmissionState,
    message: RequestArrived,
    now: float,
) -> list[Verdict]:
    """Decide on a request that has arrived.

    Args:
        state: state of the gate; updated in place.
        message: the request.
        now: current time, seconds.

    Returns:
        The verdict on the request, or on a queued one that it displaces;
        empty if it waits and displaces none.
    """
    code = Code.draining if state.draining else Code.past_deadline
    if state.draining or message.deadline <= now:
        return [Refused(ticket=message.ticket, code=code)]
    waiting = _build_queued(state, message, now)
    ahead = _count_ahead(state, waiting, now)
    may_start = state.can_run(waiting, now) and not ahead
    if not may_start:
        state.missed_at = now
    if _misses_free_slot(state, message, may_start=may_start, now=now):
        return [refuse_overloaded(state, waiting, now)]
    state.note_target_seconds(message.within_ms / MILLISECONDS)
    state.rate.note_request(message.rank, now=now)
    state.demand.note(
        message.pass_rank,
        stands_for=message.stands_for,
        now=now,
    )
    if may_start:
        return [_admit(state, waiting, now)]
    return _enqueue(state, waiting, patient=message.patient, now=now)


def _misses_free_slot(
    state: AdmissionState,
    message: RequestArrived,
    *,
    may_start: bool,
    now: float,
) -> bool:
    # The request comes back to this owner or goes to another one, and counts
    # as demand there. A server with a rate limit handles it as any other
    # request, so that the limit is shared by rank.
    if not message.asks_free_slot or may_start:
        return False
    return state.rate.find_rate(now) is None


def _build_queued(
    state: AdmissionState,
    message: RequestArrived,
    now: float,
) -> QueuedRequest:
    seconds = state.estimate_run_seconds(message.work_class, now=now)
    within = message.within_ms / MILLISECONDS
    target_at = now + within
    start_by = target_at - seconds
    if message.patient:
        held = MAX_HOLD_SHARE * (message.deadline - now)
        start_by = max(start_by, now + held)
    return QueuedRequest(
        rank=message.rank,
        target_at=target_at,
        ticket=message.ticket,
        deadline=message.deadline,
        start_by=min(start_by, message.deadline, message.latest_start),
        run_seconds=seconds,
        latest_start=message.latest_start,
    )


def _enqueue(
    state: AdmissionState,
    waiting: QueuedRequest,
    *,
    patient: bool,
    now: float,
) -> list[Verdict]:
    ahead = _count_ahead(state, waiting, now)
    start = now + state.estimate_wait(ahead, rank=waiting.rank, now=now)
    if not _may_queue(waiting, start, patient=patient):
        # The answer cannot be in time: refuse the request at once, not after
        # a useless wait.
        return [refuse_overloaded(state, waiting, now)]
    insort(state.queue, waiting)
    if len(state.queue) <= state.max_queue_length:
        return []
    # Shed the last in the queue, which can wait longest.
    return [refuse_overloaded(state, state.queue.pop(), now)]


def _may_queue(waiting: QueuedRequest, start: float, *, patient: bool) -> bool:
    if start > waiting.latest_start:
        return False
    if waiting.is_in_time(start):
        return start + waiting.run_seconds <= waiting.deadline
    if not patient or start > waiting.start_by:
        return False
    return start + waiting.run_seconds <= waiting.deadline


def _count_ahead(
    state: AdmissionState, waiting: QueuedRequest, now: float
) -> int:
    in_time = waiting.is_in_time(now)
    return sum(
        _runs_before(other, waiting, now, in_time) for other in state.queue
    )


def _runs_before(
    other: QueuedRequest,
    waiting: QueuedRequest,
    now: float,
    in_time: bool,
) -> bool:
    if other.rank != waiting.rank:
        return other.rank < waiting.rank
    # Within a rank, requests that can still meet their target run first.
    other_in_time = other.is_in_time(now)
    if other_in_time != in_time:
        return other_in_time
    return other.target_at < waiting.target_at


def _admit(
    state: AdmissionState, waiting: QueuedRequest, now: float
) -> Admitted:
    state.running[waiting.ticket] = now
    state.rate.take_token(waiting.ticket, now=now)
    return Admitted(ticket=waiting.ticket)


def expire_leases(state: AdmissionState, now: float) -> list[Verdict]:
    """Free the slots of leases that have expired without a run message.

    Args:
        state: state of the gate; updated in place.
        now: current time, seconds.

    Returns:
        Verdicts on queued requests.
    """
    ended = [
        ticket for ticket, ends_at in state.leases.items() if ends_at <= now
    ]
    for ticket in ended:
        state.leases.pop(ticket)
        state.running.pop(ticket, None)
    return admit_waiting(state, now) if ended else []


def admit_waiting(state: AdmissionState, now: float) -> list[Verdict]:
    """Admit queued requests that may run, and refuse those that are overdue.

    Args:
        state: state of the gate; updated in place.
        now: current time, seconds.

    Returns:
        Verdicts on queued requests.
    """
    verdicts = _refuse_overdue(state, now)
    following = _find_next(state, now)
    while following is not None:
        state.queue.remove(following)
        verdicts.append(_admit(state, following, now))
        following = _find_next(state, now)
    return verdicts


def _refuse_overdue(state: AdmissionState, now: float) -> list[Verdict]:
    overdue = [waiting for waiting in state.queue if waiting.start_by <= now]
    verdicts: list[Verdict] = []
    for waiting in overdue:
        state.queue.remove(waiting)
        # It still runs, though late, if a slot is free now.
        if waiting.deadline > now and state.can_run(waiting, now):
            verdicts.append(_admit(state, waiting, now))
        else:
            verdicts.append(refuse_overdue(state, waiting, now))
    return verdicts


def _find_next(state: AdmissionState, now: float) -> QueuedRequest | None:
    late: QueuedRequest | None = None
    for waiting in state.queue:
        if late is not None and waiting.rank > late.rank:
            return late
        if not state.can_run(waiting, now):
            continue
        if waiting.is_in_time(now):
            return waiting
        late = late or waiting
    return late
