"""Tests of entries that ask owners for a free slot."""

from __future__ import annotations

import socket
from concurrent.futures import ThreadPoolExecutor
from contextlib import closing
from functools import partial
from typing import TYPE_CHECKING, Final

import pytest

from wagtaildale.admission.limits import Ending
from wagtaildale.calls.tests.feedback_servers import FeedbackFleet
from wagtaildale.calls.tests.listeners import Listener
from wagtaildale.calls.tests.pairs import TIMEOUT_SECONDS, wait_until
from wagtaildale.calls.wire.frames import FrameReader, Reserve, Run
from wagtaildale.routing.binding import DEFAULT_MAX_REFUSALS
from wagtaildale.routing.slowness import MAX_SLOWNESS, MIN_SLOWNESS
from wagtaildale.testing.builders import (
    MESH_TEXT,
    SLOTS,
    build_record,
)
from wagtaildale.testing.loopback import make_host
from wagtaildale.timers.service import read_clock
from wagtaildale.types import InstanceId

if TYPE_CHECKING:
    from collections.abc import Iterator

    from wagtaildale.admission.messages import TicketId
    from wagtaildale.testing.mesh import MeshNode

# A run takes a sixth of the target of a lookup, and a tenth of the target is
# far longer than a round trip on any test machine.
RUN_SECONDS: Final = 0.1
WARM_UP_CALLS: Final = 2
SHORT_TARGETS: Final = MESH_TEXT.replace('within_ms = 150', 'within_ms = 600')
PACE_HEADER: Final = b'x-server-load: 1,0,4,100\r\n'
LOOKUP: Final = ('GET', '/files/1', 'casefiles/lookup')
BOOKING: Final = ('POST', '/bookings', 'casefiles/booking')


@pytest.fixture
def fleet() -> Iterator[FeedbackFleet]:
    with FeedbackFleet(2, entries=1) as made:
        for node in made.nodes:
            node.publish(SHORT_TARGETS)
        for backend in made.backends:
            backend.run_seconds = RUN_SECONDS
        yield made


def report_pace(fleet: FeedbackFleet) -> None:
    for backend in fleet.backends:
        backend.feedback_headers = PACE_HEADER


def warm_up(fleet: FeedbackFleet, method: str, path: str) -> None:
    """Let the entry learn run times, the round trip and a pace, if any."""
    for _call in range(WARM_UP_CALLS):
        assert fleet.ask(path, method=method).startswith(b'HTTP/1.1 200')


def hold_slots(fleet: FeedbackFleet) -> list[tuple[MeshNode, TicketId]]:
    return [
        (owner, owner.hold_slot().ticket)
        for owner in fleet.owners
        for _slot in range(SLOTS)
    ]


def free_slots(held: list[tuple[MeshNode, TicketId]]) -> None:
    for owner, ticket in held:
        release = partial(
            owner.gate.release_slot,
            ticket,
            seconds=0,
            ending=Ending.abandoned,
        )
        owner.calls.loop.submit(release).result(TIMEOUT_SECONDS)


def count_queued(fleet: FeedbackFleet) -> int:
    return sum(len(owner.gate.state.queue) for owner in fleet.owners)


def ask_while_full(fleet: FeedbackFleet, method: str, path: str) -> bytes:
    """Send a request while no slot is free; free one when it is queued."""
    held = hold_slots(fleet)
    with ThreadPoolExecutor(1) as executor:
        asked = executor.submit(fleet.ask, path, method=method)
        wait_until(lambda: bool(count_queued(fleet)))
        free_slots(held)
        return asked.result(TIMEOUT_SECONDS)


def count_missing_slots(fleet: FeedbackFleet, class_name: str) -> int:
    return fleet.entries[0].tallies.sum_up()[class_name].no_free_slot


@pytest.mark.parametrize(('method', 'path', 'class_name'), [LOOKUP, BOOKING])
def test_request_queues_after_a_server_without_a_free_slot(
    fleet: FeedbackFleet, method: str, path: str, class_name: str
) -> None:
    """A request that finds no free slot is refused, runs twice or is lost."""
    report_pace(fleet)
    warm_up(fleet, method, path)
    runs = sum(len(backend.arrivals) for backend in fleet.backends)
    answer = ask_while_full(fleet, method, path)
    assert answer.startswith(b'HTTP/1.1 200')
    # The caller has its answer before the entry has counted the call.
    tallies = fleet.entries[0].tallies
    wait_until(lambda: tallies.sum_up()[class_name].total == WARM_UP_CALLS + 1)
    assert count_missing_slots(fleet, class_name) == DEFAULT_MAX_REFUSALS
    assert sum(len(each.arrivals) for each in fleet.backends) == runs + 1
    tally = fleet.entries[0].tallies.sum_up()[class_name]
    assert (tally.retried, tally.redirected) == (0, 0)


@pytest.mark.parametrize(('method', 'path', 'class_name'), [LOOKUP, BOOKING])
def test_request_queues_at_once_where_no_pace_is_reported(
    fleet: FeedbackFleet, method: str, path: str, class_name: str
) -> None:
    """Late binding changes services whose servers report nothing."""
    warm_up(fleet, method, path)
    answer = ask_while_full(fleet, method, path)
    assert answer.startswith(b'HTTP/1.1 200')
    assert count_missing_slots(fleet, class_name) == 0


class ClosingOwner(Listener):
    """Closes the connection when it is asked for a slot.

    Attributes:
        asked: messages with which a slot was asked for.
    """

    def __init__(self, address: tuple[str, int]) -> None:
        self.asked: list[Reserve | Run] = []
        super().__init__(address)

    def answer(self, sock: socket.socket) -> None:
        reader = FrameReader()
        sock.recv(1)
        while chunk := sock.recv(65536):
            frames = reader.feed(chunk)
            asked = [each for each in frames if isinstance(each, Reserve | Run)]
            self.asked.extend(asked)
            if asked:
                return


def prefer(entry: MeshNode, instance: InstanceId) -> None:
    """Let an upstream look much faster than all others.

    One of several upstreams with similar times is chosen at random. It is
    done in the entry's loop, which learns the times of an answer after its
    caller has it.
    """
    entry.calls.loop.submit(partial(_prefer, entry, instance)).result(
        TIMEOUT_SECONDS
    )


def _prefer(entry: MeshNode, instance: InstanceId) -> None:
    now = read_clock()
    parts = entry.calls.entry.parts
    for listed in parts.view.current.records:
        ratio = MIN_SLOWNESS if listed == instance else MAX_SLOWNESS
        upstream = parts.placement.statistics.find(listed, now=now)
        upstream.slowness.note_reported_times(ratio, usual_ratio=ratio, now=now)


def test_booking_is_sent_elsewhere_if_an_owner_dies_while_asked(
    fleet: FeedbackFleet,
) -> None:
    """A booking fails because the owner that was asked for a slot is lost."""
    method, path, class_name = BOOKING
    report_pace(fleet)
    warm_up(fleet, method, path)
    entry = fleet.entries[0]
    record = build_record('dying', host=make_host(60))
    with closing(ClosingOwner((record.host, record.owner_port))) as owner:
        entry.set_instances(fleet.records[0], record)
        prefer(entry, record.instance)
        answer = fleet.ask(path, method=method)
    assert answer.startswith(b'HTTP/1.1 200')
    assert [type(frame) for frame in owner.asked] == [Reserve]
    assert owner.asked[0].fields.asks_free_slot
    assert entry.tallies.sum_up()[class_name].unknown == 0
