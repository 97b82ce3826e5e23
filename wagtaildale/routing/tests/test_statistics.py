"""Tests of upstream statistics and of the choosers that use them."""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING

import pytest
from msgspec import structs

from wagtaildale.errors.codes import Code
from wagtaildale.routing.candidates import (
    leave_out_ejected,
    list_service_candidates,
)
from wagtaildale.routing.choice import ChooserName, RequestContext
from wagtaildale.routing.choosers import make_chooser
from wagtaildale.routing.ejection import LEAVING_EJECTION_SECONDS, Ejection
from wagtaildale.routing.leaving_servers import LeavingServers
from wagtaildale.routing.statistics import FleetStatistics
from wagtaildale.routing.upstream import OwnerReport
from wagtaildale.routing.view import ViewHolder
from wagtaildale.testing.builders import build_instances, build_record
from wagtaildale.types import (
    DataCentre,
    Incarnation,
    InstanceId,
    ListedState,
    ServiceName,
)

if TYPE_CHECKING:
    from wagtaildale.membership.records import InstanceRecord

DERBY = DataCentre('derby')
CASEFILES = ServiceName('casefiles')
NOW = 1000.0


def build_answer(
    code: Code = Code.ok,
    *,
    in_flight: int = 0,
    incarnation: int = 1,
) -> OwnerReport:
    return OwnerReport(
        code=code,
        incarnation=Incarnation(incarnation),
        in_flight=in_flight,
        limit=10,
        queued=0,
    )


def note_time(
    statistics: FleetStatistics,
    record: InstanceRecord,
    *,
    seconds: float,
) -> None:
    report = structs.replace(build_answer(), run_seconds=seconds)
    upstream = statistics.find(record.instance, now=NOW)
    statistics.note_run_time(upstream, report, class_name='check', now=NOW)


def test_ejection_needs_several_failures_and_ends_with_a_probe() -> None:
    ejection = Ejection()
    outs = [ejection.note_failure(0) for _failure in range(4)]
    assert outs == [False, False, True, False]
    assert (ejection.is_ejected(0.5), ejection.is_ejected(1.5)) == (True, False)
    ejection.note_chosen(1.5)
    assert ejection.is_ejected(1.6), 'one probe at a time'
    assert ejection.note_answer()
    assert not ejection.is_ejected(1.7)


def test_repeated_ejections_last_longer() -> None:
    ejection = Ejection()
    for moment in (0, 0, 0, 2):
        ejection.note_failure(moment)
    assert ejection.is_ejected(3.5)


def test_answer_of_a_leaving_upstream_does_not_end_its_ejection() -> None:
    """Prevents new requests to a server that is stopping and refuses them.

    It reports that it leaves and finishes its running requests. An answer to
    one of these must not make it a candidate for new ones.
    """
    upstream = FleetStatistics().find(InstanceId('a'), now=NOW)
    now = NOW
    upstream.ejection.note_leaving(now)
    upstream.note_answer(build_answer(), now=NOW)
    assert upstream.ejection.is_ejected(now)
    assert not upstream.ejection.is_ejected(now + LEAVING_EJECTION_SECONDS)


def test_never_more_than_half_of_a_service_are_left_out() -> None:
    """An entry that loses its network for a moment must not eject a service."""
    records = [build_record(name) for name in 'abcd']
    statistics = FleetStatistics()
    for record in records[:2]:
        for _failure in range(3):
            statistics.find(record.instance, now=NOW).ejection.note_failure(0)
    good = leave_out_ejected(records, statistics=statistics, now=0)
    assert [record.instance for record in good] == ['c', 'd']
    for _failure in range(3):
        statistics.find(InstanceId('c'), now=NOW).ejection.note_failure(0)
    assert leave_out_ejected(records, statistics=statistics, now=0) == records


def test_leaving_upstream_is_ejected_at_once() -> None:
    statistics = FleetStatistics()
    upstream = statistics.find(InstanceId('a'), now=NOW)
    upstream.note_answer(build_answer(Code.draining), now=NOW)
    assert upstream.ejection.is_ejected(NOW)


def test_new_incarnation_counts_as_cold() -> None:
    upstream = FleetStatistics().find(InstanceId('a'), now=NOW)
    upstream.incarnation_known_since -= 60
    upstream.note_answer(build_answer(incarnation=1), now=NOW)
    upstream.incarnation_known_since -= 60
    warm = upstream.measure_load(NOW)
    upstream.note_answer(build_answer(incarnation=2), now=NOW)
    assert upstream.measure_load(NOW) > warm + 0.4


def test_away_and_leaving_instances_are_not_candidates() -> None:
    holder = ViewHolder()
    holder.replace_instances(
        build_instances(
            build_record('a'),
            build_record('b', state=ListedState.leaving),
            build_record('c'),
        ),
    )
    holder.replace_away(frozenset((InstanceId('b'), InstanceId('c'))))
    found = list_service_candidates(
        holder.current,
        service=CASEFILES,
        avoided=(),
        leaving_servers=LeavingServers(),
    )
    assert [record.instance for record in found] == ['a']


