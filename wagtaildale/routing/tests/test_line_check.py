"""Tests of refusals because of outgoing lines, and of their estimates."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

import pytest
from msgspec import structs

from wagtaildale.admission.incoming_line import LineState
from wagtaildale.admission.retry_delays import RETRY_SPREAD
from wagtaildale.routing.choice import ChooserName, RequestContext
from wagtaildale.routing.choosers import make_chooser
from wagtaildale.routing.known_lines import KnownLines
from wagtaildale.routing.line_check import (
    PROBE_SHARE,
    LinesOverdue,
    select_by_line,
)
from wagtaildale.routing.placement import ChosenUpstream, Placement
from wagtaildale.routing.response_sizes import ResponseSizes
from wagtaildale.routing.statistics import FleetStatistics
from wagtaildale.routing.upstream import OwnerReport
from wagtaildale.routing.view import ViewHolder
from wagtaildale.testing.builders import build_instances, build_record
from wagtaildale.testing.replay.downloads import DownloadCounts, ReplayDownloads
from wagtaildale.types import DataCentre, Incarnation, InstanceId, ServiceName

if TYPE_CHECKING:
    from wagtaildale.membership.records import InstanceRecord

NOW = 1000.0
CLASS_NAME = 'casefiles/download'
RECORDS = tuple(build_record(name) for name in 'ab')
REQUEST = RequestContext(
    data_centre=DataCentre('derby'),
    class_name=CLASS_NAME,
    slack_seconds=1.0,
    is_bulk=True,
    deadline_seconds=3.0,
)


def build_statistics(*waits_ms: int | None) -> FleetStatistics:
    """Build statistics of a class of 100 KB at lines of 1 MB/s."""
    statistics = FleetStatistics()
    statistics.response_sizes.note(CLASS_NAME, 100_000)
    for record, wait_ms in zip(RECORDS, waits_ms, strict=False):
        if wait_ms is not None:
            note_wait(statistics, record, wait_ms)
    return statistics


def note_wait(
    statistics: FleetStatistics,
    record: InstanceRecord,
    wait_ms: int,
    *,
    in_flight: int = 0,
) -> None:
    report = OwnerReport(
        incarnation=Incarnation(1),
        in_flight=in_flight,
        limit=4,
        queued=0,
        slot_seconds=0.1,
        run_seconds=0.15,
        outgoing_line=LineState(wait_ms, 1000),
    )
    upstream = statistics.find(record.instance, now=NOW)
    upstream.note_answer(report, now=NOW)
    statistics.note_run_time(upstream, report, class_name=CLASS_NAME, now=NOW)


def select(
    statistics: FleetStatistics,
    request: RequestContext = REQUEST,
    *,
    age: float = 0,
) -> list[str] | LinesOverdue:
    selected = select_by_line(
        RECORDS, statistics=statistics, request=request, now=NOW + age
    )
    if isinstance(selected, LinesOverdue):
        return selected
    return [record.instance for record in selected]


def test_mean_response_size_follows_the_responses() -> None:
    sizes = ResponseSizes()
    assert sizes.find_mean(CLASS_NAME) == 0
    for size in (500_000, 20_000, 80_000):
        sizes.note(CLASS_NAME, size)
    assert sizes.find_mean(CLASS_NAME) == pytest.approx(200_000)
    for _response in range(100):
        sizes.note(CLASS_NAME, 60_000)
    assert sizes.find_mean(CLASS_NAME) == pytest.approx(60_000, rel=0.05)
    assert sizes.find_mean('casefiles/lookup') == 0


def test_outgoing_wait_holds_for_a_second_and_then_shrinks() -> None:
    """While a backlog stays the same, its owner sends no new report.

    An entry that reduced the wait from the start would send request after
    request to an owner that refuses them. The incoming line is estimated as
    before.
    """
    lines = KnownLines()
    state = LineState(2000, 1000)
    lines.note(incoming=state, outgoing=state, now=NOW)
    ages = (0, 0.9, 1.5, 9)
    outgoing = [lines.outgoing.estimate_wait(NOW + age) for age in ages]
    assert outgoing == pytest.approx([2, 2, 0.5, 0])
    incoming = [lines.incoming.estimate_wait(NOW + age) for age in ages]
    assert incoming == pytest.approx([2, 1.1, 0.5, 0])


def test_report_without_an_outgoing_line_ends_the_knowledge_of_it() -> None:
    """An owner is replaced by one of an earlier build, without a backlog."""
    lines = KnownLines()
    lines.note(incoming=None, outgoing=LineState(2000, 1000), now=NOW)
    lines.note(incoming=None, outgoing=None, now=NOW)
    assert not lines.outgoing.is_known
    assert lines.outgoing.estimate_wait(NOW) == 0


def test_report_of_a_line_without_speed_is_no_error() -> None:
    lines = KnownLines()
    lines.note(incoming=None, outgoing=LineState(-5, 0), now=NOW)
    assert lines.outgoing.estimate_wait(NOW) == 0
    assert lines.outgoing.estimate_transfer(90_000) == 90


@pytest.mark.parametrize(('in_flight', 'wait_ms'), [(9, 0), (9, 700), (0, 700)])
def test_waits_for_slot_and_line_elapse_together(
    in_flight: int, wait_ms: int
) -> None:
    """A server with a queue and a backlog is avoided twice."""
    statistics = build_statistics()
    name = RECORDS[0].instance
    note_wait(statistics, RECORDS[0], wait_ms, in_flight=in_flight)
    bulk = statistics.estimate(name, REQUEST, now=NOW)
    other = structs.replace(REQUEST, is_bulk=False)
    plain = statistics.estimate(name, other, now=NOW)
    assert (plain.wait > 0) == (in_flight > 0)
    assert bulk.wait == max(plain.wait, wait_ms / 1000)
    assert bulk.run == pytest.approx(plain.run + 0.1)


def test_other_classes_do_not_depend_on_the_outgoing_line() -> None:
    """Lookups avoid a server because downloads wait on its line.

    Their responses do not wait behind downloads.
    """
    lookup = structs.replace(REQUEST, is_bulk=False)
    idle, busy = build_statistics(0, 0), build_statistics(9000, 9000)
    estimates = [
        statistics.estimate(RECORDS[0].instance, lookup, now=NOW)
        for statistics in (idle, busy)
    ]
    assert estimates[0] == estimates[1]
    assert select(busy, lookup) == ['a', 'b']


def test_upstreams_with_a_line_in_time_are_selected() -> None:
    assert select(build_statistics(950, 850)) == ['b']
    assert select(build_statistics(100, 850)) == ['a', 'b']


def test_request_is_refused_if_every_line_is_overdue() -> None:
    refusal = select(build_statistics(2400, 1900))
    assert isinstance(refusal, LinesOverdue)
    # 1.9 s of backlog and 0.1 s for the response, 1 s until the target.
    assert refusal.seconds == pytest.approx(1)
    assert refusal.upstreams == 2


def test_retry_delays_are_spread_by_half_of_the_overdue_time() -> None:
    """Callers that were refused together return together."""
    refusal = LinesOverdue(seconds=2, upstreams=1)
    delays = sorted(refusal.retry_after for _refusal in range(200))
    assert 2 <= delays[0] < 2.1
    assert 2.9 < delays[-1] <= 2 * (1 + RETRY_SPREAD)


def test_owner_that_reports_no_line_is_never_the_cause() -> None:
    """Owners of an earlier build get no downloads once one is overdue."""
    assert select(build_statistics(9000, None)) == ['b']
    assert select(build_statistics(None, None)) == ['a', 'b']


def test_backlog_that_leaves_during_the_run_refuses_nothing() -> None:
    """A class that is always slower than its target is not refused.

    Its line is free by the time the response is ready, so that a refusal
    would name the wrong cause.
    """
    late = structs.replace(REQUEST, slack_seconds=0.05, deadline_seconds=0.1)
    assert select(build_statistics(150, 0), late) == ['a', 'b']


def test_response_that_is_late_in_any_case_has_until_its_deadline() -> None:
    late = structs.replace(REQUEST, slack_seconds=0.2)
    assert select(build_statistics(2500, 2950), late) == ['a']
    assert isinstance(select(build_statistics(2950, 2950), late), LinesOverdue)


def test_old_report_is_used_less_what_has_left_since() -> None:
    statistics = build_statistics(2000, 2000)
    assert isinstance(select(statistics, age=0.9), LinesOverdue)
    assert select(statistics, age=1.2) == ['a', 'b']


@pytest.mark.parametrize('may_probe', [True, False])
def test_one_request_in_twenty_is_sent_as_a_probe(*, may_probe: bool) -> None:
    """Entries refuse all requests by a report that is never renewed."""
    random.seed(1)
    request = structs.replace(REQUEST, may_probe=may_probe)
    statistics = build_statistics(9000, 8000)
    chosen = [select(statistics, request) for _request in range(4000)]
    probes = [each for each in chosen if not isinstance(each, LinesOverdue)]
    expected = 4000 * PROBE_SHARE if may_probe else 0
    assert len(probes) == pytest.approx(expected, rel=0.2)
    assert all(probe == ['b'] for probe in probes), 'to the best line'


@pytest.mark.parametrize('name', list(ChooserName))
def test_every_chooser_leaves_out_overdue_lines(name: ChooserName) -> None:
    holder = ViewHolder()
    holder.replace_instances(build_instances(*RECORDS))
    placement = Placement(
        InstanceId('e'),
        data_centre=REQUEST.data_centre,
        chooser=make_chooser(name),
        statistics=build_statistics(2000, 100),
    )
    for _request in range(20):
        placed = placement.choose(
            holder.current,
            ServiceName('casefiles'),
            avoided=(),
            request=REQUEST,
            now=NOW,
        )
        assert isinstance(placed, ChosenUpstream)
        assert placed.record.instance == 'b'


def play_burst(*, is_checked: bool, seed: int) -> DownloadCounts:
    random.seed(seed)
    downloads = ReplayDownloads(owners=9, entries=20, is_checked=is_checked)
    downloads.play(0.9, seconds=20)
    downloads.play(2.2, seconds=20)
    return downloads.counts


@pytest.mark.parametrize('seed', [1, 2])
def test_entries_refuse_what_no_line_can_carry(seed: int) -> None:
    """Requests for downloads visit owners only to be refused there.

    At 2.2 times what the lines carry more than half cannot be served. The
    entries refuse a part of them unsent, and owners have to refuse at most
    0.6 times as often; the lines stay as busy as without the check.
    """
    without = play_burst(is_checked=False, seed=seed)
    checked = play_burst(is_checked=True, seed=seed)
    assert checked.owner_refusals < 0.6 * without.owner_refusals
    assert checked.refused_unsent > 0.25 * checked.refused
    assert checked.sent_bytes > 0.97 * without.sent_bytes
    assert checked.in_time >= 0.97 * without.in_time


@pytest.mark.parametrize('probes', [True, False])
@pytest.mark.parametrize('seed', [1, 2])
def test_entries_notice_the_end_of_a_backlog(
    monkeypatch: pytest.MonkeyPatch, seed: int, *, probes: bool
) -> None:
    """Entries go on refusing after the burst, while the lines are idle.

    Also without probes: reports expire, and owners tell of the change.
    """
    if not probes:
        name = 'wagtaildale.routing.line_check.PROBE_SHARE'
        monkeypatch.setattr(name, 0)
    random.seed(seed)
    downloads = ReplayDownloads(owners=9, entries=20, is_checked=True)
    downloads.play(2.2, seconds=6)
    downloads.play(0.5, seconds=3)
    refused = downloads.counts.refused_unsent
    downloads.play(0.5, seconds=10)
    assert downloads.counts.refused_unsent == refused
