"""Tests of word of requests under which servers end."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

import pytest

from wagtaildale.distribution import messages
from wagtaildale.distribution.tests.networks import build_network
from wagtaildale.suspects.messages import EndsNoted, RequestAnswered
from wagtaildale.suspects.records import SUSPECT_SECONDS
from wagtaildale.suspects.tests.builders import (
    build_fingerprint,
    build_suspicion,
)
from wagtaildale.types import InstanceId

if TYPE_CHECKING:
    from wagtaildale.testing.network import FakeNetwork

A: Final = InstanceId('a')
B: Final = InstanceId('b')
FINGERPRINT: Final = build_fingerprint()
SECONDS: Final = 10


@pytest.fixture
def network() -> FakeNetwork:
    made = build_network(8, data_centres=('derby', 'coventry'))
    made.settle()
    return made


def tell_ends(network: FakeNetwork, node: InstanceId, ends: int) -> None:
    suspicion = build_suspicion(ends=ends)
    network.tell(node, EndsNoted((suspicion,)))


def list_ends(network: FakeNetwork) -> list[int]:
    return [
        node.state.suspects.get_snapshot().find(FINGERPRINT).ends
        for node in network.nodes.values()
        if node.running
    ]


def pass_time(network: FakeNetwork) -> None:
    for _second in range(SECONDS):
        network.pass_round()


@pytest.mark.parametrize('ends', [1, 2, 3])
def test_all_nodes_hear_of_an_end_at_once(
    network: FakeNetwork,
    ends: int,
) -> None:
    """A request comes to another machine, which has not heard of it."""
    tell_ends(network, A, ends)
    network.flush()
    assert set(list_ends(network)) == {ends}


def test_word_outlives_who_told_it(network: FakeNetwork) -> None:
    """The node that saw the end is started anew, and so are others."""
    tell_ends(network, A, 3)
    network.flush()
    for name in list(network.nodes)[:4]:
        network.restart(name)
    pass_time(network)
    assert set(list_ends(network)) == {3}


def test_node_that_was_cut_off_hears_of_it(network: FakeNetwork) -> None:
    """A request comes to a node that could not be told."""
    others = [name for name in network.nodes if name != B]
    for other in others:
        network.cut(B, other)
    tell_ends(network, A, 3)
    network.flush()
    network.heal()
    pass_time(network)
    assert set(list_ends(network)) == {3}


def test_answer_clears_a_request_everywhere(network: FakeNetwork) -> None:
    """An innocent request is refused after it was answered elsewhere."""
    tell_ends(network, A, 3)
    network.flush()
    network.tell(B, RequestAnswered(FINGERPRINT))
    network.flush()
    assert set(list_ends(network)) == {0}


def test_answer_that_nobody_was_told_of_counts(network: FakeNetwork) -> None:
    """A popular request is blamed for ends between which it was answered."""
    tell_ends(network, A, 1)
    network.flush()
    network.tell(B, RequestAnswered(FINGERPRINT))
    network.flush()
    tell_ends(network, A, 2)
    network.flush()
    pass_time(network)
    assert set(list_ends(network)) == {0}


def test_quiet_fleet_tells_nothing(network: FakeNetwork) -> None:
    """Control bytes grow with what is known by all."""
    tell_ends(network, A, 3)
    pass_time(network)
    network.sent.clear()
    pass_time(network)
    told = {body.__name__ for body in network.sent}
    assert 'SuspectsTold' not in told


def test_calls_go_by_what_was_forgotten(network: FakeNetwork) -> None:
    """A request is held against its caller after it was forgotten."""
    tell_ends(network, A, 1)
    network.flush()
    network.now += SUSPECT_SECONDS + 1
    network.tick(A)
    changed = [
        effect
        for effect in network.nodes[A].effects
        if isinstance(effect, messages.SuspectsChanged)
    ]
    assert not network.nodes[A].state.suspects.records or changed
