"""Tests of how suspicions of requests spread between nodes."""

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


def report_ends(network: FakeNetwork, node: InstanceId, ends: int) -> None:
    suspicion = build_suspicion(ends=ends)
    network.dispatch(node, EndsNoted((suspicion,)))


def list_ends(network: FakeNetwork) -> list[int]:
    return [
        node.state.suspects.get_snapshot().find(FINGERPRINT).ends
        for node in network.nodes.values()
        if node.running
    ]


def pass_time(network: FakeNetwork) -> None:
    for _second in range(SECONDS):
        network.run_round()


@pytest.mark.parametrize('ends', [1, 2, 3])
def test_end_is_known_to_all_nodes_immediately(
    network: FakeNetwork,
    ends: int,
) -> None:
    """A suspected request is retried at a node that knows nothing of it."""
    report_ends(network, A, ends)
    network.flush()
    assert set(list_ends(network)) == {ends}


def test_suspicion_outlives_the_node_that_sent_it(network: FakeNetwork) -> None:
    """The node that observed the end restarts, and so do others."""
    report_ends(network, A, 3)
    network.flush()
    for name in list(network.nodes)[:4]:
        network.restart(name)
    pass_time(network)
    assert set(list_ends(network)) == {3}


def test_node_that_was_cut_off_receives_suspicions(
    network: FakeNetwork,
) -> None:
    """A suspected request is sent to a node that could not be informed."""
    others = [name for name in network.nodes if name != B]
    for other in others:
        network.cut(B, other)
    report_ends(network, A, 3)
    network.flush()
    network.heal()
    pass_time(network)
    assert set(list_ends(network)) == {3}


def test_answer_clears_a_request_everywhere(network: FakeNetwork) -> None:
    """A harmless request is refused after it was answered at another node."""
    report_ends(network, A, 3)
    network.flush()
    network.dispatch(B, RequestAnswered(FINGERPRINT))
    network.flush()
    assert set(list_ends(network)) == {0}


def test_clearing_that_was_not_sent_counts(network: FakeNetwork) -> None:
    """A popular request is blamed for ends although it was answered between."""
    report_ends(network, A, 1)
    network.flush()
    network.dispatch(B, RequestAnswered(FINGERPRINT))
    network.flush()
    report_ends(network, A, 2)
    network.flush()
    pass_time(network)
    assert set(list_ends(network)) == {0}


def test_unchanged_suspicions_are_not_sent_again(network: FakeNetwork) -> None:
    """Control traffic grows with the suspicions that all nodes have."""
    report_ends(network, A, 3)
    pass_time(network)
    network.sent.clear()
    pass_time(network)
    kinds = {body.__name__ for body in network.sent}
    assert 'SuspicionsSent' not in kinds


def test_calls_learn_of_expired_suspicions(network: FakeNetwork) -> None:
    """A request is still restricted after its record has expired."""
    report_ends(network, A, 1)
    network.flush()
    network.now += SUSPECT_SECONDS + 1
    network.tick(A)
    changed = [
        effect
        for effect in network.nodes[A].effects
        if isinstance(effect, messages.SuspectsChanged)
    ]
    assert not network.nodes[A].state.suspects.records or changed
