"""Tests of instances whose list entries lapse during a platform outage."""

from __future__ import annotations

from msgspec import structs

from wagtaildale.distribution import messages
from wagtaildale.distribution.lapses import RELIST_SECONDS
from wagtaildale.document.model import Document
from wagtaildale.membership.records import InstanceRecord
from wagtaildale.routing.view import ViewHolder
from wagtaildale.testing.builders import (
    build_configuration,
    build_instances,
    build_record,
)
from wagtaildale.testing.network import FakeNetwork
from wagtaildale.types import InstanceId, ListedState, ServiceName

NAMES = tuple(InstanceId(name) for name in 'abcd')
A = NAMES[0]
D = NAMES[-1]
OUTAGE_SECONDS = 8
# Enough for a push tree with inner nodes.
MANY_NODES = 24
SERVICE = ServiceName('casefiles')


def build_network() -> FakeNetwork:
    network = FakeNetwork(NAMES, data_centres=('derby',))
    network.source.publish(build_configuration(1))
    network.settle()
    return network


def list_without(
    network: FakeNetwork,
    *gone: InstanceId,
    version: int = 2,
) -> Document:
    remaining = [each for each in network.records if each.instance not in gone]
    return build_instances(*remaining, version=version)


def simulate_outage(network: FakeNetwork, *, seconds: int) -> None:
    network.source.down = True
    for _second in range(seconds):
        network.run_round()
    network.source.down = False


def list_known(network: FakeNetwork, name: InstanceId) -> set[InstanceId]:
    return set(network.nodes[name].state.members.records)


def test_instances_whose_entries_lapsed_stay_in_use() -> None:
    """Every request to a service is refused for two seconds.

    Entries of live instances lapse during a platform outage of some seconds.
    The first list afterwards lacks them, and they are listed again within about
    two seconds. Until then they have to stay in use at every node.
    """
    network = build_network()
    simulate_outage(network, seconds=OUTAGE_SECONDS)
    network.source.publish(list_without(network, *NAMES[1:]))
    network.settle()
    for name in network.nodes:
        assert list_known(network, name) == set(NAMES)
    network.source.publish(build_instances(*network.records, version=3))
    network.settle()
    assert not network.nodes[A].state.lapses.retained
    assert list_known(network, A) == set(NAMES)


def test_lapsed_instances_stay_in_use_below_inner_nodes_of_the_tree() -> None:
    """Nodes refuse for seconds because the list reached them by another."""
    names = tuple(InstanceId(f'n{number}') for number in range(MANY_NODES))
    network = FakeNetwork(names, data_centres=('derby',))
    network.source.publish(build_configuration(1))
    network.settle()
    simulate_outage(network, seconds=OUTAGE_SECONDS)
    network.source.publish(list_without(network, *names[1:]))
    network.settle()
    for name in names:
        assert list_known(network, name) == set(names)


def test_instance_that_stays_unlisted_is_released() -> None:
    """Requests go to an instance that crashed during a platform outage.

    It is not listed again within two seconds after the outage, so it is no
    longer used then.
    """
    network = build_network()
    simulate_outage(network, seconds=OUTAGE_SECONDS)
    network.source.publish(list_without(network, D))
    network.run_round(seconds=0.1)
    assert D in list_known(network, A)
    network.run_round(seconds=RELIST_SECONDS)
    network.run_round(seconds=0.1)
    assert D not in list_known(network, A)


def test_instance_removed_from_the_list_is_not_retained() -> None:
    """A server that leaves receives new work for seconds.

    There was no platform outage, so an instance that is no longer listed has
    left.
    """
    network = build_network()
    network.run_round()
    network.source.publish(list_without(network, D))
    network.settle()
    assert D not in list_known(network, A)


def test_leaving_instance_is_not_retained() -> None:
    """A server that leaves receives new work after an outage.

    It announced that it leaves before the outage, so it is not retained when
    it is no longer listed.
    """
    network = build_network()
    network.records[-1] = structs.replace(
        network.records[-1],
        state=ListedState.leaving,
    )
    network.source.publish(build_instances(*network.records, version=2))
    network.settle()
    simulate_outage(network, seconds=OUTAGE_SECONDS)
    network.source.publish(list_without(network, D, version=3))
    network.settle()
    assert D not in list_known(network, A)


def test_replaced_instance_is_not_retained() -> None:
    """Requests go to a server that was replaced by another.

    An instance was replaced at its node during a platform outage.
    """
    network = build_network()
    simulate_outage(network, seconds=OUTAGE_SECONDS)
    successor = structs.replace(
        network.records[-1],
        instance=InstanceId('e'),
        node=D,
    )
    listed = [*network.records[:-1], successor]
    network.source.publish(build_instances(*listed, version=2))
    network.settle()
    assert not network.nodes[A].state.lapses.retained


def list_upstreams(view: ViewHolder) -> list[InstanceId]:
    return [each.instance for each in view.current.upstreams[SERVICE]]


def test_calls_never_use_the_list_without_retained_instances() -> None:
    """A request is refused although its server is retained.

    Calls run concurrently with the task that applies lists, so the retained
    instances have to be applied before the list that lacks them.
    """
    network = build_network()
    simulate_outage(network, seconds=OUTAGE_SECONDS)
    shorter = list_without(network, D)
    node = network.nodes[A]
    network.source.publish(shorter)
    effects = []
    for reader in network.nodes:
        network.read_source(reader)
        effects.extend(network.nodes[reader].effects)
    kinds = [
        type(effect)
        for effect in effects
        if isinstance(effect, messages.LapsedChanged | messages.DocumentUpdated)
    ]
    assert kinds[:2] == [messages.LapsedChanged, messages.DocumentUpdated]
    assert node.running


def test_view_has_retained_and_listed_instances() -> None:
    view = ViewHolder()
    first, second = build_records()
    view.replace_instances(build_instances(first, second))
    view.replace_overrides((second,))
    view.replace_instances(build_instances(first, version=2))
    assert set(list_upstreams(view)) == {first.instance, second.instance}
    view.replace_overrides(())
    assert list_upstreams(view) == [first.instance]


def build_records() -> tuple[InstanceRecord, InstanceRecord]:
    return (
        build_record('a', service=SERVICE),
        build_record('b', service=SERVICE),
    )
