"""Tests of an owner's planned stop, from the side of its entries."""

from __future__ import annotations

import socket
from concurrent.futures import ThreadPoolExecutor
from typing import TYPE_CHECKING

import pytest
from msgspec import json, structs

from standins.backend_thread import BackendThread
from wagtaildale.calls.tests.pairs import TIMEOUT_SECONDS, Pair, wait_until
from wagtaildale.calls.tests.relays import Relay
from wagtaildale.calls.wire.frames import PLAIN, Ping, Pong, encode_frame
from wagtaildale.lifecycle.stop import Stop
from wagtaildale.testing.builders import build_record
from wagtaildale.testing.loopback import make_host
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
# Far longer than a stop takes with no work in flight.
LONG_SECONDS = 1e9
RELAY_HOST = make_host(4)


class StoppingOwner:
    """A planned stop of the owner node of a pair, without callers."""

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
        """Run the whole stop as the daemon does, and close the node."""
        self.stop.begin()
        self.stop.wait(seconds=2 * TIMEOUT_SECONDS)
        self.pair.owner_node.close()


@pytest.fixture
def stopping_owner() -> Iterator[StoppingOwner]:
    prepared = StoppingOwner()
    yield prepared
    prepared.pair.close()


@pytest.fixture
def patient_stop(monkeypatch: pytest.MonkeyPatch) -> None:
    """Make a stop wait for entries longer than any pause of a busy machine."""
    monkeypatch.setattr(
        'wagtaildale.lifecycle.stop.ENTRY_CLOSE_SECONDS',
        TIMEOUT_SECONDS,
        raising=False,
    )


@pytest.mark.usefixtures('patient_stop')
def test_run_message_on_the_wire_is_not_lost_when_the_owner_stops(
    stopping_owner: StoppingOwner,
) -> None:
    """A lookup fails, or is retried, because another node is replaced.

    Its run message is on the wire to an owner that has no work in flight and
    ends. The connection closes before the message is read, and the entry
    cannot know that nothing ran. The owner must wait until its entries have
    closed.
    """
    pair = stopping_owner.pair
    owner = (pair.owner_node.record.host, pair.owner_node.record.owner_port)
    relayed = structs.replace(pair.owner_node.record, host=RELAY_HOST)
    relay = Relay((relayed.host, relayed.owner_port), owner=owner)
    other = build_record('c', host=make_host(3))
    backend = BackendThread('c', host=other.host, port=BACKEND_PORT)
    with backend, MeshNode(other), ThreadPoolExecutor(2) as executor:
        pair.entry_node.set_instances(relayed)
        pair.ask('GET', '/files/1')
        returned = relay.returned_bytes
        relay.pause()
        pending = executor.submit(pair.ask, 'GET', '/files/2')
        wait_until(lambda: relay.held_bytes > 0)
        pair.entry_node.set_instances(relayed, other)
        stopped = executor.submit(stopping_owner.end_process)
        wait_until(lambda: stopped.done() or relay.returned_bytes > returned)
        relay.resume()
        response, body = pending.result(TIMEOUT_SECONDS)
        stopped.result(2 * TIMEOUT_SECONDS)
    relay.close()
    assert response.status == 200
    assert json.decode(body)['by'] == 'c'
    tally = pair.entry_node.tallies.sum_up()['casefiles/lookup']
    assert tally.retried == 0
    assert pair.backend.counts.runs == 1


def test_entries_have_closed_when_the_owner_ends(
    stopping_owner: StoppingOwner,
) -> None:
    """A stop is over while entries still send on open connections."""
    stopping_owner.pair.ask('GET', '/files/1')
    assert stopping_owner.pair.owner_node.calls.peer_port.open_connections == 1
    stopping_owner.stop.begin()
    assert stopping_owner.stop.wait(seconds=TIMEOUT_SECONDS)
    assert not stopping_owner.pair.owner_node.calls.peer_port.open_connections


def test_peer_that_never_closes_does_not_hold_the_stop(
    stopping_owner: StoppingOwner,
) -> None:
    """The stop of an owner waits for an entry that is cut off.

    The entry has a short time to close its connection, then the owner closes
    it. Bytes that the entry still sends are answered with the end of the
    stream and not with a reset.
    """
    record = stopping_owner.pair.owner_node.record
    address = (record.host, record.owner_port)
    with socket.create_connection(address, TIMEOUT_SECONDS) as sock:
        sock.sendall(PLAIN + encode_frame(Ping()))
        pong = Pong(collects_bodies=True, accepts_start_limits=True)
        assert sock.recv(READ_BYTES) == encode_frame(pong)
        stopping_owner.stop.begin()
        assert stopping_owner.stop.wait(seconds=LONG_SECONDS)
        sock.sendall(encode_frame(Ping()))
        assert not sock.recv(1)


def test_port_stays_open_for_calls_of_running_requests(
    stopping_owner: StoppingOwner,
) -> None:
    """A report fails with a 500 because the node beside its server stops.

    The request was accepted before the stop. Its server then makes a call of
    its own on a new connection to the node, which is refused unless the port
    stays open while such requests run.
    """
    pair = stopping_owner.pair
    near = pair.entry_node.record
    backend = BackendThread('a', host=near.host, port=BACKEND_PORT)
    pair.entry_node.publish(CHAIN_MESH)
    pair.owner_node.publish(CHAIN_MESH)
    pair.owner_node.set_instances(near)
    pair.backend.faults.service_ms = 300
    with backend, ThreadPoolExecutor(1) as executor:
        pending = executor.submit(pair.ask, 'GET', '/chain/1')
        wait_until(lambda: pair.backend.counts.runs == 1)
        stopping_owner.stop.begin()
        assert stopping_owner.stop.wait(seconds=2 * TIMEOUT_SECONDS)
        response, body = pending.result(TIMEOUT_SECONDS)
    assert response.status == 200
    assert backend.counts.runs == 1
    assert json.decode(body)['by'] == 'b'
    with pytest.raises(ConnectionRefusedError):
        socket.create_connection(pair.owner_node.entry, TIMEOUT_SECONDS)


def test_port_is_not_held_open_until_the_bound(
    stopping_owner: StoppingOwner,
) -> None:
    """A planned stop reaches its bound and cuts late callers.

    One long run keeps the port open, and callers keep connecting until the
    end.
    """
    stopping_owner.pair.owner_node.hold_slot()
    stopping_owner.stop.begin()
    assert not stopping_owner.stop.wait(seconds=2)
    with pytest.raises(ConnectionRefusedError):
        socket.create_connection(
            stopping_owner.pair.owner_node.entry, TIMEOUT_SECONDS
        )
