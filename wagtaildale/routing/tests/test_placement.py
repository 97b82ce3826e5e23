"""Tests of where attempts go, and replays of the loads that this answers."""

from __future__ import annotations

from collections import Counter

import pytest

from wagtaildale.routing.choice import ChoiceName, Need
from wagtaildale.routing.choosers import make_chooser
from wagtaildale.routing.placement import Placement
from wagtaildale.routing.statistics import FleetStatistics
from wagtaildale.routing.throttling import Throttled
from wagtaildale.routing.upstream import OwnerReport
from wagtaildale.routing.view import ViewHolder
from wagtaildale.testing.builders import build_instances, build_record
from wagtaildale.testing.replay import LoadClass, ReplayMesh
from wagtaildale.types import (
    DataCentre,
    Incarnation,
    InstanceId,
    ServiceName,
)

FIELD = ServiceName('casefiles')
INTAKE = ServiceName('intake')
PLACES = ('derby', 'coventry', 'nottingham', 'northampton', 'leicester', 'b')
# Of the targets of a calm day: the operators' aim.
CALM_SHARE = 0.97
WARM_UP_SECONDS = 4.0
NOW = 1000.0


def build_placement() -> Placement:
    return Placement(
        InstanceId('entry'),
        data_centre=DataCentre('derby'),
        chooser=make_chooser(ChoiceName.expected_time),
        statistics=FleetStatistics(),
    )


def build_view(*names: str) -> ViewHolder:
    holder = ViewHolder()
    holder.take_instances(build_instances(*(map(build_record, names))))
    return holder


def place(
    placement: Placement,
    holder: ViewHolder,
    *,
    useless: tuple[str, ...] = (),
) -> str:
    placed = placement.choose(
        holder.current,
        FIELD,
        useless=[InstanceId(name) for name in useless],
        need=Need(data_centre=DataCentre('derby')),
        now=NOW,
    )
    assert not isinstance(placed, Throttled)
    return placed.record.instance if placed else ''


def eject(placement: Placement, *names: str) -> None:
    for name in names:
        upstream = placement.statistics.find(InstanceId(name), now=NOW)
        for _failure in range(3):
            upstream.ejection.note_failure(NOW)


def test_no_upstream_gives_nothing() -> None:
    assert not place(build_placement(), ViewHolder())


def test_one_that_fails_is_passed_over() -> None:
    placement = build_placement()
    eject(placement, 'a')
    chosen = {place(placement, build_view('a', 'b')) for _call in range(20)}
    assert chosen == {'b'}


def test_when_most_fail_none_is_passed_over() -> None:
    """An entry loses its line for a moment and leaves out a whole service."""
    placement = build_placement()
    eject(placement, 'a', 'b')
    holder = build_view('a', 'b', 'c')
    chosen = {place(placement, holder) for _call in range(50)}
    assert chosen == {'a', 'b', 'c'}


def test_tried_ones_are_asked_again_when_there_is_no_other() -> None:
    placement = build_placement()
    assert place(placement, build_view('a'), useless=('a',)) == 'a'


def test_those_left_out_are_replaced_from_the_rest_of_the_service() -> None:
    """A third of a large service fails, and the rest of a subset is full."""
    placement = build_placement()
    names = [f'i{number}' for number in range(40)]
    holder = build_view(*names)
    subset = placement.list_subset(holder.current, FIELD, now=NOW)
    failing = [record.instance for record in subset[:4]]
    eject(placement, *failing)
    chosen = {place(placement, holder) for _call in range(400)}
    assert len(chosen) >= len(subset)
    assert not chosen.intersection(failing)


def build_fleet(*, seed: int) -> ReplayMesh:
    """Build two services on some two hundred machines of unlike speed.

    The load takes half of their slots.

    Args:
        seed: of what is drawn.

    Returns:
        The mesh, warmed up, with nothing counted.
    """
    lookup = LoadClass(
        name='lookup',
        service=INTAKE,
        per_second=500,
        run_seconds=0.24,
        target_seconds=0.62,
        deadline_seconds=5.0,
        rank=2,
        calls='photo',
        calls_share=0.7,
    )
    booking = LoadClass(
        name='booking',
        service=INTAKE,
        per_second=180,
        run_seconds=0.31,
        spread=0.5,
        target_seconds=0.81,
        deadline_seconds=5.0,
        idempotent=False,
    )
    report = LoadClass(
        name='report',
        service=FIELD,
        per_second=270,
        run_seconds=0.8,
        target_seconds=2.2,
        deadline_seconds=12.0,
        rank=2,
    )
    photo = LoadClass(
        name='photo',
        service=FIELD,
        per_second=0,
        run_seconds=0.06,
        target_seconds=0.26,
        deadline_seconds=0.82,
        rank=2,
    )
    mesh = ReplayMesh((lookup, booking, report, photo), seed=seed)
    mesh.add(
        INTAKE,
        count=90,
        data_centres=PLACES,
        speeds=(0.5, 1.0, 1.0, 1.5),
    )
    mesh.add(FIELD, count=102, data_centres=PLACES, speeds=(0.6, 1.0, 1.4))
    mesh.run(WARM_UP_SECONDS)
    mesh.reset_counts()
    return mesh


