"""Tests of which requests run, wait or are refused."""

from __future__ import annotations

from wagtaildale.admission.decisions import decide_admission
from wagtaildale.admission.messages import (
    Admitted,
    Refused,
    RequestArrived,
    RequestFinished,
    TicketId,
    TimePassed,
    Verdict,
)
from wagtaildale.admission.state import AdmissionState, make_admission
from wagtaildale.errors.codes import Code

LOOKUP_MS = 150
REPORT_MS = 4000
SLOTS = 4


def arrive(
    state: AdmissionState,
    number: int,
    *,
    within_ms: int,
    seconds: float = 20,
    now: float = 0,
) -> list[Verdict]:
    arrived = RequestArrived(
        ticket=TicketId(number),
        within_ms=within_ms,
        deadline=now + seconds,
    )
    return decide_admission(arrived, state, now=now)


def finish(state: AdmissionState, number: int, *, now: float) -> list[Verdict]:
    finished = RequestFinished(ticket=TicketId(number), seconds=0.08)
    return decide_admission(finished, state, now=now)


def build_busy(slots: int = SLOTS) -> AdmissionState:
    state = make_admission(slots)
    state.service_seconds = 0.08
    state.baseline_seconds = 0.08
    for number in range(1, slots + 1):
        arrive(state, number, within_ms=LOOKUP_MS)
    return state


def test_urgent_request_runs_before_slow_ones() -> None:
    """Guards against slow requests that delay urgent ones in the queue."""
    state = build_busy()
    arrive(state, 11, within_ms=REPORT_MS)
    arrive(state, 12, within_ms=LOOKUP_MS)
    assert finish(state, 1, now=0.1) == [Admitted(ticket=TicketId(12))]


def test_last_slot_is_reserved_for_urgent_requests() -> None:
    """Otherwise a burst of reports occupies every slot until they end."""
    state = make_admission(SLOTS)
    verdicts = [
        arrive(state, number, within_ms=REPORT_MS) for number in range(1, 6)
    ]
    assert [len(each) for each in verdicts] == [1, 1, 1, 0, 0]
    assert arrive(state, 9, within_ms=10) == [Admitted(ticket=TicketId(9))]


def test_report_close_to_its_target_takes_the_last_slot() -> None:
    state = build_busy()
    for number in (1, 2, 3):
        finish(state, number, now=0.01)
    for number in (11, 12, 13):
        arrive(state, number, within_ms=REPORT_MS, now=0.01)
    assert [waiting.ticket for waiting in state.queue] == [13]
    assert finish(state, 4, now=3.9) == [Admitted(ticket=TicketId(13))]


def test_short_request_takes_the_last_slot_at_once() -> None:
    """Guards against refusing short requests while their service is busy.

    A request of a millisecond with a target of one second counts as urgent
    only in its last five milliseconds. Unless short requests may take
    reserved slots before, they are refused although a slot became free a
    hundred times.
    """
    state = build_busy()
    state.class_seconds['short'] = 0.001
    arrived = RequestArrived(
        ticket=TicketId(9),
        within_ms=1000,
        deadline=1,
        work_class='short',
    )
    assert decide_admission(arrived, state, now=0) == []
    assert finish(state, 1, now=0.1) == [Admitted(ticket=TicketId(9))]


def test_request_that_cannot_meet_its_target_is_refused_at_once() -> None:
    """Otherwise a caller waits for seconds before it is refused."""
    state = build_busy()
    verdicts = arrive(state, 9, within_ms=LOOKUP_MS, seconds=0.05)
    assert isinstance(verdicts[0], Refused)
    assert verdicts[0].code is Code.overloaded
    assert verdicts[0].retry_after > 0


def test_full_queue_sheds_the_request_that_can_wait_longest() -> None:
    state = build_busy()
    state.service_seconds = 0.0001
    most = state.max_queue_length
    for number in range(100, 100 + most):
        arrive(state, number, within_ms=REPORT_MS)
    verdicts = arrive(state, 9, within_ms=LOOKUP_MS)
    shed = [verdict.ticket for verdict in verdicts]
    assert shed == [TicketId(100 + most - 1)]


def test_request_past_its_deadline_never_runs() -> None:
    state = make_admission(1)
    verdicts = arrive(state, 1, within_ms=LOOKUP_MS, seconds=-1)
    assert isinstance(verdicts[0], Refused)
    assert verdicts[0].code is Code.past_deadline


def test_new_process_refuses_requests_it_cannot_answer_in_time() -> None:
    """Guards against late responses of a busy service after a restart.

    A new process has measured no run times. If it assumed a few milliseconds
    for each request, it would queue dozens behind slots that take a tenth of
    a second each. It derives the run time from targets instead.
    """
    state = make_admission(SLOTS)
    verdicts = [
        arrive(state, number, within_ms=300, seconds=1, now=number / 1000)
        for number in range(1, 25)
    ]
    flat = [verdict for each in verdicts for verdict in each]
    refused = [each for each in flat if isinstance(each, Refused)]
    assert len(refused) >= 5


def test_second_attempt_takes_only_a_free_slot() -> None:
    """Under overload, second attempts must not take slots of first ones."""
    spare = RequestArrived(
        ticket=TicketId(9),
        within_ms=0,
        deadline=1,
        patient=False,
    )
    full = decide_admission(spare, build_busy(), now=0)
    assert [type(verdict) for verdict in full] == [Refused]
    free = decide_admission(spare, make_admission(SLOTS), now=0)
    assert free == [Admitted(ticket=TicketId(9))]


def test_late_request_is_refused_soon() -> None:
    """Under overload, every second refusal would come after 0.3 s of waiting.

    If a late request waits for a quarter of its 1.2 s for an idle slot, which
    does not occur under overload, its caller retries with the target missed
    and is refused again.
    """
    state = build_busy()
    for number in range(11, 15):
        arrive(state, number, within_ms=140, seconds=1.2)
    late = decide_admission(
        RequestArrived(ticket=TicketId(20), within_ms=70, deadline=1.2),
        state,
        now=0,
    )
    assert late == []
    passed = decide_admission(TimePassed(), state, now=0.125)
    assert TicketId(20) in {verdict.ticket for verdict in passed}
