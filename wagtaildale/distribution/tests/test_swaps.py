"""Tests of whom a node swaps digests with."""

from __future__ import annotations

from wagtaildale.distribution.messages import Send
from wagtaildale.distribution.swaps import REPLY_SECONDS, swap_digests
from wagtaildale.distribution.tests.networks import build_network
from wagtaildale.distribution.wire import Swap
from wagtaildale.membership.decisions import note_missed_reply
from wagtaildale.membership.state import find_topology
from wagtaildale.types import InstanceId


def test_silent_neighbour_does_not_hold_up_the_others() -> None:
    """A node hears nothing for three seconds, and refutes nothing.

    One of its neighbours has just been stopped. It asked that one again and
    again, and none of the others, until it gave it up.
    """
    network = build_network(8)
    state = network.nodes[InstanceId('a')].state
    silent = find_topology(state.members).neighbours[0]
    state.awaiting = {silent: network.now}
    network.now += 2 * REPLY_SECONDS
    effects = swap_digests(state, now=network.now)
    asked = {effect.to for effect in effects if isinstance(effect, Send)}
    assert silent in asked
    assert len(asked) > 1


def test_misses_with_an_answer_between_raise_no_suspicion() -> None:
    """Working nodes are suspected a thousand times in half a minute.

    Each had once answered late and did so again much later. What was held
    against it was never let go by its answers in between, and it heard of no
    list while it was suspected.
    """
    network = build_network(8)
    own = InstanceId('a')
    members = network.nodes[own].state.members
    peer = find_topology(members).neighbours[0]
    assert not note_missed_reply(members, peer=peer, now=network.now)
    reply = Swap((), is_reply=True)
    network.tell(own, network.wrap(peer, to=own, body=reply))
    assert not note_missed_reply(members, peer=peer, now=network.now)
    assert note_missed_reply(members, peer=peer, now=network.now + 1)


def test_two_documents_unseen_at_once_are_one_miss() -> None:
    """A node on a slow machine makes suspects of all that it passes news to.

    A version and a list went out to its children together, and the answers to
    both came late together:

        21.39 s  push-unseen version=33 subject=10.1.0.35
        21.39 s  peer-suspected subject=10.1.0.35
        21.39 s  push-unseen version=140 subject=10.1.0.35
    """
    network = build_network(8)
    members = network.nodes[InstanceId('a')].state.members
    peer = find_topology(members).neighbours[0]
    assert not note_missed_reply(members, peer=peer, now=network.now)
    assert not note_missed_reply(members, peer=peer, now=network.now)
    assert note_missed_reply(members, peer=peer, now=network.now + 1)
