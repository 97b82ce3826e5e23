"""Tests of how entries handle messages from owners."""

from __future__ import annotations

from typing import Final

import pytest
from msgspec import structs

from wagtaildale.admission.incoming_line import LineState
from wagtaildale.calls.addresses import Address
from wagtaildale.calls.entry.owner_listener import OwnerListener
from wagtaildale.calls.wire.frames import LoadReport
from wagtaildale.routing.leaving_servers import LeavingServer
from wagtaildale.routing.statistics import FleetStatistics
from wagtaildale.routing.view import ViewHolder
from wagtaildale.telemetry.events import EventKind
from wagtaildale.testing.builders import (
    OWNER_PORT,
    build_instances,
    build_record,
    build_recorder,
)
from wagtaildale.testing.loopback import make_host
from wagtaildale.timers.service import read_clock
from wagtaildale.types import InstanceId

OWN: Final = InstanceId('mine')
OTHER: Final = InstanceId('other')
ADDRESS: Final = Address(make_host(1), OWNER_PORT)
LOAD: Final = LoadReport(OWN, 0, 4, 0, is_up=True)


class Entry:
    """An entry with two known servers."""

    def __init__(self) -> None:
        self.recorder = build_recorder()
        self.statistics = FleetStatistics()
        self.view = ViewHolder()
        self.records = (
            structs.replace(build_record(OWN, host=ADDRESS.host), born=7),
            build_record(OTHER, host=make_host(2)),
        )
        self.view.replace_instances(build_instances(*self.records))
        self.listener = OwnerListener(
            self.view,
            statistics=self.statistics,
            recorder=self.recorder,
        )

    def receive(self, load: LoadReport) -> None:
        self.listener.note_load(ADDRESS, load)


@pytest.fixture
def entry() -> Entry:
    return Entry()


def test_owner_reports_leaving_only_for_its_own_server(entry: Entry) -> None:
    """A node reports that all servers leave, and a service has none left."""
    entry.receive(structs.replace(LOAD, leaving=LeavingServer(OTHER)))
    entry.receive(structs.replace(LOAD, leaving=LeavingServer(OWN)))
    leave = [
        entry.statistics.leaving_servers.is_leaving(each)
        for each in entry.records
    ]
    assert leave == [True, False]
    kinds = [event.kind for event in entry.recorder.read_since(0)]
    assert kinds == [EventKind.message_refused, EventKind.upstream_leaving]


def test_server_reported_down_stays_down_until_reported_up(
    entry: Entry,
) -> None:
    entry.receive(structs.replace(LOAD, is_up=False))
    now = read_clock()
    assert entry.statistics.down_servers.is_down(OWN, now=now)
    assert not entry.statistics.down_servers.is_down(OTHER, now=now)
    entry.receive(LOAD)
    assert not entry.statistics.down_servers.is_down(OWN, now=now)


def test_report_of_a_silent_owner_expires(entry: Entry) -> None:
    """An owner stops answering after it has reported its server down."""
    entry.receive(structs.replace(LOAD, is_up=False))
    assert not entry.statistics.down_servers.is_down(OWN, now=read_clock() + 2)


def test_restarted_server_has_no_limit_and_is_not_leaving(entry: Entry) -> None:
    """A limit or an announced stop outlives the server that reported it."""
    entry.receive(
        structs.replace(
            LOAD,
            is_up=False,
            rate_milli=1000,
            leaving=LeavingServer(OWN),
        ),
    )
    assert entry.statistics.server_limits.is_limited(OWN)
    entry.receive(LOAD)
    assert not entry.statistics.server_limits.is_limited(OWN)
    assert not entry.statistics.leaving_servers.is_leaving(entry.records[0])


def test_outgoing_line_is_known_from_a_load_message(entry: Entry) -> None:
    """Only answers told of a backlog, and entries without any learned late."""
    state = LineState(1500, 625)
    entry.receive(structs.replace(LOAD, outgoing_line=state))
    now = read_clock()
    waits = [
        entry.statistics.find(name, now=now).lines.outgoing.estimate_wait(now)
        for name in (OWN, OTHER)
    ]
    assert waits == [1.5, 0]


def test_reported_pace_reaches_the_statistics(entry: Entry) -> None:
    """An entry without a recent answer knows nothing of a slow period."""
    entry.receive(structs.replace(LOAD, pace_percent=300))
    now = read_clock()
    slowness = entry.statistics.find(OWN, now=now).slowness
    assert slowness.has_fresh_pace(now)
    assert slowness.estimate_pace(now) > 2
