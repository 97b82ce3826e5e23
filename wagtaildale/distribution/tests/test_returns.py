"""Tests of a platform that comes back from an older copy."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

import pytest
from msgspec import structs

from wagtaildale.distribution.lapses import RETURN_SECONDS, take_list
from wagtaildale.distribution.messages import PlatformReturned
from wagtaildale.distribution.tests.networks import build_network
from wagtaildale.document.eras import Era, make_version
from wagtaildale.routing.view import ViewHolder
from wagtaildale.testing.builders import build_instances
from wagtaildale.types import InstanceId, ListedState

if TYPE_CHECKING:
    from wagtaildale.membership.records import InstanceRecord
    from wagtaildale.testing.network import FakeNetwork

D: Final = InstanceId('d')
LATE_REVISION: Final = 40
COPY_REVISION: Final = 30
HOLD_ROUNDS: Final = 8


@pytest.fixture
def network() -> FakeNetwork:
    made = build_network(6, data_centres=('derby', 'coventry'))
    made.settle()
    show_list(made, made.records, era=1, revision=COPY_REVISION - 1)
    made.pass_round(seconds=2 * RETURN_SECONDS)
    return made


def show_list(
    network: FakeNetwork,
    records: list[InstanceRecord],
    *,
    era: int,
    revision: int,
) -> None:
    version = make_version(Era(era), revision=revision)
    network.source.show(build_instances(*records, version=version))
    network.settle()


def list_states(network: FakeNetwork) -> set[ListedState | None]:
    found = (
        node.state.members.records.get(D) for node in network.nodes.values()
    )
    return {record.state if record else None for record in found}


def mark_leaving(records: list[InstanceRecord]) -> list[InstanceRecord]:
    return [
        structs.replace(record, state=ListedState.leaving)
        if record.instance == D
        else record
        for record in records
    ]


def test_server_that_leaves_stays_so_after_the_return(
    network: FakeNetwork,
) -> None:
    """The copy names a server as ready that had said that it leaves."""
    live = network.records
    show_list(network, live, era=1, revision=COPY_REVISION)
    show_list(network, mark_leaving(live), era=1, revision=LATE_REVISION)
    show_list(network, live, era=2, revision=COPY_REVISION)
    assert list_states(network) == {ListedState.leaving}


def test_server_that_is_gone_gets_no_work_after_the_return(
    network: FakeNetwork,
) -> None:
    """The copy names a server as ready that had been taken off the list."""
    live = network.records
    gone = [record for record in live if record.instance != D]
    show_list(network, live, era=1, revision=COPY_REVISION)
    show_list(network, gone, era=1, revision=LATE_REVISION)
    show_list(network, live, era=2, revision=COPY_REVISION)
    assert list_states(network) == {ListedState.leaving}


def test_server_that_the_copy_lacks_stays_in_use(network: FakeNetwork) -> None:
    """A service is short of servers until they have written anew."""
    live = network.records
    older = [record for record in live if record.instance != D]
    show_list(network, live, era=1, revision=LATE_REVISION)
    show_list(network, older, era=2, revision=COPY_REVISION)
    assert list_states(network) == {ListedState.live}


def test_server_that_was_cut_off_comes_back(network: FakeNetwork) -> None:
    """A server that lives is kept from work for ever after a return.

    It was off the list while it was cut off from the platform. An entry that
    outlives the time after which entries lapse is its own.
    """
    live = network.records
    gone = [record for record in live if record.instance != D]
    show_list(network, gone, era=1, revision=LATE_REVISION)
    show_list(network, live, era=2, revision=COPY_REVISION)
    for _second in range(HOLD_ROUNDS):
        network.pass_round()
    assert list_states(network) == {ListedState.live}


def test_server_that_starts_again_under_its_id_is_used(
    network: FakeNetwork,
) -> None:
    """A server is taken for the one that left under the same id."""
    live = network.records
    show_list(network, mark_leaving(live), era=1, revision=LATE_REVISION)
    anew = [structs.replace(record, born=1) for record in live]
    show_list(network, anew, era=2, revision=COPY_REVISION)
    assert list_states(network) == {ListedState.live}


def test_server_that_the_copy_lacks_and_is_gone_is_let_go(
    network: FakeNetwork,
) -> None:
    """Requests go on to a server that ended as the platform was away."""
    older = [record for record in network.records if record.instance != D]
    show_list(network, older, era=2, revision=COPY_REVISION)
    assert list_states(network) == {ListedState.live}
    network.pass_round(seconds=2 * RETURN_SECONDS)
    assert list_states(network) == {None}


def test_calls_go_by_who_is_held(network: FakeNetwork) -> None:
    """A node knows that a server left, and its calls go there."""
    view = ViewHolder()
    listed = build_instances(*network.records)
    view.replace_instances(listed)
    held = mark_leaving(network.records)[3]
    view.replace_lapsed((), held=(held,))
    view.replace_instances(listed)
    assert view.current.is_away(view.current.records[D])
    view.replace_lapsed(())
    assert not view.current.is_away(view.current.records[D])


def test_return_is_in_the_log(network: FakeNetwork) -> None:
    """Operators see a list change everywhere, and not why."""
    version = make_version(Era(2), revision=COPY_REVISION)
    document = build_instances(*network.records, version=version)
    state = network.nodes[InstanceId('a')].state
    noted = PlatformReturned(era=Era(2), revision=COPY_REVISION)
    assert noted in take_list(state, document=document, now=network.now)
