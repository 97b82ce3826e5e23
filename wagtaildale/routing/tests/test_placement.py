"""Tests of the choice of upstreams, single and in replays of load."""

from __future__ import annotations

from collections import Counter

import pytest

from wagtaildale.routing.choice import ChooserName, RequestContext
from wagtaildale.routing.choosers import make_chooser
from wagtaildale.routing.line_check import LinesOverdue
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
    ListedState,
    ServiceName,
)

CASEFILES = ServiceName('casefiles')
INTAKE = ServiceName('intake')
DATA_CENTRES = (
    'derby',
    'coventry',
    'nottingham',
    'northampton',
    'leicester',
    'b',
)
# Fraction of requests within target at normal load that operators require.
MIN_SHARE_IN_TIME = 0.97
WARM_UP_SECONDS = 4.0
NOW = 1000.0


def build_placement() -> Placement:
    return Placement(
        InstanceId('entry'),
        data_centre=DataCentre('derby'),
        chooser=make_chooser(ChooserName.expected_time),
        statistics=FleetStatistics(),
    )


def build_view(*names: str) -> ViewHolder:
    holder = ViewHolder()
    holder.replace_instances(build_instances(*(map(build_record, names))))
    return holder


def place(
    placement: Placement,
    holder: ViewHolder,
    *,
    avoided: tuple[str, ...] = (),
) -> str:
    placed = placement.choose(
        holder.current,
        CASEFILES,
        avoided=[InstanceId(name) for name in avoided],
        request=RequestContext(data_centre=DataCentre('derby')),
        now=NOW,
    )
    assert not isinstance(placed, Throttled | LinesOverdue)
    return placed.record.instance if placed else ''


def eject(placement: Placement, *names: str) -> None:
    for name in names:
        upstream = placement.statistics.find(InstanceId(name), now=NOW)
        for _failure in range(3):
            upstream.ejection.note_failure(NOW)


def test_service_without_upstream_gives_nothing() -> None:
    assert not place(build_placement(), ViewHolder())


def test_failing_upstream_is_avoided() -> None:
    placement = build_placement()
    eject(placement, 'a')
    chosen = {place(placement, build_view('a', 'b')) for _call in range(20)}
    assert chosen == {'b'}


def test_no_upstream_is_avoided_when_most_fail() -> None:
    """An entry that loses its network for a moment must not eject a service."""
    placement = build_placement()
    eject(placement, 'a', 'b')
    holder = build_view('a', 'b', 'c')
    chosen = {place(placement, holder) for _call in range(50)}
    assert chosen == {'a', 'b', 'c'}


def test_tried_upstream_is_used_again_if_there_is_no_other() -> None:
    placement = build_placement()
    assert place(placement, build_view('a'), avoided=('a',)) == 'a'


def test_server_listed_as_leaving_is_no_fallback() -> None:
    """A request that all others refused is sent to a leaving server."""
    holder = ViewHolder()
    leaving = build_record('b', state=ListedState.leaving)
    holder.replace_instances(build_instances(build_record('a'), leaving))
    placement = build_placement()
    for avoided in ((), ('a',), ('a', 'b')):
        assert place(placement, holder, avoided=avoided) == 'a'


def test_service_whose_servers_all_leave_has_no_upstream() -> None:
    """A request waits for the refusal of a leaving server's owner."""
    holder = ViewHolder()
    leaving = build_record('a', state=ListedState.leaving)
    holder.replace_instances(build_instances(leaving))
    assert not place(build_placement(), holder)


def test_ejected_upstreams_are_replaced_from_the_whole_service() -> None:
    """If a third of a large service fails, its subset must not shrink."""
    placement = build_placement()
    names = [f'i{number}' for number in range(40)]
    holder = build_view(*names)
    subset = placement.list_subset(holder.current, CASEFILES, now=NOW)
    failing = [record.instance for record in subset[:4]]
    eject(placement, *failing)
    chosen = {place(placement, holder) for _call in range(400)}
    assert len(chosen) >= len(subset)
    assert not chosen.intersection(failing)