def test_tried_upstreams_come_last() -> None:
    holder = ViewHolder()
    holder.replace_instances(
        build_instances(build_record('a'), build_record('b'))
    )
    tried = (InstanceId('a'),)
    found = list_service_candidates(
        holder.current,
        service=CASEFILES,
        avoided=tried,
        leaving_servers=LeavingServers(),
    )
    assert [record.instance for record in found] == ['b']
    holder.replace_away(frozenset((InstanceId('b'),)))
    guess = list_service_candidates(
        holder.current,
        service=CASEFILES,
        avoided=tried,
        leaving_servers=LeavingServers(),
    )
    assert [record.instance for record in guess] == ['b']
    both = (InstanceId('a'), InstanceId('b'))
    again = list_service_candidates(
        holder.current,
        service=CASEFILES,
        avoided=both,
        leaving_servers=LeavingServers(),
    )
    assert len(again) == 2


@pytest.mark.parametrize('name', list(ChooserName))
def test_every_chooser_can_choose_each_candidate(name: ChooserName) -> None:
    records = [build_record(name) for name in 'abc']
    chooser = make_chooser(name)
    chosen = {
        chooser.choose(
            records,
            statistics=FleetStatistics(),
            request=RequestContext(data_centre=DERBY),
            now=NOW,
        )
        for _call in range(100)
    }
    assert chosen == set(records)


def test_loaded_data_centre_spills_over_to_another() -> None:
    near = build_record('near')
    far = build_record('far', data_centre='coventry')
    statistics = FleetStatistics()
    for record in (near, far):
        statistics.find(record.instance, now=NOW).incarnation_known_since -= 60
    chooser = make_chooser(ChooserName.least_loaded)
    args = {
        'statistics': statistics,
        'request': RequestContext(data_centre=DERBY),
        'now': NOW,
    }
    assert chooser.choose((near, far), **args) is near  # type: ignore[arg-type]
    statistics.find(near.instance, now=NOW).note_answer(
        build_answer(in_flight=9), now=NOW
    )
    statistics.find(near.instance, now=NOW).incarnation_known_since -= 60
    chosen = {
        chooser.choose((near, far), **args)  # type: ignore[arg-type]
        for _call in range(50)
    }
    assert far in chosen


def test_restart_under_the_same_id_resets_the_statistics() -> None:
    """Prevents a restarted server from getting no requests.

    It keeps its id, so the three failures in a row from before its crash
    would keep it ejected.
    """
    statistics = FleetStatistics()
    name = InstanceId('a')
    statistics.note_start_time(name, started_ms=100, now=NOW)
    for _failure in range(3):
        statistics.find(name, now=NOW).ejection.note_failure(0)
    statistics.note_start_time(name, started_ms=100, now=NOW)
    assert statistics.find(name, now=NOW).ejection.is_ejected(0.5)
    statistics.note_start_time(name, started_ms=200, now=NOW)
    assert not statistics.find(name, now=NOW).ejection.is_ejected(0.5)


def test_short_call_does_not_queue_behind_long_requests() -> None:
    """Prevents short calls from queueing at the near server.

    Long requests hold its slots while other servers have room. The wait for
    a slot must not be estimated from the time of the short calls themselves.
    """
    statistics = FleetStatistics()
    near, far = build_record('a'), build_record('b', data_centre='coventry')
    for _call in range(3):
        for record in (near, far):
            note_time(statistics, record, seconds=0.02)
    full = structs.replace(build_answer(in_flight=18), slot_seconds=0.1)
    statistics.find(near.instance, now=NOW).note_answer(full, now=NOW)
    statistics.find(far.instance, now=NOW).note_answer(build_answer(), now=NOW)
    chosen = make_chooser(ChooserName.expected_time).choose(
        (near, far),
        statistics=statistics,
        request=RequestContext(
            data_centre=near.data_centre,
            class_name='check',
            slack_seconds=0.1,
        ),
        now=NOW,
    )
    assert chosen == far


def test_request_is_not_tried_at_every_server_of_a_full_service() -> None:
    """Prevents refusals from costing more than answers under overload.

    Although every server reported that it was full, each request was tried at
    four of them, two in other data centres, and refused each time.
    """
    statistics = FleetStatistics()
    near, far = build_record('a'), build_record('b', data_centre='coventry')
    for record in (near, far):
        note_time(statistics, record, seconds=0.1)
        full = structs.replace(build_answer(in_flight=60), slot_seconds=0.1)
        statistics.find(record.instance, now=NOW).note_answer(full, now=NOW)
    chooser = make_chooser(ChooserName.expected_time)
    request = RequestContext(
        data_centre=near.data_centre,
        class_name='check',
        slack_seconds=0.2,
    )
    choose = partial(chooser.choose, statistics=statistics, now=NOW)
    assert choose((near, far), request=request) is not None
    refused = structs.replace(request, may_wait=True)
    assert choose((near, far), request=refused) is None


def test_statistics_of_unlisted_upstreams_are_removed() -> None:
    """Otherwise an entry's memory grows as servers come and go for months."""
    statistics = FleetStatistics()
    for name in 'abc':
        statistics.note_start_time(InstanceId(name), started_ms=1, now=NOW)
        statistics.find(InstanceId(name), now=NOW).slot_seconds = 9
    statistics.find(InstanceId('b'), now=NOW).note_begun(NOW)
    statistics.keep_only({InstanceId('a')})
    kept = [
        statistics.find(InstanceId(name), now=NOW).slot_seconds
        for name in 'abc'
    ]
    assert kept == [9, 9, 0], 'b still has a request under way'