@pytest.mark.parametrize('seed', [1, 2])
def test_large_fleet_with_unlike_servers_keeps_its_targets(seed: int) -> None:
    """One lookup in ten is late in the calm seconds of a large fleet.

    Half of the slots are free. But a quarter of the servers takes twice as
    long as the others, and two hundred entries each ask one of them every
    few seconds, too seldom to learn it and to remember it.
    """
    mesh = build_fleet(seed=seed)
    mesh.run(4)
    mesh.run_without_load(4)
    lookups = mesh.outcomes['lookup']
    assert lookups.ended > 1000
    assert lookups.share_in_time >= CALM_SHARE
    assert mesh.outcomes['report'].share_in_time >= CALM_SHARE


def test_calm_answers_stay_in_their_data_centre() -> None:
    """A service's bytes cross data centres though servers stand near.

    The entries drew their servers over all six data centres, and a fifth of
    the answers came from another one.
    """
    mesh = build_fleet(seed=1)
    mesh.run(3)
    mesh.run_without_load(4)
    assert mesh.outcomes['lookup'].share_remote < 0.05
    assert mesh.outcomes['report'].share_remote < 0.05


def test_servers_that_are_alike_get_alike_shares() -> None:
    """One server of a data centre gets twice the requests of its neighbours.

    All are equally fast. The one that answered a hair sooner was taken for
    every request until it was half full, on a calm day for ever.
    """
    placement = build_placement()
    names = 'abcdef'
    holder = build_view(*names)
    for number, name in enumerate(names):
        upstream = placement.statistics.find(InstanceId(name), now=NOW)
        seconds = 0.2 + number / 500
        placement.statistics.note_speed(
            upstream,
            OwnerReport(
                incarnation=Incarnation(1),
                in_flight=1,
                limit=4,
                queued=0,
                run_seconds=seconds,
                class_seconds=seconds,
                class_usual=seconds,
            ),
            work_class='lookup',
            now=NOW,
        )
    need = Need(
        data_centre=DataCentre('derby'),
        work_class='lookup',
        slack_seconds=0.6,
    )
    chosen = Counter(
        placement.choose(
            holder.current,
            FIELD,
            useless=(),
            need=need,
            now=NOW,
        ).record.instance  # type: ignore[union-attr]
        for _call in range(6000)
    )
    assert max(chosen.values()) < 1.4 * 6000 / len(names)


@pytest.mark.parametrize('seed', [1, 2])
def test_servers_that_turn_slow_are_avoided_by_all(seed: int) -> None:
    """Every seventh server takes five times as long for some seconds.

    With an equal share of the requests a seventh of the lookups is late. Of
    those at most half is to be: the others go where servers are well.
    """
    mesh = build_fleet(seed=seed)
    slow = list(mesh.servers.values())[::7]
    for server in slow:
        server.slowness = 5
    mesh.run(5)
    mesh.run_without_load(5)
    assert mesh.outcomes['lookup'].share_in_time > 1 - 1 / 14


def test_servers_that_are_well_again_are_used_again() -> None:
    """Servers were slow for a moment, and the others carry their load."""
    mesh = build_fleet(seed=1)
    slow = list(mesh.servers.values())[::7]
    for server in slow:
        server.slowness = 5
    mesh.run(4)
    for server in slow:
        server.slowness = 1
    mesh.run(4)
    mesh.reset_counts()
    mesh.run(3)
    mesh.run_without_load(4)
    usual = mesh.count_runs() / len(mesh.servers)
    assert sum(server.runs for server in slow) > usual * len(slow) / 2
    assert mesh.outcomes['lookup'].share_in_time >= CALM_SHARE


def test_upstreams_that_leave_cost_no_request() -> None:
    """A fifth of each service is taken away at once, by plan."""
    mesh = build_fleet(seed=1)
    mesh.mark_leaving(20)
    mesh.run(3)
    mesh.run_without_load(5)
    for name in ('lookup', 'booking', 'report'):
        outcomes = mesh.outcomes[name]
        assert outcomes.ended
        assert not outcomes.failed + outcomes.refused
