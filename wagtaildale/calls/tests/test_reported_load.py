"""Tests of servers that report their load."""

from __future__ import annotations

from math import inf
from typing import TYPE_CHECKING, Final

import pytest

from wagtaildale.admission.gate import Gate
from wagtaildale.admission.messages import RequestArrived
from wagtaildale.admission.pace import OCCUPIED_SECONDS, Pace, ServerLoad
from wagtaildale.admission.server_messages import LoadReported
from wagtaildale.admission.state import make_admission
from wagtaildale.calls.owner.pace_steps import PaceSteps
from wagtaildale.calls.tests.feedback_servers import FeedbackFleet
from wagtaildale.calls.tests.pairs import wait_until
from wagtaildale.telemetry.events import EventKind
from wagtaildale.testing.builders import build_recorder
from wagtaildale.timers.alarms import Alarms
from wagtaildale.timers.service import read_clock

if TYPE_CHECKING:
    from collections.abc import Iterator

    from wagtaildale.admission.messages import Verdict
    from wagtaildale.admission.pace import ReportedPace

PATH: Final = '/files/1'
SLOW_PERCENT: Final = 250


@pytest.fixture
def fleet() -> Iterator[FeedbackFleet]:
    with FeedbackFleet(1, entries=2) as made:
        yield made


def find_known_pace(fleet: FeedbackFleet, *, entry: int = 0) -> ReportedPace:
    """Find what an entry knows of the pace of the only server."""
    instance = fleet.records[0].instance
    statistics = fleet.entries[entry].calls.entry.parts.placement.statistics
    return statistics.find(instance, now=0).slowness.pace


def test_entries_learn_the_pace_with_each_answer(
    fleet: FeedbackFleet, monkeypatch: pytest.MonkeyPatch
) -> None:
    """An entry sends urgent requests to a server in a slow period."""
    # A report loses weight with its age, also on its way to the entry.
    monkeypatch.setattr('wagtaildale.admission.pace.DECAY_SECONDS', inf)
    fleet.backends[0].feedback_headers = b'x-server-load: 1,0,4,250\r\n'
    fleet.ask(PATH)
    assert find_known_pace(fleet).percent == SLOW_PERCENT


def is_answered(fleet: FeedbackFleet) -> bool:
    """Send a request and tell whether the server has answered it."""
    return fleet.ask(PATH).startswith(b'HTTP/1.1 200')


@pytest.mark.parametrize('text', [b'', b'1,0,4', b'1,0,4,250,1', b'slow'])
def test_servers_without_a_valid_pace_are_of_unknown_pace(
    fleet: FeedbackFleet, text: bytes
) -> None:
    """A server without a pace is handled like one that reports it."""
    if text:
        fleet.backends[0].feedback_headers = b'x-server-load: %b\r\n' % text
    answer = fleet.ask(PATH)
    assert answer.startswith(b'HTTP/1.1 200')
    assert not find_known_pace(fleet).is_known


def test_connected_entries_are_notified_of_a_slow_period(
    fleet: FeedbackFleet,
) -> None:
    """An entry without a request of its own learns nothing of the period."""
    backend = fleet.backends[0]
    backend.feedback_headers = b'x-server-load: 1,0,4,100\r\n'
    for entry in range(2):
        fleet.ask(PATH, entry=entry)
    backend.feedback_headers = b'x-server-load: 1,0,4,250\r\n'
    fleet.ask(PATH, entry=0)
    wait_until(lambda: find_known_pace(fleet, entry=1).percent > 200)


def test_server_that_always_has_waiting_requests_is_still_used(
    fleet: FeedbackFleet,
) -> None:
    """A wrong number of waiting requests takes a server out of use."""
    fleet.backends[0].feedback_headers = b'x-server-load: 1,3,4,100\r\n'
    assert is_answered(fleet)
    wait_until(lambda: is_answered(fleet))
    assert all(is_answered(fleet) for _call in range(5))


def test_contradicted_reports_are_logged_once() -> None:
    """Operators cannot see why the reported pace is not used."""
    recorder = build_recorder()
    steps = PaceSteps(recorder)
    pace = Pace()
    pace.note_report(SLOW_PERCENT, now=1)
    for is_contradicted in (False, True, True, False):
        pace.is_contradicted = is_contradicted
        steps.update(pace, now=1)
    events = recorder.read_since(0)
    assert [event.kind for event in events] == [
        EventKind.pace_contradicted,
        EventKind.pace_confirmed,
    ]
    assert events[0].inputs['reported_percent'] == SLOW_PERCENT


def test_gate_wakes_when_slots_count_again() -> None:
    """A request waits until its target although the server is idle."""
    alarms = Alarms()
    gate = Gate(make_admission(2), alarms=alarms)
    now = read_clock()
    verdicts: list[Verdict] = []
    for _request in range(2):
        arrived = RequestArrived(within_ms=10_000, deadline=now + 20)
        gate.request_slot(arrived, on_verdict=verdicts.append)
        load = ServerLoad(running=1, waiting=1, slots=2, pace_percent=100)
        gate.handle_server_message(LoadReported(load=load))
    assert len(verdicts) == 1
    assert alarms.find_delay(now) < 2 * OCCUPIED_SECONDS
