"""Tests of what entries are told of an overload."""

from __future__ import annotations

from typing import TYPE_CHECKING

from wagtaildale.admission.gate import Gate
from wagtaildale.admission.limits import Ending
from wagtaildale.admission.messages import RequestArrived
from wagtaildale.admission.state import make_admission
from wagtaildale.calls.owner.load_notifier import LoadNotifier
from wagtaildale.calls.tests.pairs import wait_until
from wagtaildale.testing.builders import build_recorder
from wagtaildale.timers.alarms import Alarms
from wagtaildale.timers.service import read_clock
from wagtaildale.types import InstanceId

if TYPE_CHECKING:
    from wagtaildale.calls.wire.frames import LoadReport

SLOTS = 2
RUN_SECONDS = 0.1
REQUESTS = 100


def run_request(gate: Gate) -> None:
    """Let the gate learn how long a request runs."""
    now = read_clock()
    arrived = RequestArrived(within_ms=1000, deadline=now + 1)
    ticket = gate.request_slot(arrived, lambda _verdict: None)
    gate.release_slot(ticket, seconds=RUN_SECONDS, ending=Ending.good)


def test_entries_learn_that_an_overload_is_over() -> None:
    """Entries reject all requests, so that none shows that the load is gone."""
    alarms = Alarms()
    gate = Gate(make_admission(SLOTS), alarms=alarms)
    run_request(gate)
    notifier = LoadNotifier(
        gate,
        instance=InstanceId('a'),
        recorder=build_recorder(),
        find_leaving=lambda: None,
        read_lines=lambda: (None, None),
    )
    reports: list[LoadReport] = []
    notifier.listeners.append(reports.append)
    gate.state.demand.note(0, stands_for=REQUESTS, now=read_clock())
    notifier.notify_changes()
    assert reports[-1].share is not None

    def is_over() -> bool:
        alarms.fire_due(read_clock())
        return reports[-1].share is None

    wait_until(is_over)
