"""Tests of a platform that comes back from an older copy."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

import pytest
from msgspec import structs

from wagtaildale.distribution.tests.networks import build_network
from wagtaildale.document.eras import Era, make_version
from wagtaildale.testing.builders import build_instances
from wagtaildale.types import InstanceId, ListedState

if TYPE_CHECKING:
    from wagtaildale.membership.records import InstanceRecord
    from wagtaildale.testing.network import FakeNetwork

D: Final = InstanceId('d')
LATE_REVISION: Final = 40
COPY_REVISION: Final = 30


@pytest.fixture
def network() -> FakeNetwork:
    made = build_network(6, data_centres=('derby', 'coventry'))
    made.settle()
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
