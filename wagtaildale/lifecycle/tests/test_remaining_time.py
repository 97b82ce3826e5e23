"""Tests of what a stopping node still passes on."""

from __future__ import annotations

from concurrent.futures import ThreadPoolExecutor
from functools import partial
from typing import TYPE_CHECKING, Final

import pytest
from msgspec import json

from standins.backend_thread import BackendThread
from wagtaildale.admission.limits import Ending
from wagtaildale.calls.tests.pairs import (
    OUTCOME_HEADER,
    TIMEOUT_SECONDS,
    Pair,
    read_code,
    wait_until,
)
from wagtaildale.errors.codes import Code
from wagtaildale.lifecycle.stop import Stop
from wagtaildale.testing.builders import build_record
from wagtaildale.testing.loopback import make_host
from wagtaildale.testing.mesh import BACKEND_PORT, MeshNode
from wagtaildale.timers.inbox import Inbox
from wagtaildale.timers.service import read_clock

if TYPE_CHECKING:
    from collections.abc import Iterator
    from http.client import HTTPResponse

MESH: Final = """
name = "Test Mesh"

[[services]]
name = "casefiles"
team = "field"

[[services.classes]]
name = "lookup"
methods = ["GET"]
path = "/files/{claim}"
idempotent = true
target = { within_ms = 20000, percent = 99 }
deadline_ms = 30000

[[services.classes]]
name = "booking"
methods = ["POST"]
path = "/bookings"
idempotent = false
target = { within_ms = 20000, percent = 99 }
deadline_ms = 30000
"""
WORK_MS: Final = 200
# Requests until a node knows how long a class takes.
KNOWN_AFTER: Final = 12
# Time until the process ends: far more, and far less, than a request takes.
AMPLE_SECONDS: Final = 60
SCARCE_SECONDS: Final = 0.2
SHORT_SECONDS: Final = 2.0
# More than a request takes, and less than its caller waits.
SOME_SECONDS: Final = 6.0
LOOKUP: Final = ('GET', '/files/1')
BOOKING: Final = ('POST', '/bookings')


class StoppingPair:
    """An entry and an owner, of which one stops."""

    def __init__(self) -> None:
        self.pair = Pair()
        self.pair.entry_node.publish(MESH)
        self.pair.owner_node.publish(MESH)
        self.pair.backend.faults.service_ms = WORK_MS

    @property
    def runs(self) -> int:
        """Number of requests that the server has begun with."""
        return self.pair.backend.counts.runs

    def warm_up(self, request: tuple[str, str]) -> None:
        """Let both nodes learn how long a class takes."""
        with ThreadPoolExecutor(KNOWN_AFTER) as executor:
            asked = [
                executor.submit(self.ask, request)
                for _request in range(KNOWN_AFTER)
            ]
        assert {each.result()[0].status for each in asked} == {200}

    def ask(self, request: tuple[str, str]) -> tuple[HTTPResponse, bytes]:
        method, path = request
        return self.pair.ask(method, path, b'x' if method == 'POST' else None)

    def begin_stop(self, node: MeshNode, *, seconds: float) -> Stop:
        stop = Stop(calls=node.calls, inbox=Inbox(), recorder=node.recorder)
        stop.begin(seconds=seconds)
        return stop


@pytest.fixture
def stopping() -> Iterator[StoppingPair]:
    made = StoppingPair()
    yield made
    made.pair.close()


def assert_rejected_unrun(response: HTTPResponse, text: bytes) -> None:
    assert response.status == 503
    assert read_code(text) is Code.stopping
    assert response.headers[OUTCOME_HEADER].startswith('not-run')
    assert float(response.headers['retry-after']) > 0
    assert response.headers['connection'] == 'close'


@pytest.mark.parametrize('request_line', [LOOKUP, BOOKING])
def test_request_that_does_not_fit_is_rejected_at_once(
    stopping: StoppingPair, request_line: tuple[str, str]
) -> None:
    """A booking runs and is cut without an answer when its node ends."""
    stopping.warm_up(request_line)
    runs = stopping.runs
    stopping.begin_stop(stopping.pair.entry_node, seconds=SCARCE_SECONDS)
    assert_rejected_unrun(*stopping.ask(request_line))
    assert stopping.runs == runs


@pytest.mark.parametrize('request_line', [LOOKUP, BOOKING])
def test_request_that_fits_is_served_by_a_stopping_node(
    stopping: StoppingPair, request_line: tuple[str, str]
) -> None:
    """Callers without another node get no service while theirs stops."""
    stopping.warm_up(request_line)
    stopping.begin_stop(stopping.pair.entry_node, seconds=AMPLE_SECONDS)
    response, _text = stopping.ask(request_line)
    assert response.status == 200
    assert response.headers['connection'] == 'close'


def test_class_of_unknown_length_counts_with_its_deadline(
    stopping: StoppingPair,
) -> None:
    """The first request of a class is cut: nothing was known of its time."""
    stopping.begin_stop(stopping.pair.entry_node, seconds=SHORT_SECONDS)
    assert_rejected_unrun(*stopping.ask(LOOKUP))
    assert not stopping.runs


