"""Tests of calls under way at an owner of which nothing is heard."""

from __future__ import annotations

from concurrent.futures import ThreadPoolExecutor
from contextlib import closing
from typing import TYPE_CHECKING, Final

import pytest
from msgspec import json

from standins.hosted import HostedBackend
from wagtaildale.calls.peers import REFUSED
from wagtaildale.calls.tests.scripted_owners import BODY, SilentOwner
from wagtaildale.calls.tests.pairs import PATIENCE, Pair, read_code, wait_until
from wagtaildale.errors.codes import Code
from wagtaildale.lifecycle.stop import Stop
from wagtaildale.testing.builders import MESH_TEXT, build_record
from wagtaildale.testing.mesh import BACKEND_PORT, MeshNode
from wagtaildale.timers.inbox import Inbox

if TYPE_CHECKING:
    from collections.abc import Iterator

# More than an entry sends before it counts an owner as silent.
SILENT_PINGS: Final = 7
# More than are sent until a newer connection has answered and, a ping later,
# shown that the owner is there.
OUTAGE_PINGS: Final = 5
FOR_GOOD: Final = 1_000_000
LOOKUP: Final = b'GET /files/1 HTTP/1.1\r\nhost: m\r\n\r\n'
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
    """An owner whose line stands still after a run came."""
    made = build_owner(lone_pair, silent_pings=SILENT_PINGS)
    yield made
    made.close()


@pytest.fixture
def cut_owner(lone_pair: Pair) -> Iterator[SilentOwner]:
    """An owner whose first connection is silent for good."""
    made = build_owner(lone_pair, silent_pings=FOR_GOOD, only_first=True)
    yield made
    made.close()


def build_owner(
    pair: Pair,
    *,
    silent_pings: int,
    only_first: bool = False,
    begins: bool = False,
) -> SilentOwner:
    record = pair.far.record
    return SilentOwner(
        (record.host, record.owner_port),
        silent_pings=silent_pings,
        only_first=only_first,
        begins=begins,
    )


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


def test_lookup_leaves_a_silent_owner_for_another(
    lone_pair: Pair,
    owner: SilentOwner,
) -> None:
    """A lookup waits for a silent server while another one stands idle."""
    other = build_record('c', host='127.0.9.3')
    backend = HostedBackend('c', host=other.host, port=BACKEND_PORT)
    near = lone_pair.near
    with backend, MeshNode(other), ThreadPoolExecutor() as executor:
        asked = executor.submit(lone_pair.ask, 'GET', '/files/1')
        assert owner.has_run.wait(PATIENCE)
        near.show(lone_pair.far.record, other)
        response, text = asked.result(PATIENCE)
        assert response.status == 200
        assert json.decode(text)['by'] == 'c'


def test_lookup_leaves_a_silent_owner_once_it_can(lone_pair: Pair) -> None:
    """A lookup waits for a silent server, though another one has come back.

    When its owner fell silent there was nobody else to ask, or no repeat
    left. Whether it can go elsewhere is looked at again and again.
    """
    other = build_record('c', host='127.0.9.3')
    backend = HostedBackend('c', host=other.host, port=BACKEND_PORT)
    silent = closing(build_owner(lone_pair, silent_pings=FOR_GOOD))
    with silent as owner, backend, MeshNode(other):
        with ThreadPoolExecutor() as executor:
            asked = executor.submit(lone_pair.ask, 'GET', '/files/1')
            wait_until(lambda: owner.unanswered_pings >= SILENT_PINGS)
            lone_pair.near.show(lone_pair.far.record, other)
            response, text = asked.result(PATIENCE)
    assert response.status == 200
    assert json.decode(text)['by'] == 'c'


def test_call_leaves_a_connection_that_is_silent_for_good(
    lone_pair: Pair,
    cut_owner: SilentOwner,
) -> None:
    """A lookup waits for its deadline on a connection that is dead.

    The connection went silent without a reset, and new ones to the same
    owner work. Once one of them has answered, the old one is given up.
    """
    response, text = lone_pair.ask('GET', '/files/1')
    assert (response.status, text) == (200, BODY)
    assert len(cut_owner.runs) == 2


def test_booking_outlives_an_outage_that_a_newer_connection_does_not_see(
    lone_pair: Pair,
) -> None:
    """A caller hears 502 of a booking whose answer is about to come.

    Packets were lost for a while. A newer connection gets through at once;
    the older one sends its bytes again only when its timer rings, which
    after an outage may take as long again. The entry gave the older one up a
    quarter of a second after the newer one had answered.
    """
    with closing(
        build_owner(lone_pair, silent_pings=OUTAGE_PINGS, only_first=True),
    ) as owner:
        response, text = lone_pair.ask('POST', '/bookings', b'x')
    assert (response.status, text) == (200, BODY)
    assert len(owner.runs) == 1


def test_begun_answer_of_a_silent_owner_ends_at_the_deadline(
    lone_pair: Pair,
) -> None:
    """A photo set stands still half-way for ever, and holds up a stop.

    Its owner's process stands still after it has begun the answer: nothing
    comes, but nothing breaks either. No more of it can be in time once the
    deadline is over.
    """
    lone_pair.near.publish(MESH_TEXT)
    with closing(build_owner(lone_pair, silent_pings=FOR_GOOD, begins=True)):
        answer = lone_pair.talk(LOOKUP)
    assert answer.endswith(BODY)
    assert b'content-length: 8' in answer.lower()


def test_booking_is_unknown_once_its_connection_is_given_up(
    lone_pair: Pair,
    cut_owner: SilentOwner,
) -> None:
    """The same for a booking, which is never sent a second time."""
    response, text = lone_pair.ask('POST', '/bookings', b'x')
    assert response.status == 502
    assert read_code(text) is Code.outcome_unknown
    assert len(cut_owner.runs) == 1


def test_silent_owner_whose_process_is_gone_is_given_up(
    lone_pair: Pair,
) -> None:
    """A booking waits for a process that has ended behind a silent line.

    A new connection is refused: nothing listens any more, so no answer
    can come.
    """
    owner = build_owner(lone_pair, silent_pings=FOR_GOOD)
    with ThreadPoolExecutor() as executor:
        asked = executor.submit(lone_pair.ask, 'POST', '/bookings', b'x')
        assert owner.has_run.wait(PATIENCE)
        owner.close()
        response, text = asked.result(PATIENCE)
    assert response.status == 502
    assert read_code(text) is Code.outcome_unknown
    assert REFUSED.encode() in text
