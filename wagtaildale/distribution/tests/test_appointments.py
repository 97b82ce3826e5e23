"""Tests of which nodes watch the platform."""

from __future__ import annotations

import pytest

from wagtaildale.distribution.tests.networks import (
    ROUND_SECONDS,
    build_network,
    read_version,
)
from wagtaildale.distribution.tuning import Tuning, make_tuning
from wagtaildale.membership.state import get_topology
from wagtaildale.membership.topology import rank_instances
from wagtaildale.testing.builders import build_configuration, build_instances
from wagtaildale.testing.network import FakeNetwork
from wagtaildale.types import InstanceId

A = InstanceId('a')


def test_spare_readers_replace_readers_that_die_at_once() -> None:
    """A change is never read if all readers die when it is published.

    The next ranks appoint themselves when the last confirmation is stale, and
    step down after the readers have restarted.
    """
    network = build_network(8, tuning=Tuning(readers=2, spare_readers=4))
    readers = get_topology(network.nodes[A].state.members).readers[:2]
    for reader in readers:
        network.nodes[reader].running = False
    network.source.publish(build_configuration(2))
    network.settle()
    assert network.is_converged()
    for reader in readers:
        network.restart(reader)
    for _second in range(60):
        network.run_round()
    appointed = [name for name, node in network.nodes.items() if node.watching]
    assert set(appointed) == set(readers)


def build_slow_network(fast: InstanceId) -> FakeNetwork:
    slow = make_tuning(apply_seconds=2.0, line_mbps=3.5)
    network = build_network(tuning=slow)
    network.nodes[fast].state.tuning = make_tuning(
        apply_seconds=2.0,
        line_mbps=70,
    )
    return network


def list_readers(network: FakeNetwork) -> list[InstanceId]:
    return [name for name, node in network.nodes.items() if node.watching]


@pytest.mark.parametrize('fast', ['a', 'b', 'c', 'd'])
def test_node_on_a_slow_line_leaves_reading_to_others(fast: str) -> None:
    """Calls wait for seconds behind reads on a line of 3.5 Mbit/s.

    Each version of 1,500 routes is 400 KB there. The node whose line has
    twenty times that bandwidth becomes the only reader of the data centre soon
    after the start, whatever its rank.
    """
    network = build_slow_network(InstanceId(fast))
    for _round in range(30):
        network.run_round(seconds=ROUND_SECONDS)
    assert list_readers(network) == [fast]


def test_nodes_on_slow_lines_read_after_the_fast_one_dies() -> None:
    """Changes are never read after the only node on a fast line dies."""
    network = build_slow_network(A)
    for _round in range(30):
        network.run_round(seconds=ROUND_SECONDS)
    network.nodes[A].running = False
    network.source.publish(build_configuration(2))
    for _round in range(10):
        network.run_round(seconds=ROUND_SECONDS)
    assert {
        read_version(network.nodes[InstanceId(name)]) for name in 'bcd'
    } == {2}


def test_reader_does_not_step_down_for_its_own_confirmation() -> None:
    """No node reads for seconds, and a stopped server is called.

    A node with a better rank than the reader restarts, so that the rank of the
    reader becomes worse by one. Peers still report what the reader confirmed
    under its previous rank. It takes that for a better reader's confirmation
    and steps down, although it is the only reader.
    """
    best, _slow, fast, _other = rank_instances(
        'reader',
        instances=map(InstanceId, 'abcd'),
    )
    network = build_slow_network(fast)
    network.restart(best)
    network.nodes[best].running = False
    listed = [each for each in network.records if each.instance != best]
    network.source.publish(build_instances(*listed, version=2))
    for _round in range(30):
        network.run_round(seconds=ROUND_SECONDS)
    assert list_readers(network) == [fast]
    network.source.publish(build_instances(*network.records, version=3))
    for _round in range(5):
        network.run_round(seconds=ROUND_SECONDS)
        assert fast in list_readers(network)
