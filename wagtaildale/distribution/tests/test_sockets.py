"""Tests of the sockets between nodes, over loopback."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

import pytest
import zmq

from wagtaildale.distribution.sockets import ReceivedFrame, NodeSockets
from wagtaildale.keys.pairs import KeyPair
from wagtaildale.types import InstanceId

if TYPE_CHECKING:
    from collections.abc import Iterator

HERE = 'tcp://127.0.8.1:8082'
THERE = 'tcp://127.0.8.2:8082'
PATIENCE = 5.0
SILENCE = 0.3
SENDER = InstanceId('sender')


def build_pair() -> KeyPair:
    public, secret = zmq.curve_keypair()
    return KeyPair(public=public, secret=secret)


class Ends:
    """Two nodes' sockets."""

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
def plain() -> Iterator[Ends]:
    ends = Ends((), ())
    yield ends
    ends.close()


def test_answer_goes_back_by_the_same_connection(plain: Ends) -> None:
    received = plain.send(b'question', seconds=PATIENCE)[0]
    plain.there.note_route(SENDER, received.route)
    assert plain.there.answer(SENDER, b'answer')
    frames = [each.frame for each in plain.here.wait(PATIENCE)]
    assert frames == [b'answer']
    assert plain.here.sent_bytes == len(b'question')


def test_new_node_asks_the_seed_that_answered_it(plain: Ends) -> None:
    """New servers' nodes stay without routes while the platform is away.

    A new node asks a seed for its digest and hears of a version. It has no
    list that would name the seed's address, and yet it must ask the seed
    for that version: by the connection on which the seed answered.
    """
    question = plain.send(b'digest?', seconds=PATIENCE)[0]
    plain.there.note_route(SENDER, question.route)
    plain.there.answer(SENDER, b'digest')
    digest = plain.here.wait(PATIENCE)[0]
    plain.here.note_route(SENDER, digest.route)
    assert plain.here.answer(SENDER, b'pull')
    frames = [each.frame for each in plain.there.wait(PATIENCE)]
    assert frames == [b'pull']


def test_unknown_instance_cannot_be_answered(plain: Ends) -> None:
    assert not plain.here.answer(SENDER, b'x')


def test_address_in_use(plain: Ends) -> None:
    other = NodeSockets()
    fault = other.bind(HERE).unwrap_err()
    assert fault.code == 5001
    other.close()


def test_keyed_peers_talk() -> None:
    pair = build_pair()
    ends = Ends((pair,), (pair,))
    assert ends.send(b'x', seconds=PATIENCE)[0].frame == b'x'
    ends.close()


@pytest.mark.parametrize('keyed', [True, False])
def test_stranger_is_refused_and_counted(keyed: bool) -> None:
    """Somebody else feeds a node a configuration.

    A stranger with no key, or with one of its own and the fleet's public
    key, connects: none of its messages is read.
    """
    pair = build_pair()
    stranger = KeyPair(public=pair.public, secret=pair.secret)
    mine = build_pair()
    keys = (mine, stranger) if keyed else ()
    ends = Ends(keys, (pair,))
    assert not ends.send(b'x', seconds=SILENCE)
    if keyed:
        refuse_until_counted(ends)
        assert ends.there.refused_peers
    ends.close()


def refuse_until_counted(ends: Ends) -> None:
    deadline = time.monotonic() + PATIENCE
    while not ends.there.refused_peers and time.monotonic() < deadline:
        assert not ends.send(b'x', seconds=0.05)


def test_rotation_with_two_keys_valid() -> None:
    """A key is rotated and half of the fleet no longer hears the other.

    One node has the new key first, the other still the old one; after some
    silence the sender takes the other key.
    """
    old, new = build_pair(), build_pair()
    ends = Ends((new, old), (old, new))
    deadline = time.monotonic() + PATIENCE
    received_frames: list[ReceivedFrame] = []
    while not received_frames and time.monotonic() < deadline:
        received_frames = ends.send(b'x', seconds=0.2)
    assert received_frames
    ends.close()
