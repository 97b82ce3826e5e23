"""Tests of calls under way at an owner of which nothing is heard."""

from __future__ import annotations

from concurrent.futures import ThreadPoolExecutor
from typing import TYPE_CHECKING, Final

import pytest

from wagtaildale.calls.tests.owners import BODY, SilentOwner
from wagtaildale.calls.tests.pairs import PATIENCE, Pair
from wagtaildale.lifecycle.stop import Stop
from wagtaildale.testing.builders import MESH_TEXT
from wagtaildale.timers.inbox import Inbox

if TYPE_CHECKING:
    from collections.abc import Iterator

# More than an entry sends before it counts an owner as silent.
SILENT_PINGS: Final = 7
PATIENT_MESH: Final = MESH_TEXT.replace('= 1000', '= 4500').replace(
    '= 2000',
    '= 4500',
)


@pytest.fixture
def lone_pair() -> Iterator[Pair]:
    """A pair whose owner's port is free for a scripted owner."""
    made = Pair()
    made.far.close()
    made.near.publish(PATIENT_MESH)
    yield made
    made.near.close()
    made.backend.close()


@pytest.fixture
def owner(lone_pair: Pair) -> Iterator[SilentOwner]:
    record = lone_pair.far.record
    made = SilentOwner(
        (record.host, record.owner_port),
        silent_pings=SILENT_PINGS,
    )
    yield made
    made.close()


def test_lookup_outlives_a_silence_of_its_owner_in_a_planned_stop(
    lone_pair: Pair,
    owner: SilentOwner,
) -> None:
    """A homeowner is told 502 by a node that stops, and the server runs on.

    The line to the owner is full for some seconds, longer than an entry
    waits to hear of it. The entry gave up the connection with all calls on
    it and answered at 18.705 s a lookup that had come at 18.234 s and had
    2.2 s left; the run message was on the line, and the server began to run
    it at 21.942 s. Nothing says that the owner is gone: the call waits.
    """
    near = lone_pair.near
    stop = Stop(calls=near.calls, inbox=Inbox(), recorder=near.recorder)
    with ThreadPoolExecutor() as executor:
        asked = executor.submit(lone_pair.ask, 'GET', '/files/1')
        assert owner.has_run.wait(PATIENCE)
        stop.begin()
        stopped = executor.submit(stop.wait, seconds=2 * PATIENCE)
        response, text = asked.result(PATIENCE)
        assert (response.status, text) == (200, BODY)
        assert stopped.result(2 * PATIENCE)
    assert len(owner.runs) == 1


def test_booking_outlives_a_silence_of_its_owner(
    lone_pair: Pair,
    owner: SilentOwner,
) -> None:
    """A roofer is booked, and the caller hears that nobody knows.

    The owner has run the booking and its answer is on a line that stands
    still for a moment. It is never sent again, so the only way to its
    answer is to wait for it.
    """
    response, text = lone_pair.ask('POST', '/bookings', b'x')
    assert (response.status, text) == (200, BODY)
    assert len(owner.runs) == 1
