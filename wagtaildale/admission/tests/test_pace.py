"""Tests of the pace that backend servers report."""

from __future__ import annotations

from typing import Final

import pytest

from wagtaildale.admission.decisions import decide_admission
from wagtaildale.admission.limits import Ending
from wagtaildale.admission.messages import (
    Admitted,
    RequestArrived,
    RequestFinished,
    TicketId,
    TimePassed,
    Verdict,
)
from wagtaildale.admission.pace import (
    DECAY_SECONDS,
    MAX_PERCENT,
    OCCUPIED_SECONDS,
    Pace,
    ReportedPace,
    ServerLoad,
)

from wagtaildale.admission.server_messages import (
    LoadReported,
    ServerRestarted,
)
from wagtaildale.admission.state import make_admission

SLOW_PERCENT: Final = 250
SLOW: Final = 2.5
USUAL_SECONDS: Final = 0.1
WORK_CLASS: Final = 'intake/lookup'
SLOTS: Final = 2


class PacedGate:
    """A gate whose server completes one run after the other."""

    def __init__(self) -> None:
        self.now = float(0)
        self.state = make_admission(SLOTS)
        self.last_ticket = 0

    def arrive(self) -> list[Verdict]:
        """Let a request arrive."""
        self.last_ticket += 1
        arrived = RequestArrived(
            ticket=TicketId(self.last_ticket),
            within_ms=1000,
            deadline=self.now + 5,
            work_class=WORK_CLASS,
        )
        return decide_admission(arrived, self.state, now=self.now)

    def report(self, percent: int, *, waiting: int = 0) -> list[Verdict]:
        """Let the server report its load."""
        load = ServerLoad(
            running=1, waiting=waiting, slots=SLOTS, pace_percent=percent
        )
        return decide_admission(
            LoadReported(load=load), self.state, now=self.now
        )

    def run(
        self,
        times: int,
        *,
        percent: int,
        pace: float,
        ending: Ending = Ending.good,
    ) -> None:
        """Let requests run, and the server report a pace with each answer."""
        for _run in range(times):
            self.arrive()
            self.now += USUAL_SECONDS * pace
            self.report(percent)
            finished = RequestFinished(
                ticket=TicketId(self.last_ticket),
                seconds=USUAL_SECONDS * pace,
                ending=ending,
                work_class=WORK_CLASS,
            )
            decide_admission(finished, self.state, now=self.now)

    def estimate(self) -> float:
        """Estimate the run time of the next request."""
        return self.state.estimate_run_seconds(WORK_CLASS, now=self.now)


def test_pace_is_usual_before_a_report() -> None:
    """A server that reports no pace is expected to be faster or slower."""
    pace = ReportedPace()
    assert pace.estimate(5) == 1
    assert not pace.is_fresh(0)


def test_pace_applies_until_the_next_report() -> None:
    pace = ReportedPace()
    pace.note(SLOW_PERCENT, now=1)
    assert pace.estimate(1) == pytest.approx(SLOW)
    pace.note(50, now=1.1)
    assert pace.estimate(1.1) == pytest.approx(0.5)


def test_deviation_decays_without_a_report() -> None:
    """An avoided server gets no request, so no report shows its recovery."""
    pace = ReportedPace()
    pace.note(SLOW_PERCENT, now=1)
    assert pace.estimate(1 + DECAY_SECONDS / 2) == pytest.approx(1.75)
    assert pace.is_fresh(1 + DECAY_SECONDS / 2)
    assert pace.estimate(1 + DECAY_SECONDS) == 1
    assert not pace.is_fresh(1 + DECAY_SECONDS)


def test_report_without_a_pace_ends_the_last_one() -> None:
    """A server of an earlier build inherits the pace of its predecessor."""
    pace = ReportedPace()
    pace.note(SLOW_PERCENT, now=1)
    pace.note(0, now=1.1)
    assert pace.estimate(1.1) == 1
    assert pace.encode(1.1) == 0


@pytest.mark.parametrize('percent', [-5, 10**9])
def test_reports_out_of_range_are_limited(percent: int) -> None:
    """Nonsense from another node makes an expected time negative or huge."""
    pace = ReportedPace()
    pace.note(percent, now=1)
    assert 0 <= pace.percent <= MAX_PERCENT


def test_encoded_pace_is_never_unknown() -> None:
    """A very fast server looks like one that reports no pace."""
    pace = ReportedPace()
    pace.note(1, now=1)
    assert pace.encode(1) == 1


def test_expected_run_time_follows_the_pace() -> None:
    """Requests are queued for a time that they do not have any more."""
    gate = PacedGate()
    gate.run(20, percent=100, pace=1)
    gate.report(SLOW_PERCENT)
    assert gate.estimate() == pytest.approx(USUAL_SECONDS * SLOW)
    gate.report(100)
    assert gate.estimate() == pytest.approx(USUAL_SECONDS)


def test_slow_periods_do_not_change_the_usual_time() -> None:
    """After a slow period, the owner refuses what it could answer in time."""
    gate = PacedGate()
    for _period in range(5):
        gate.run(10, percent=100, pace=1)
        gate.run(10, percent=SLOW_PERCENT, pace=SLOW)
    gate.report(100)
    assert gate.estimate() == pytest.approx(USUAL_SECONDS, rel=0.1)
    run_times = gate.state.find_run_times(WORK_CLASS)
    assert run_times.mean == pytest.approx(USUAL_SECONDS, rel=0.1)
    assert not gate.state.pace.is_contradicted


