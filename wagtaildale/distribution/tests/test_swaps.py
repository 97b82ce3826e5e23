"""Tests of the choice of peers for swaps, and of missing replies."""

from __future__ import annotations

from wagtaildale.distribution.messages import Send
from wagtaildale.distribution.swaps import REPLY_TIMEOUT_SECONDS, swap_digests
from wagtaildale.distribution.tests.networks import build_network
from wagtaildale.distribution.wire import Swap
from wagtaildale.membership.decisions import note_missed_reply
from wagtaildale.membership.state import get_topology
from wagtaildale.types import InstanceId


def test_silent_neighbour_does_not_prevent_swaps_with_others() -> None:
    """A node receives nothing for three seconds and cannot refute suspicions.

    One of its neighbours has just stopped. The node retried only that one
    until it gave it up.
    """
    network = build_network(8)
    state = network.nodes[InstanceId('a')].state
    silent = get_topology(state.members).neighbours[0]
    state.pending_replies = {silent: network.now}
    network.now += 2 * REPLY_TIMEOUT_SECONDS
    effects = swap_digests(state, now=network.now)
    receivers = {effect.to for effect in effects if isinstance(effect, Send)}
    assert silent in receivers
    assert len(receivers) > 1


def test_missing_replies_with_a_reply_between_raise_no_suspicion() -> None:
    """Running nodes are suspected a thousand times in half a minute.

    Each had replied late once and did so again much later. The replies in
    between did not reset the first miss, and a suspected node received no
    lists.
    """
    network = build_network(8)
    own = InstanceId('a')
    members = network.nodes[own].state.members
    peer = get_topology(members).neighbours[0]
    assert not note_missed_reply(members, peer=peer, now=network.now)
    reply = Swap((), is_reply=True)
    network.dispatch(own, network.wrap(peer, to=own, body=reply))
    assert not note_missed_reply(members, peer=peer, now=network.now)
    assert note_missed_reply(members, peer=peer, now=network.now + 1)


def test_two_pushes_unacknowledged_at_once_are_one_miss() -> None:
    """A node on a slow machine suspects all nodes that it pushes to.

    A version and a list were pushed to its children together, and the
    acknowledgements of both were late together:

        21.39 s  push-unseen version=33 subject=10.1.0.35
        21.39 s  peer-suspected subject=10.1.0.35
        21.39 s  push-unseen version=140 subject=10.1.0.35
    """
    network = build_network(8)
    members = network.nodes[InstanceId('a')].state.members
    peer = get_topology(members).neighbours[0]
    assert not note_missed_reply(members, peer=peer, now=network.now)
    assert not note_missed_reply(members, peer=peer, now=network.now)
    assert note_missed_reply(members, peer=peer, now=network.now + 1)
