"""Tests of a planned stop as other nodes see it."""

from __future__ import annotations

import socket
from concurrent.futures import ThreadPoolExecutor
from typing import TYPE_CHECKING

import pytest
from msgspec import json, structs

from standins.hosted import HostedBackend
from wagtaildale.calls.frames import PLAIN, Ping, Pong, encode_frame
from wagtaildale.calls.tests.pairs import TIMEOUT_SECONDS, Pair, wait_until
from wagtaildale.calls.tests.relays import Relay
from wagtaildale.lifecycle.stop import Stop
from wagtaildale.testing.builders import build_record
from wagtaildale.testing.mesh import BACKEND_PORT, MeshNode
from wagtaildale.timers.inbox import Inbox

if TYPE_CHECKING:
    from collections.abc import Iterator

CHAIN_MESH = """
name = "Test Mesh"

[[services]]
name = "casefiles"
team = "field"

[[services.classes]]
name = "chain"
methods = ["GET"]
path = "/chain/{left}"
idempotent = true
target = { within_ms = 5000, percent = 99 }
deadline_ms = 5000
"""
READ_BYTES = 4096
# Far more than a stop takes that waits for nothing.
LONG = 1e9
RELAY_HOST = '127.0.9.4'


class LeavingOwner:
    """A planned stop of the owner node of a pair; callers are long gone."""

    def __init__(self) -> None:
        self.pair = Pair()
        far = self.pair.owner_node
        self.stop = Stop(
            calls=far.calls,
            inbox=Inbox(),
            recorder=far.recorder,
            announce_seconds=0,
            linger_seconds=0,
        )

    def end_process(self) -> None:
        """Stop as the daemon does, and end."""
        self.stop.begin()
        self.stop.wait(seconds=2 * TIMEOUT_SECONDS)
        self.pair.owner_node.close()


@pytest.fixture
def leaving() -> Iterator[LeavingOwner]:
    made = LeavingOwner()
    yield made
    made.pair.close()


@pytest.fixture
def patient_stop(monkeypatch: pytest.MonkeyPatch) -> None:
    """Let a stop wait for entries longer than any pause of a busy machine."""
    monkeypatch.setattr(
        'wagtaildale.lifecycle.stop.NODES_SECONDS',
        TIMEOUT_SECONDS,
        raising=False,
    )


@pytest.mark.usefixtures('patient_stop')
def test_run_on_the_wire_is_not_lost_with_the_owner(
    leaving: LeavingOwner,
) -> None:
    """A lookup fails, or costs a repeat, because another node is replaced.

    It is on its way to an owner that has nothing under way and ends. The
    connection closes before the lookup is read, and its entry cannot know
    that nothing ran. The owner has to stay until its entries have closed.
    """
    pair = leaving.pair
    owner = (pair.owner_node.record.host, pair.owner_node.record.owner_port)
    relayed = structs.replace(pair.owner_node.record, host=RELAY_HOST)
    relay = Relay((relayed.host, relayed.owner_port), owner=owner)
    other = build_record('c', host='127.0.9.3')
    backend = HostedBackend('c', host=other.host, port=BACKEND_PORT)
    with backend, MeshNode(other), ThreadPoolExecutor(2) as executor:
        pair.entry_node.show(relayed)
        pair.ask('GET', '/files/1')
        returned = relay.returned_bytes
        relay.pause()
        asked = executor.submit(pair.ask, 'GET', '/files/2')
        wait_until(lambda: relay.held_bytes > 0)
        pair.entry_node.show(relayed, other)
        ended = executor.submit(leaving.end_process)
        wait_until(lambda: ended.done() or relay.returned_bytes > returned)
        relay.resume()
        response, text = asked.result(TIMEOUT_SECONDS)
        ended.result(2 * TIMEOUT_SECONDS)
    relay.close()
    assert response.status == 200
    assert json.decode(text)['by'] == 'c'
    tally = pair.entry_node.tallies.sum_up()['casefiles/lookup']
    assert tally.retried == 0
    assert pair.backend.counts.runs == 1


def test_entries_have_closed_when_the_owner_ends(
    leaving: LeavingOwner,
) -> None:
    """A stop is over, and entries still send on their open connections."""
    leaving.pair.ask('GET', '/files/1')
    assert leaving.pair.owner_node.calls.peer_port.open_connections == 1
    leaving.stop.begin()
    assert leaving.stop.wait(seconds=TIMEOUT_SECONDS)
    assert not leaving.pair.owner_node.calls.peer_port.open_connections


def test_peer_that_never_closes_does_not_hold_the_stop(
    leaving: LeavingOwner,
) -> None:
    """An entry is cut off, and the stop of an owner waits for it.

    It is given a moment to close; then the owner does, and the bytes that
    the entry still sends bring it the end of the line and no reset.
    """
    record = leaving.pair.owner_node.record
    address = (record.host, record.owner_port)
    with socket.create_connection(address, TIMEOUT_SECONDS) as sock:
        sock.sendall(PLAIN + encode_frame(Ping()))
        assert sock.recv(READ_BYTES) == encode_frame(Pong())
        leaving.stop.begin()
        assert leaving.stop.wait(seconds=LONG)
        sock.sendall(encode_frame(Ping()))
        assert not sock.recv(1)


def test_run_that_still_makes_calls_finds_the_port_open(
    leaving: LeavingOwner,
) -> None:
    """A report fails with a 500 because the node beside its server stops.

    It was taken before the stop, and half-way through its server makes a
    call of its own, on a new connection to the node: refused. The port
    stays open while such runs are under way, and closes then.
    """
    pair = leaving.pair
    near = pair.entry_node.record
    backend = HostedBackend('a', host=near.host, port=BACKEND_PORT)
    pair.entry_node.publish(CHAIN_MESH)
    pair.owner_node.publish(CHAIN_MESH)
    pair.owner_node.show(near)
    pair.backend.faults.service_ms = 300
    with backend, ThreadPoolExecutor(1) as executor:
        asked = executor.submit(pair.ask, 'GET', '/chain/1')
        wait_until(lambda: pair.backend.counts.runs == 1)
        leaving.stop.begin()
        assert leaving.stop.wait(seconds=2 * TIMEOUT_SECONDS)
        response, text = asked.result(TIMEOUT_SECONDS)
    assert response.status == 200
    assert backend.counts.runs == 1
    assert json.decode(text)['by'] == 'b'
    with pytest.raises(ConnectionRefusedError):
        socket.create_connection(pair.owner_node.entry, TIMEOUT_SECONDS)


def test_port_is_not_held_open_until_the_bound(leaving: LeavingOwner) -> None:
    """A planned stop reaches its bound and cuts callers who came late.

    One long run kept the port open, and callers kept coming until the end.
    """
    leaving.pair.owner_node.hold_slot()
    leaving.stop.begin()
    assert not leaving.stop.wait(seconds=2)
    with pytest.raises(ConnectionRefusedError):
        socket.create_connection(leaving.pair.owner_node.entry, TIMEOUT_SECONDS)
