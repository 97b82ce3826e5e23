"""Tests of the sockets between nodes over loopback."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

import pytest
import zmq

from wagtaildale.distribution.sockets import NodeSockets, ReceivedFrame
from wagtaildale.keys.pairs import KeyPair
from wagtaildale.testing.loopback import make_host
from wagtaildale.types import InstanceId

if TYPE_CHECKING:
    from collections.abc import Iterator

HERE = f'tcp://{make_host(1)}:8082'
THERE = f'tcp://{make_host(2)}:8082'
TIMEOUT_SECONDS = 5.0
SILENCE_SECONDS = 0.3
SENDER = InstanceId('sender')


def build_pair() -> KeyPair:
    public, secret = zmq.curve_keypair()
    return KeyPair(public=public, secret=secret)


class SocketPair:
    """Sockets of two nodes."""

    def __init__(
        self,
        here: tuple[KeyPair, ...],
        there: tuple[KeyPair, ...],
    ) -> None:
        self.here = NodeSockets(here)
        self.there = NodeSockets(there)
        self.here.bind(HERE).unwrap()
        self.there.bind(THERE).unwrap()

    def close(self) -> None:
        self.here.close()
        self.there.close()

    def send(self, frame: bytes, *, seconds: float) -> list[ReceivedFrame]:
        self.here.send(THERE, frame)
        deadline = time.monotonic() + seconds
        received_frames: list[ReceivedFrame] = []
        while not received_frames and time.monotonic() < deadline:
            self.here.wait(0.01)
            received_frames = self.there.wait(0.01)
        return received_frames


@pytest.fixture
def unencrypted() -> Iterator[SocketPair]:
    sockets = SocketPair((), ())
    yield sockets
    sockets.close()


def test_reply_uses_the_connection_of_the_message(
    unencrypted: SocketPair,
) -> None:
    received = unencrypted.send(b'question', seconds=TIMEOUT_SECONDS)[0]
    unencrypted.there.note_route(SENDER, received.route)
    assert unencrypted.there.answer(SENDER, b'answer')
    frames = [each.frame for each in unencrypted.here.wait(TIMEOUT_SECONDS)]
    assert frames == [b'answer']
    assert unencrypted.here.sent_bytes == len(b'question')


def test_new_node_requests_versions_from_the_seed_that_replied(
    unencrypted: SocketPair,
) -> None:
    """Nodes of new servers have no routes while the platform is down.

    A new node learns of a version from a seed's digest. It has no list with
    the seed's address yet, so it has to request the version over the
    connection on which the seed replied.
    """
    question = unencrypted.send(b'digest?', seconds=TIMEOUT_SECONDS)[0]
    unencrypted.there.note_route(SENDER, question.route)
    unencrypted.there.answer(SENDER, b'digest')
    digest = unencrypted.here.wait(TIMEOUT_SECONDS)[0]
    unencrypted.here.note_route(SENDER, digest.route)
    assert unencrypted.here.answer(SENDER, b'pull')
    frames = [each.frame for each in unencrypted.there.wait(TIMEOUT_SECONDS)]
    assert frames == [b'pull']


def test_unknown_instance_has_no_route(unencrypted: SocketPair) -> None:
    assert not unencrypted.here.answer(SENDER, b'x')


def test_address_in_use_is_reported(unencrypted: SocketPair) -> None:
    other = NodeSockets()
    fault = other.bind(HERE).unwrap_err()
    assert fault.code == 5001
    other.close()


def test_peers_with_keys_exchange_messages() -> None:
    pair = build_pair()
    sockets = SocketPair((pair,), (pair,))
    assert sockets.send(b'x', seconds=TIMEOUT_SECONDS)[0].frame == b'x'
    sockets.close()


@pytest.mark.parametrize('keyed', [True, False])
def test_peer_without_an_accepted_key_is_refused_and_counted(
    keyed: bool,
) -> None:
    """An outsider sends a node a configuration.

    None of its messages may be read, whether it has no key, or a key of its
    own and the public key of the fleet.
    """
    pair = build_pair()
    claimed = KeyPair(public=pair.public, secret=pair.secret)
    own = build_pair()
    keys = (own, claimed) if keyed else ()
    sockets = SocketPair(keys, (pair,))
    assert not sockets.send(b'x', seconds=SILENCE_SECONDS)
    if keyed:
        send_until_refused(sockets)
        assert sockets.there.refused_peers
    sockets.close()


def send_until_refused(sockets: SocketPair) -> None:
    deadline = time.monotonic() + TIMEOUT_SECONDS
    while not sockets.there.refused_peers and time.monotonic() < deadline:
        assert not sockets.send(b'x', seconds=0.05)


def test_nodes_communicate_during_a_key_rotation() -> None:
    """During a key rotation half of the fleet cannot reach the other half.

    One node has the new key first, the other still the old one. After some
    messages without a reply the sender tries the other key.
    """
    old, new = build_pair(), build_pair()
    sockets = SocketPair((new, old), (old, new))
    deadline = time.monotonic() + TIMEOUT_SECONDS
    received_frames: list[ReceivedFrame] = []
    while not received_frames and time.monotonic() < deadline:
        received_frames = sockets.send(b'x', seconds=0.2)
    assert received_frames
    sockets.close()
