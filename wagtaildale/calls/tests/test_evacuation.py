"""Tests of evacuated data centres, over real sockets."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

import pytest
from msgspec import json, structs

from wagtaildale.calls.tests.feedback_servers import FeedbackFleet
from wagtaildale.calls.tests.pairs import wait_until
from wagtaildale.errors.codes import Code
from wagtaildale.telemetry.events import EventKind

if TYPE_CHECKING:
    from collections.abc import Iterator

    from wagtaildale.membership.records import InstanceRecord

UPSTREAMS: Final = 3
ENTRIES: Final = 2
VISITS: Final = 30
PATH: Final = '/files/1'
ANSWERED: Final = b'HTTP/1.1 200'
NOT_RUN: Final = b'HTTP/1.1 503'


class EvacuatedFleet(FeedbackFleet):
    """A fleet with the first server in a data centre of its own."""

    def __init__(self) -> None:
        super().__init__(
            UPSTREAMS,
            entries=ENTRIES,
            data_centres=('derby', 'coventry', 'coventry'),
        )

    @property
    def arrivals(self) -> list[int]:
        """Number of requests that have reached each server."""
        return [len(backend.arrivals) for backend in self.backends]

    def list_evacuated(self, *data_centres: str) -> list[InstanceRecord]:
        return [
            structs.replace(record, evacuated=True)
            if record.data_centre in data_centres
            else record
            for record in self.records
        ]

    def visit(self) -> list[bytes]:
        return [
            self.ask(PATH, entry=number % ENTRIES) for number in range(VISITS)
        ]


@pytest.fixture
def fleet() -> Iterator[EvacuatedFleet]:
    with EvacuatedFleet() as made:
        yield made


def test_evacuated_servers_get_nothing_until_they_are_taken_back(
    fleet: EvacuatedFleet,
) -> None:
    """Requests reach servers of a data centre that is being emptied."""
    fleet.show(*fleet.list_evacuated('derby'))
    before = fleet.arrivals[0]
    assert all(answer.startswith(ANSWERED) for answer in fleet.visit())
    assert fleet.arrivals[0] == before
    fleet.show(*fleet.records)
    wait_until(lambda: bool(fleet.visit()) and fleet.arrivals[0] > before)


def test_owner_refuses_what_a_late_entry_sends(fleet: EvacuatedFleet) -> None:
    """An entry does not know yet that the data centre is evacuated."""
    owner = fleet.owners[0]
    owner.set_instances(*fleet.list_evacuated('derby'))
    before = fleet.arrivals[0]
    assert all(answer.startswith(ANSWERED) for answer in fleet.visit())
    assert fleet.arrivals[0] == before
    kinds = [event.kind for event in owner.recorder.read_since(0)]
    assert EventKind.evacuation_began in kinds


def test_requests_that_wait_are_sent_elsewhere(fleet: EvacuatedFleet) -> None:
    """Requests in the queue reach a server of an evacuated data centre."""
    owner = fleet.owners[0]
    verdict = owner.hold_slot()
    while not owner.gate.state.free_slots <= 0:
        verdict = owner.hold_slot()
    assert verdict is not None
    before = fleet.arrivals[0]
    fleet.entries[0].set_instances(fleet.records[0])
    owner.set_instances(*fleet.list_evacuated('derby'))
    answer = fleet.ask(PATH)
    assert answer.startswith(NOT_RUN)
    assert json.decode(answer.partition(b'\r\n\r\n')[2])['code'] == (
        Code.evacuated
    )
    assert fleet.arrivals[0] == before


def test_callers_are_refused_at_once_if_all_is_evacuated(
    fleet: EvacuatedFleet,
) -> None:
    """With every data centre evacuated, requests wait for nothing."""
    fleet.show(*fleet.list_evacuated('derby', 'coventry'))
    before = fleet.arrivals
    assert all(answer.startswith(NOT_RUN) for answer in fleet.visit())
    assert fleet.arrivals == before