def test_server_without_a_pace_is_handled_as_before() -> None:
    """A server that reports three figures gets another estimate."""
    gates = [PacedGate(), PacedGate()]
    for gate in gates:
        gate.run(20, percent=0, pace=1)
        gate.run(5, percent=0, pace=SLOW)
    gates[0].report(0, waiting=3)
    assert gates[0].estimate() == gates[1].estimate()
    assert gates[0].estimate() > USUAL_SECONDS
    assert isinstance(gates[0].arrive()[0], Admitted)


def test_measured_times_take_precedence_over_reports() -> None:
    """A server reports that it is slow, and gets nothing more for it."""
    gate = PacedGate()
    gate.run(20, percent=100, pace=1)
    gate.run(20, percent=SLOW_PERCENT, pace=1)
    assert gate.state.pace.is_contradicted
    assert gate.estimate() == pytest.approx(USUAL_SECONDS, rel=0.25)
    assert gate.state.pace.encode(gate.now) == pytest.approx(100, rel=0.25)


def test_unreported_slowness_is_measured() -> None:
    """A server is slow for a reason that it does not know."""
    gate = PacedGate()
    gate.run(20, percent=100, pace=1)
    gate.run(20, percent=100, pace=SLOW)
    assert gate.state.pace.is_contradicted
    assert gate.estimate() == pytest.approx(USUAL_SECONDS * SLOW, rel=0.1)


def test_reports_count_again_once_they_agree() -> None:
    """One wrong report makes all later ones useless."""
    gate = PacedGate()
    gate.run(20, percent=100, pace=1)
    gate.run(20, percent=SLOW_PERCENT, pace=1)
    gate.run(30, percent=100, pace=1)
    assert not gate.state.pace.is_contradicted
    gate.report(SLOW_PERCENT)
    assert gate.estimate() == pytest.approx(USUAL_SECONDS * SLOW, rel=0.1)


def test_few_runs_do_not_contradict_a_report() -> None:
    """Two long runs by chance end the use of right reports."""
    gate = PacedGate()
    gate.run(20, percent=100, pace=1)
    gate.run(2, percent=100, pace=SLOW)
    assert not gate.state.pace.is_contradicted


def test_restarted_server_is_not_contradicted() -> None:
    """A new process of a server is judged by the reports of the last one."""
    gate = PacedGate()
    gate.run(20, percent=100, pace=1)
    gate.run(20, percent=SLOW_PERCENT, pace=1)
    decide_admission(ServerRestarted(), gate.state, now=gate.now)
    assert not gate.state.pace.is_contradicted
    assert gate.state.pace.estimate(gate.now) == 1


def test_overtaken_runs_show_that_a_server_is_slow() -> None:
    """All runs of a slow server are cancelled, so none is compared."""
    gate = PacedGate()
    gate.run(20, percent=100, pace=1)
    gate.run(20, percent=100, pace=SLOW, ending=Ending.abandoned)
    assert gate.state.pace.is_contradicted


def test_entries_are_notified_of_large_changes_only() -> None:
    """Each response of a server causes a message to all entries."""
    pace = Pace()
    pace.note_report(100, now=1)
    assert not pace.update_announcement(1)
    pace.note_report(130, now=1.1)
    assert not pace.update_announcement(1.1)
    pace.note_report(SLOW_PERCENT, now=1.2)
    assert pace.update_announcement(1.2)
    pace.note_report(100, now=1.25)
    assert not pace.update_announcement(1.25)
    assert pace.update_announcement(1.31)


def test_entries_are_notified_again_in_a_long_slow_period() -> None:
    """Entries send requests to a slow server as if it had recovered."""
    pace = Pace()
    pace.note_report(SLOW_PERCENT, now=1)
    assert pace.update_announcement(1)
    pace.note_report(SLOW_PERCENT, now=1.2)
    assert not pace.update_announcement(1.2)
    pace.note_report(SLOW_PERCENT, now=1.5)
    assert pace.update_announcement(1.5)


def test_no_slot_is_free_while_requests_wait_at_the_server() -> None:
    """A request that is sent to a full server waits there, out of order."""
    gate = PacedGate()
    gate.arrive()
    gate.report(100, waiting=1)
    assert not gate.arrive()
    verdicts = gate.report(100)
    assert [verdict.ticket for verdict in verdicts] == [gate.last_ticket]


def test_occupied_server_is_tried_again_without_a_report() -> None:
    """Without a request no report comes, and without it no request is sent."""
    gate = PacedGate()
    gate.arrive()
    gate.report(100, waiting=1)
    assert not gate.arrive()
    assert gate.state.find_next_start_at(gate.now) == OCCUPIED_SECONDS
    gate.now += OCCUPIED_SECONDS
    verdicts = decide_admission(TimePassed(), gate.state, now=gate.now)
    assert isinstance(verdicts[0], Admitted)


def test_full_server_may_have_waiting_requests() -> None:
    """A slot that is freed stays idle although the owner caused the queue."""
    gate = PacedGate()
    for _slot in range(SLOTS):
        gate.arrive()
    gate.report(100, waiting=1)
    assert gate.now >= gate.state.occupied_until


def test_waiting_requests_stop_a_server_only_once() -> None:
    """A wrong number of waiting requests takes a server out of use."""
    gate = PacedGate()
    gate.arrive()
    gate.report(100, waiting=1)
    gate.now += OCCUPIED_SECONDS
    gate.report(100, waiting=1)
    assert isinstance(gate.arrive()[0], Admitted)
