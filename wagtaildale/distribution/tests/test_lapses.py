"""Tests of instances that the platform forgets while it is away."""

from __future__ import annotations

from msgspec import structs

from wagtaildale.distribution import messages
from wagtaildale.distribution.lapses import RETURN_SECONDS
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
AWAY_SECONDS = 8
SERVICE = ServiceName('casefiles')


def build_network() -> FakeNetwork:
    network = FakeNetwork(NAMES, data_centres=('derby',))
    network.source.show(build_configuration(1))
    network.settle()
    return network


def list_without(
    network: FakeNetwork,
    *gone: InstanceId,
    version: int = 2,
) -> Document:
    left = [each for each in network.records if each.instance not in gone]
    return build_instances(*left, version=version)


def stay_away(network: FakeNetwork, *, seconds: int) -> None:
    network.source.down = True
    for _second in range(seconds):
        network.pass_round()
    network.source.down = False


def list_known(network: FakeNetwork, name: InstanceId) -> set[InstanceId]:
    return set(network.nodes[name].state.members.records)


def test_entries_that_lapsed_while_the_platform_was_away() -> None:
    """Every request to a service is refused for two seconds.

    The platform is away for some seconds and the entries of live instances
    lapse. Its first list after that lacks them, and they are listed again
    within about two seconds. Until then they stay in use at every node.
    """
    network = build_network()
    stay_away(network, seconds=AWAY_SECONDS)
    network.source.show(list_without(network, *NAMES[1:]))
    network.settle()
    for name in network.nodes:
        assert list_known(network, name) == set(NAMES)
    network.source.show(build_instances(*network.records, version=3))
    network.settle()
    assert not network.nodes[A].state.lapses.kept
    assert list_known(network, A) == set(NAMES)


def test_instance_that_stays_missing_is_gone() -> None:
    """Requests go to an instance that crashed while the platform was away.

    It is not listed again within two seconds of the platform's return, so
    it is then let go.
    """
    network = build_network()
    stay_away(network, seconds=AWAY_SECONDS)
    network.source.show(list_without(network, D))
    network.pass_round(seconds=0.1)
    assert D in list_known(network, A)
    network.pass_round(seconds=RETURN_SECONDS)
    network.pass_round(seconds=0.1)
    assert D not in list_known(network, A)


def test_instance_that_is_taken_off_the_list_is_gone_at_once() -> None:
    """A server that leaves gets new work for seconds.

    The platform was there all the while, so whoever is off its list has
    left.
    """
    network = build_network()
    network.pass_round()
    network.source.show(list_without(network, D))
    network.settle()
    assert D not in list_known(network, A)


def test_leaving_instance_is_not_kept() -> None:
    """A server that leaves gets new work after an outage.

    It said that it was leaving, and then the platform was away. Off the
    list it is gone.
    """
    network = build_network()
    network.records[-1] = structs.replace(
        network.records[-1],
        state=ListedState.leaving,
    )
    network.source.show(build_instances(*network.records, version=2))
    network.settle()
    stay_away(network, seconds=AWAY_SECONDS)
    network.source.show(list_without(network, D, version=3))
    network.settle()
    assert D not in list_known(network, A)


def test_replaced_instance_is_not_kept() -> None:
    """Requests go to a server whose place another one has taken.

    While the platform was away an instance was replaced on its host.
    """
    network = build_network()
    stay_away(network, seconds=AWAY_SECONDS)
    successor = structs.replace(
        network.records[-1],
        instance=InstanceId('e'),
        node=D,
    )
    listed = [*network.records[:-1], successor]
    network.source.show(build_instances(*listed, version=2))
    network.settle()
    assert not network.nodes[A].state.lapses.kept


def list_upstreams(view: ViewHolder) -> list[InstanceId]:
    return [each.instance for each in view.current.upstreams[SERVICE]]


def test_calls_never_see_the_list_without_those_kept() -> None:
    """A request is refused though its server is kept in use.

    Calls run beside the task that swaps lists: those kept are swapped in
    before the list that lacks them.
    """
    network = build_network()
    stay_away(network, seconds=AWAY_SECONDS)
    shorter = list_without(network, D)
    node = network.nodes[A]
    network.source.show(shorter)
    effects = []
    for reader in network.nodes:
        network.read_source(reader)
        effects.extend(network.nodes[reader].effects)
    kinds = [
        type(effect)
        for effect in effects
        if isinstance(effect, messages.LapsedChanged | messages.Moved)
    ]
    assert kinds[:2] == [messages.LapsedChanged, messages.Moved]
    assert node.running


def test_view_has_the_kept_beside_the_listed() -> None:
    view = ViewHolder()
    first, second = build_records()
    view.replace_instances(build_instances(first, second))
    view.replace_lapsed((second,))
    view.replace_instances(build_instances(first, version=2))
    assert set(list_upstreams(view)) == {first.instance, second.instance}
    view.replace_lapsed(())
    assert list_upstreams(view) == [first.instance]


def build_records() -> tuple[InstanceRecord, InstanceRecord]:
    return (
        build_record('a', service=SERVICE),
        build_record('b', service=SERVICE),
    )
