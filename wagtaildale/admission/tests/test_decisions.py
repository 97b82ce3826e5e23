"""Tests of who runs, who waits and who is refused."""

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


def test_lookup_goes_before_reports() -> None:
    """Insurers' reports hold up an adjuster on a roof."""
    state = build_busy()
    arrive(state, 11, within_ms=REPORT_MS)
    arrive(state, 12, within_ms=LOOKUP_MS)
    assert finish(state, 1, now=0.1) == [Admitted(ticket=TicketId(12))]


def test_last_slot_is_kept_for_what_cannot_wait() -> None:
    """A burst of reports takes every slot for as long as they run."""
    state = make_admission(SLOTS)
    verdicts = [
        arrive(state, number, within_ms=REPORT_MS) for number in range(1, 6)
    ]
    assert [len(each) for each in verdicts] == [1, 1, 1, 0, 0]
    assert arrive(state, 9, within_ms=10) == [Admitted(ticket=TicketId(9))]


def test_report_whose_time_grows_short_takes_the_last_slot() -> None:
    state = build_busy()
    for number in (1, 2, 3):
        finish(state, number, now=0.01)
    for number in (11, 12, 13):
        arrive(state, number, within_ms=REPORT_MS, now=0.01)
    assert [waiting.ticket for waiting in state.queue] == [13]
    assert finish(state, 4, now=3.9) == [Admitted(ticket=TicketId(13))]


def test_short_request_takes_the_last_slot_at_once() -> None:
    """A route that was just added answers nobody while its service is busy.

    Its requests take a millisecond and have a second: they counted as ones
    that can wait, for five milliseconds before the end of their time, and
    were refused then although a slot had come free a hundred times.
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


def test_answer_that_cannot_be_in_time_is_refused_at_once() -> None:
    """A caller waits for seconds to hear that it waited in vain."""
    state = build_busy()
    verdicts = arrive(state, 9, within_ms=LOOKUP_MS, seconds=0.05)
    assert isinstance(verdicts[0], Refused)
    assert verdicts[0].code is Code.overloaded
    assert verdicts[0].retry_after > 0


def test_full_queue_sheds_what_can_wait_longest() -> None:
    state = build_busy()
    state.service_seconds = 0.0001
    most = state.max_queue_length
    for number in range(100, 100 + most):
        arrive(state, number, within_ms=REPORT_MS)
    verdicts = arrive(state, 9, within_ms=LOOKUP_MS)
    shed = [verdict.ticket for verdict in verdicts]
    assert shed == [TicketId(100 + most - 1)]


def test_past_deadline_never_runs() -> None:
    state = make_admission(1)
    verdicts = arrive(state, 1, within_ms=LOOKUP_MS, seconds=-1)
    assert isinstance(verdicts[0], Refused)
    assert verdicts[0].code is Code.past_deadline


def test_new_process_refuses_what_it_cannot_answer_in_time() -> None:
    """Right after a restart every answer of a busy service is late.

    The new process knew no times yet and took each request for one of some
    milliseconds, so dozens were queued behind slots that take a tenth of a
    second each. It goes by their targets until it has seen answers.
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
    """Under overload second attempts take the slots of first ones."""
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


def test_late_request_hears_soon_that_it_does_not_run() -> None:
    """Under overload every second refusal comes after 0.3 s of waiting.

    A request that could no longer be in time was kept for a quarter of its
    1.2 s on the chance of an idle slot, which none has under overload. Its
    caller came back with its target missed and was refused again.
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