@pytest.mark.parametrize('request_line', [LOOKUP, BOOKING])
def test_request_that_waits_for_a_slot_is_rejected_before_the_end(
    stopping: StoppingPair, request_line: tuple[str, str]
) -> None:
    """A request waits for a slot until its node ends, and gets no answer."""
    stopping.warm_up(request_line)
    pair = stopping.pair
    runs = stopping.runs
    for _slot in range(pair.owner_node.gate.state.slots):
        pair.owner_node.hold_slot()
    with ThreadPoolExecutor(1) as executor:
        asked = executor.submit(stopping.ask, request_line)
        wait_until(lambda: bool(pair.owner_node.gate.state.queue))
        stop = stopping.begin_stop(pair.entry_node, seconds=SHORT_SECONDS)
        stop.wait(seconds=SHORT_SECONDS)
        assert_rejected_unrun(*asked.result(TIMEOUT_SECONDS))
    assert stopping.runs == runs
    assert not pair.owner_node.gate.state.queue


def test_waiting_request_of_an_unknown_class_is_rejected_at_once(
    stopping: StoppingPair,
) -> None:
    """A stop ends with an error: the latest start of a class is not finite."""
    pair = stopping.pair
    for _slot in range(pair.owner_node.gate.state.slots):
        pair.owner_node.hold_slot()
    with ThreadPoolExecutor(1) as executor:
        asked = executor.submit(stopping.ask, LOOKUP)
        wait_until(lambda: bool(pair.owner_node.gate.state.queue))
        stopping.begin_stop(pair.entry_node, seconds=SHORT_SECONDS)
        assert_rejected_unrun(*asked.result(TIMEOUT_SECONDS))
    assert not stopping.runs


def test_request_that_waits_still_starts_in_time(
    stopping: StoppingPair,
) -> None:
    """What waits at the beginning of a stop is rejected though it fits."""
    stopping.warm_up(LOOKUP)
    pair = stopping.pair
    held = [
        pair.owner_node.hold_slot()
        for _slot in range(pair.owner_node.gate.state.slots)
    ]
    with ThreadPoolExecutor(1) as executor:
        asked = executor.submit(stopping.ask, LOOKUP)
        wait_until(lambda: bool(pair.owner_node.gate.state.queue))
        stopping.begin_stop(pair.entry_node, seconds=AMPLE_SECONDS)
        gate = pair.owner_node.gate
        for verdict in held:
            release = partial(
                gate.release_slot,
                verdict.ticket,
                seconds=0,
                ending=Ending.abandoned,
            )
            pair.owner_node.calls.loop.submit(release).result(TIMEOUT_SECONDS)
        assert asked.result(TIMEOUT_SECONDS)[0].status == 200


def test_only_owner_that_ends_too_soon_refuses_as_not_run(
    stopping: StoppingPair,
) -> None:
    """A caller is told that there is no server, and comes back at once."""
    stopping.warm_up(LOOKUP)
    runs = stopping.runs
    stopping.begin_stop(stopping.pair.owner_node, seconds=SCARCE_SECONDS)
    response, text = stopping.ask(LOOKUP)
    assert response.status == 503
    assert read_code(text) is Code.stopping
    assert response.headers[OUTCOME_HEADER].startswith('not-run')
    assert int(response.headers['retry-after']) >= 1
    assert stopping.runs == runs


def test_owner_that_ends_too_soon_sends_a_call_elsewhere(
    stopping: StoppingPair,
) -> None:
    """The last runs at the server of a stopping node are cut."""
    stopping.warm_up(LOOKUP)
    runs = stopping.runs
    pair = stopping.pair
    other = build_record('c', host=make_host(3))
    backend = BackendThread('c', host=other.host, port=BACKEND_PORT)
    with backend, MeshNode(other) as other_node:
        other_node.publish(MESH)
        stopping.begin_stop(pair.owner_node, seconds=SCARCE_SECONDS)
        pair.entry_node.set_instances(pair.owner_node.record, other)
        answers = [stopping.ask(LOOKUP) for _request in range(4)]
    assert {response.status for response, _text in answers} == {200}
    entry = pair.entry_node.calls.entry
    upstream = entry.parts.placement.statistics.find(
        pair.owner_node.record.instance, now=read_clock()
    )
    assert not upstream.ejection.is_leaving(read_clock())
    assert {json.decode(text)['by'] for _response, text in answers} == {'c'}
    assert stopping.runs == runs


@pytest.mark.parametrize('request_line', [LOOKUP, BOOKING])
def test_late_request_is_rejected_whatever_its_class_takes(
    stopping: StoppingPair,
    request_line: tuple[str, str],
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A request takes many times as long as its class ever has and is cut."""
    monkeypatch.setattr('wagtaildale.lifecycle.stop.ESTIMATES_SECONDS', -1)
    stopping.warm_up(request_line)
    runs = stopping.runs
    stopping.begin_stop(stopping.pair.entry_node, seconds=SOME_SECONDS)
    assert_rejected_unrun(*stopping.ask(request_line))
    assert stopping.runs == runs


def test_stopping_owner_leaves_long_calls_to_another_server(
    stopping: StoppingPair,
) -> None:
    """A run that takes many times as long as ever is cut with its owner."""
    stopping.warm_up(LOOKUP)
    runs = stopping.runs
    pair = stopping.pair
    other = build_record('c', host=make_host(3))
    backend = BackendThread('c', host=other.host, port=BACKEND_PORT)
    with backend, MeshNode(other) as other_node:
        other_node.publish(MESH)
        pair.owner_node.set_instances(pair.owner_node.record, other)
        stopping.begin_stop(pair.owner_node, seconds=SOME_SECONDS)
        pair.entry_node.set_instances(pair.owner_node.record, other)
        answers = [stopping.ask(LOOKUP) for _request in range(4)]
    assert {response.status for response, _text in answers} == {200}
    assert stopping.runs == runs