def build_fleet(*, seed: int) -> ReplayMesh:
    """Build two services on about two hundred machines of different speed.

    The load uses half of their slots.

    Args:
        seed: seed of the random numbers.

    Returns:
        The mesh after its warm-up, with the counters reset.
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
        service=CASEFILES,
        per_second=270,
        run_seconds=0.8,
        target_seconds=2.2,
        deadline_seconds=12.0,
        rank=2,
    )
    photo = LoadClass(
        name='photo',
        service=CASEFILES,
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
        data_centres=DATA_CENTRES,
        speeds=(0.5, 1.0, 1.0, 1.5),
    )
    mesh.add(
        CASEFILES, count=102, data_centres=DATA_CENTRES, speeds=(0.6, 1.0, 1.4)
    )
    mesh.run(WARM_UP_SECONDS)
    mesh.reset_counts()
    return mesh


@pytest.mark.parametrize('seed', [1, 2])
def test_large_fleet_of_mixed_speeds_keeps_its_targets(seed: int) -> None:
    """Prevents late lookups in a large fleet with half of its slots free.

    A quarter of the servers take twice as long as the others. Each of two
    hundred entries sends any one of them a request only every few seconds, too
    seldom to learn its speed alone; then one lookup in ten was late.
    """
    mesh = build_fleet(seed=seed)
    mesh.run(4)
    mesh.run_without_load(4)
    lookups = mesh.outcomes['lookup']
    assert lookups.ended > 1000
    assert lookups.share_in_time >= MIN_SHARE_IN_TIME
    assert mesh.outcomes['report'].share_in_time >= MIN_SHARE_IN_TIME


def test_answers_at_normal_load_stay_in_their_data_centre() -> None:
    """Prevents traffic between data centres when near servers have room.

    When entries drew their subsets over all six data centres, a fifth of the
    answers came from another one.
    """
    mesh = build_fleet(seed=1)
    mesh.run(3)
    mesh.run_without_load(4)
    assert mesh.outcomes['lookup'].share_remote < 0.05
    assert mesh.outcomes['report'].share_remote < 0.05


def test_equal_servers_get_equal_shares() -> None:
    """Prevents one of several equal servers from getting twice the requests.

    The one that answered minimally sooner would be chosen for every request
    until it is half full, which at normal load is never.
    """
    placement = build_placement()
    names = 'abcdef'
    holder = build_view(*names)
    for number, name in enumerate(names):
        upstream = placement.statistics.find(InstanceId(name), now=NOW)
        seconds = 0.2 + number / 500
        placement.statistics.note_run_time(
            upstream,
            OwnerReport(
                incarnation=Incarnation(1),
                in_flight=1,
                limit=4,
                queued=0,
                run_seconds=seconds,
                class_seconds=seconds,
                class_usual_seconds=seconds,
            ),
            class_name='lookup',
            now=NOW,
        )
    request = RequestContext(
        data_centre=DataCentre('derby'),
        class_name='lookup',
        slack_seconds=0.6,
    )
    chosen = Counter(
        placement.choose(
            holder.current,
            CASEFILES,
            avoided=(),
            request=request,
            now=NOW,
        ).record.instance  # type: ignore[union-attr]
        for _call in range(6000)
    )
    assert max(chosen.values()) < 1.4 * 6000 / len(names)


@pytest.mark.parametrize('seed', [1, 2])
def test_servers_that_become_slow_are_avoided_by_all_entries(seed: int) -> None:
    """Every seventh server takes five times as long for some seconds.

    With equal shares of the requests a seventh of the lookups would be late.
    At most half of those may be late; the others go to servers that are not
    slow.
    """
    mesh = build_fleet(seed=seed)
    slow = list(mesh.servers.values())[::7]
    for server in slow:
        server.slowness = 5
    mesh.run(5)
    mesh.run_without_load(5)
    assert mesh.outcomes['lookup'].share_in_time > 1 - 1 / 14


def test_servers_that_recover_are_used_again() -> None:
    """Servers that were slow for a moment must not stay without requests."""
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
    assert mesh.outcomes['lookup'].share_in_time >= MIN_SHARE_IN_TIME


def test_planned_leave_of_upstreams_fails_no_request() -> None:
    """A fifth of each service leaves at once in a planned stop."""
    mesh = build_fleet(seed=1)
    mesh.mark_leaving(20)
    mesh.run(3)
    mesh.run_without_load(5)
    for name in ('lookup', 'booking', 'report'):
        outcomes = mesh.outcomes[name]
        assert outcomes.ended
        assert not outcomes.failed + outcomes.refused
