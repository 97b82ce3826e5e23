"""Tests of what entries believe of owners' word."""

from __future__ import annotations

from typing import Final

import pytest
from msgspec import structs

from wagtaildale.calls.addresses import Address
from wagtaildale.calls.frames import Load
from wagtaildale.calls.owner_listener import OwnerListener
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
from wagtaildale.timers.service import read_clock
from wagtaildale.types import InstanceId

MINE: Final = InstanceId('mine')
OTHER: Final = InstanceId('other')
ADDRESS: Final = Address('127.0.9.1', OWNER_PORT)
LOAD: Final = Load(MINE, 0, 4, 0, is_up=True)


class Entry:
    """An entry that knows of two servers."""

    def __init__(self) -> None:
        self.recorder = build_recorder()
        self.statistics = FleetStatistics()
        self.view = ViewHolder()
        self.records = (
            structs.replace(build_record(MINE, host=ADDRESS.host), born=7),
            build_record(OTHER, host='127.0.9.2'),
        )
        self.view.replace_instances(build_instances(*self.records))
        self.listener = OwnerListener(
            self.view,
            statistics=self.statistics,
            recorder=self.recorder,
        )

    def hear(self, load: Load) -> None:
        self.listener.note_load(ADDRESS, load)


@pytest.fixture
def entry() -> Entry:
    return Entry()


def test_owner_speaks_for_its_own_server_alone(entry: Entry) -> None:
    """A node says that all servers leave, and a service has none."""
    entry.hear(structs.replace(LOAD, leaving=LeavingServer(OTHER)))
    entry.hear(structs.replace(LOAD, leaving=LeavingServer(MINE)))
    leave = [
        entry.statistics.leaving_servers.has(each) for each in entry.records
    ]
    assert leave == [True, False]
    kinds = [event.kind for event in entry.recorder.read_since(0)]
    assert kinds == [EventKind.message_refused, EventKind.upstream_leaving]


def test_server_that_is_down_is_down_until_it_is_up(entry: Entry) -> None:
    entry.hear(structs.replace(LOAD, is_up=False))
    now = read_clock()
    assert entry.statistics.down.has(MINE, now=now)
    assert not entry.statistics.down.has(OTHER, now=now)
    entry.hear(LOAD)
    assert not entry.statistics.down.has(MINE, now=now)


def test_word_of_a_silent_owner_lapses(entry: Entry) -> None:
    """An owner falls silent after it has said that its server is down."""
    entry.hear(structs.replace(LOAD, is_up=False))
    assert not entry.statistics.down.has(MINE, now=read_clock() + 2)


def test_server_that_is_back_has_said_nothing(entry: Entry) -> None:
    """A limit, or a word of leaving, outlives the server that said it."""
    entry.hear(
        structs.replace(
            LOAD,
            is_up=False,
            rate_milli=1000,
            leaving=LeavingServer(MINE),
        ),
    )
    assert entry.statistics.limits.has(MINE)
    entry.hear(LOAD)
    assert not entry.statistics.limits.has(MINE)
    assert not entry.statistics.leaving_servers.has(entry.records[0])
