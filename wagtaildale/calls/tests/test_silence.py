"""Tests of calls in progress at an owner that sends nothing.

The doc text of a test describes the failure that it prevents.
"""

from __future__ import annotations

from concurrent.futures import ThreadPoolExecutor
from contextlib import closing
from typing import TYPE_CHECKING, Final

import pytest
from msgspec import json

from standins.backend_thread import BackendThread
from wagtaildale.calls.entry.remote_peer import REFUSED_REASON
from wagtaildale.calls.tests.pairs import (
    TIMEOUT_SECONDS,
    Pair,
    read_code,
    wait_until,
)
from wagtaildale.calls.tests.scripted_owners import BODY, SilentOwner
from wagtaildale.errors.codes import Code
from wagtaildale.lifecycle.stop import Stop
from wagtaildale.testing.builders import MESH_TEXT, build_record
from wagtaildale.testing.loopback import make_host
from wagtaildale.testing.mesh import BACKEND_PORT, MeshNode
from wagtaildale.timers.inbox import Inbox

if TYPE_CHECKING:
    from collections.abc import Iterator

# The owner answers after this number of pings, which is more than an entry
# sends before it treats an owner as silent.
PINGS_UNTIL_ANSWER: Final = 7
# More pings than are sent until a newer connection has been answered and has
# shown, one ping later, that the owner is alive.
OUTAGE_PINGS: Final = 5
NEVER_ANSWERED_PINGS: Final = 1_000_000
LOOKUP: Final = b'GET /files/1 HTTP/1.1\r\nhost: m\r\n\r\n'
PATIENT_MESH: Final = MESH_TEXT.replace('= 1000', '= 4500').replace(
    '= 2000',
    '= 4500',
)


@pytest.fixture
def pair_without_owner() -> Iterator[Pair]:
    """A pair whose owner's port is free for a scripted owner."""
    created = Pair()
    created.owner_node.close()
    created.entry_node.publish(PATIENT_MESH)
    yield created
    created.entry_node.close()
    created.backend.close()


@pytest.fixture
def owner(pair_without_owner: Pair) -> Iterator[SilentOwner]:
    """An owner whose connections stall after it got a run message."""
    created = start_owner(pair_without_owner, silent_pings=PINGS_UNTIL_ANSWER)
    yield created
    created.close()


@pytest.fixture
def owner_with_dead_connection(
    pair_without_owner: Pair,
) -> Iterator[SilentOwner]:
    """An owner whose first connection stays silent."""
    created = start_owner(
        pair_without_owner,
        silent_pings=NEVER_ANSWERED_PINGS,
        is_only_first_silent=True,
    )
    yield created
    created.close()


def start_owner(
    pair: Pair,
    *,
    silent_pings: int,
    is_only_first_silent: bool = False,
    starts_answer: bool = False,
) -> SilentOwner:
    record = pair.owner_node.record
    return SilentOwner(
        (record.host, record.owner_port),
        silent_pings=silent_pings,
        is_only_first_silent=is_only_first_silent,
        starts_answer=starts_answer,
    )


def test_lookup_survives_a_silent_owner_in_a_planned_stop(
    pair_without_owner: Pair,
    owner: SilentOwner,
) -> None:
    """A caller gets 502 from a stopping node while the backend server runs on.

    The connection to the owner stalls for longer than an entry waits for input.
    The entry closes it and answers 502 although its caller would wait another
    2.2 s. The run message is still on the wire, and the backend server starts
    it 3.2 s later. Nothing proves that the owner is gone, so the call must
    wait.
    """
    near = pair_without_owner.entry_node
    stop = Stop(calls=near.calls, inbox=Inbox(), recorder=near.recorder)
    with ThreadPoolExecutor() as executor:
        submitted = executor.submit(pair_without_owner.ask, 'GET', '/files/1')
        assert owner.has_run.wait(TIMEOUT_SECONDS)
        stop.begin()
        stopped = executor.submit(stop.wait, seconds=2 * TIMEOUT_SECONDS)
        response, text = submitted.result(TIMEOUT_SECONDS)
        assert (response.status, text) == (200, BODY)
        assert stopped.result(2 * TIMEOUT_SECONDS)
    assert len(owner.runs) == 1


def test_booking_survives_a_silent_owner(
    pair_without_owner: Pair,
    owner: SilentOwner,
) -> None:
    """The outcome of a booking is reported as unknown although it ran.

    The owner has run it, and its answer is delayed by a stalled connection. A
    booking is never sent again, so the entry must wait for the answer.
    """
    response, text = pair_without_owner.ask('POST', '/bookings', b'x')
    assert (response.status, text) == (200, BODY)
    assert len(owner.runs) == 1


