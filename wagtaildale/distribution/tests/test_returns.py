"""Tests of a platform that comes back from an older copy."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

import pytest
from msgspec import structs

from wagtaildale.distribution.lapses import RELIST_SECONDS, update_list
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
    made.run_round(seconds=2 * RELIST_SECONDS)
    return made


def show_list(
    network: FakeNetwork,
    records: list[InstanceRecord],
    *,
    era: int,
    revision: int,
) -> None:
    version = make_version(Era(era), revision=revision)
    network.source.publish(build_instances(*records, version=version))
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


def test_leaving_server_stays_leaving_after_the_return(
    network: FakeNetwork,
) -> None:
    """The copy lists a server as ready that had announced that it leaves."""
    live = network.records
    show_list(network, live, era=1, revision=COPY_REVISION)
    show_list(network, mark_leaving(live), era=1, revision=LATE_REVISION)
    show_list(network, live, era=2, revision=COPY_REVISION)
    assert list_states(network) == {ListedState.leaving}


def test_removed_server_receives_no_work_after_the_return(
    network: FakeNetwork,
) -> None:
    """The copy lists a server as ready that had been removed from the list."""
    live = network.records
    gone = [record for record in live if record.instance != D]
    show_list(network, live, era=1, revision=COPY_REVISION)
    show_list(network, gone, era=1, revision=LATE_REVISION)
    show_list(network, live, era=2, revision=COPY_REVISION)
    assert list_states(network) == {ListedState.leaving}


def test_server_missing_in_the_copy_stays_in_use(network: FakeNetwork) -> None:
    """A service lacks servers until they have renewed their entries."""
    live = network.records
    older = [record for record in live if record.instance != D]
    show_list(network, live, era=1, revision=LATE_REVISION)
    show_list(network, older, era=2, revision=COPY_REVISION)
    assert list_states(network) == {ListedState.live}


def test_server_that_was_cut_off_is_used_again(network: FakeNetwork) -> None:
    """A live server never receives work again after a return.

    It was not listed while it was cut off from the platform. An entry that is
    still there after the time in which entries lapse was renewed by the server.
    """
    live = network.records
    gone = [record for record in live if record.instance != D]
    show_list(network, gone, era=1, revision=LATE_REVISION)
    show_list(network, live, era=2, revision=COPY_REVISION)
    for _second in range(HOLD_ROUNDS):
        network.run_round()
    assert list_states(network) == {ListedState.live}


def test_server_that_restarts_under_its_id_is_used(
    network: FakeNetwork,
) -> None:
    """A server is mistaken for the one that left under the same id."""
    live = network.records
    show_list(network, mark_leaving(live), era=1, revision=LATE_REVISION)
    anew = [structs.replace(record, born=1) for record in live]
    show_list(network, anew, era=2, revision=COPY_REVISION)
    assert list_states(network) == {ListedState.live}


def test_ended_server_missing_in_the_copy_is_released(
    network: FakeNetwork,
) -> None:
    """Requests still go to a server that ended during the outage."""
    older = [record for record in network.records if record.instance != D]
    show_list(network, older, era=2, revision=COPY_REVISION)
    assert list_states(network) == {ListedState.live}
    network.run_round(seconds=2 * RELIST_SECONDS)
    assert list_states(network) == {None}


def test_view_excludes_departed_instances(network: FakeNetwork) -> None:
    """A node sends calls to a server that it knows to have left."""
    view = ViewHolder()
    listed = build_instances(*network.records)
    view.replace_instances(listed)
    departed = mark_leaving(network.records)[3]
    view.replace_overrides((), departed=(departed,))
    view.replace_instances(listed)
    assert view.current.is_away(view.current.records[D])
    view.replace_overrides(())
    assert not view.current.is_away(view.current.records[D])


def test_return_is_logged(network: FakeNetwork) -> None:
    """Operators see a list change at all nodes without the reason."""
    version = make_version(Era(2), revision=COPY_REVISION)
    document = build_instances(*network.records, version=version)
    state = network.nodes[InstanceId('a')].state
    noted = PlatformReturned(era=Era(2), revision=COPY_REVISION)
    assert noted in update_list(state, document=document, now=network.now)