def test_lookup_moves_from_a_silent_owner_to_another(
    pair_without_owner: Pair,
    owner: SilentOwner,
) -> None:
    """A lookup waits for a silent owner while another one is idle."""
    other = build_record('c', host=make_host(3))
    backend = BackendThread('c', host=other.host, port=BACKEND_PORT)
    near = pair_without_owner.entry_node
    with backend, MeshNode(other), ThreadPoolExecutor() as executor:
        submitted = executor.submit(pair_without_owner.ask, 'GET', '/files/1')
        assert owner.has_run.wait(TIMEOUT_SECONDS)
        near.set_instances(pair_without_owner.owner_node.record, other)
        response, text = submitted.result(TIMEOUT_SECONDS)
        assert response.status == 200
        assert json.decode(text)['by'] == 'c'


def test_lookup_moves_once_another_owner_appears(
    pair_without_owner: Pair,
) -> None:
    """A lookup waits for a silent owner although another one has come back.

    When the owner became silent there was no other one, or no retry left. The
    entry must check again with each ping whether the call can move.
    """
    other = build_record('c', host=make_host(3))
    backend = BackendThread('c', host=other.host, port=BACKEND_PORT)
    silent = closing(
        start_owner(pair_without_owner, silent_pings=NEVER_ANSWERED_PINGS)
    )
    with silent as owner, backend, MeshNode(other):
        with ThreadPoolExecutor() as executor:
            submitted = executor.submit(
                pair_without_owner.ask, 'GET', '/files/1'
            )
            wait_until(lambda: owner.unanswered_pings >= PINGS_UNTIL_ANSWER)
            pair_without_owner.entry_node.set_instances(
                pair_without_owner.owner_node.record, other
            )
            response, text = submitted.result(TIMEOUT_SECONDS)
    assert response.status == 200
    assert json.decode(text)['by'] == 'c'


def test_call_leaves_a_connection_that_stays_silent(
    pair_without_owner: Pair,
    owner_with_dead_connection: SilentOwner,
) -> None:
    """A lookup waits until its deadline on a dead connection.

    The connection became silent without a reset, and new ones to the same owner
    work. Once one of them has been answered, the old one is closed.
    """
    response, text = pair_without_owner.ask('GET', '/files/1')
    assert (response.status, text) == (200, BODY)
    assert len(owner_with_dead_connection.runs) == 2


def test_booking_survives_an_outage_unseen_by_a_newer_connection(
    pair_without_owner: Pair,
) -> None:
    """A caller gets 502 for a booking whose answer is about to arrive.

    Packets were lost for a while. A newer connection works at once; the older
    one resends only when its timer fires, which may take as long as the outage
    did. The entry closed the older one a quarter of a second after the newer
    one was answered.
    """
    with closing(
        start_owner(
            pair_without_owner,
            silent_pings=OUTAGE_PINGS,
            is_only_first_silent=True,
        ),
    ) as owner:
        response, text = pair_without_owner.ask('POST', '/bookings', b'x')
    assert (response.status, text) == (200, BODY)
    assert len(owner.runs) == 1


def test_partial_answer_of_a_silent_owner_ends_at_the_deadline(
    pair_without_owner: Pair,
) -> None:
    """A partial answer never ends, and a planned stop waits for it.

    The owner's process is stuck after it has begun the answer: nothing arrives,
    and the connection does not break. After the deadline the rest cannot be in
    time any more.
    """
    pair_without_owner.entry_node.publish(MESH_TEXT)
    with closing(
        start_owner(
            pair_without_owner,
            silent_pings=NEVER_ANSWERED_PINGS,
            starts_answer=True,
        )
    ):
        answer = pair_without_owner.send_raw_request(LOOKUP)
    assert answer.endswith(BODY)
    assert b'content-length: 8' in answer.lower()


def test_booking_outcome_is_unknown_after_a_silent_connection_closes(
    pair_without_owner: Pair,
    owner_with_dead_connection: SilentOwner,
) -> None:
    """A booking on a dead connection is sent a second time.

    The entry must report its outcome as unknown instead.
    """
    response, text = pair_without_owner.ask('POST', '/bookings', b'x')
    assert response.status == 502
    assert read_code(text) is Code.outcome_unknown
    assert len(owner_with_dead_connection.runs) == 1


def test_calls_to_a_silent_owner_fail_once_its_process_is_gone(
    pair_without_owner: Pair,
) -> None:
    """A booking waits for a process that has ended behind a silent connection.

    A new connection is refused: nothing listens any more, so no answer can
    come.
    """
    owner = start_owner(pair_without_owner, silent_pings=NEVER_ANSWERED_PINGS)
    with ThreadPoolExecutor() as executor:
        submitted = executor.submit(
            pair_without_owner.ask, 'POST', '/bookings', b'x'
        )
        assert owner.has_run.wait(TIMEOUT_SECONDS)
        owner.close()
        response, text = submitted.result(TIMEOUT_SECONDS)
    assert response.status == 502
    assert read_code(text) is Code.outcome_unknown
    assert REFUSED_REASON.encode() in text
