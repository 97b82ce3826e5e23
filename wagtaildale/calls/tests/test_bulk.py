"""Tests of bulk classes at the entry, over real sockets."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

import pytest
from msgspec import structs

from wagtaildale.admission.incoming_line import LineState
from wagtaildale.calls.addresses import Address
from wagtaildale.calls.entry.report import CallReport
from wagtaildale.calls.entry.targets import AttemptTarget
from wagtaildale.calls.tests.pairs import (
    OUTCOME_HEADER,
    Pair,
    build_run,
    read_code,
    send_raw_request,
    wait_until,
)
from wagtaildale.errors.codes import Code
from wagtaildale.routing.upstream import UpstreamStatistics
from wagtaildale.telemetry.events import EventKind, EventRecorder
from wagtaildale.telemetry.tallies import Tallies
from wagtaildale.testing.builders import MESH_TEXT, OWNER_PORT
from wagtaildale.testing.loopback import make_host
from wagtaildale.timers.service import read_clock
from wagtaildale.types import DataCentre, Incarnation, InstanceId

if TYPE_CHECKING:
    from wagtaildale.calls.wire.fields import CallFields
    from wagtaildale.routing.statistics import FleetStatistics
    from wagtaildale.telemetry.events import Event

BULK_TEXT: Final = MESH_TEXT.replace(
    'name = "lookup"', 'name = "lookup"\nbulk = true'
)
DOWNLOAD: Final = '/files/7'
DOWNLOAD_REQUEST: Final = (
    b'GET /files/7 HTTP/1.1\r\nhost: m\r\nconnection: close\r\n\r\n'
)
CLASS_NAME: Final = 'casefiles/lookup'
# A backlog of an hour, which no request can wait for.
OVERDUE: Final = LineState(3_600_000, 625)


@pytest.fixture
def bulk_pair(pair: Pair, monkeypatch: pytest.MonkeyPatch) -> Pair:
    """A pair in which lookups are bulk, and whose entry sends no probes."""
    monkeypatch.setattr('wagtaildale.routing.line_check.PROBE_SHARE', 0)
    pair.entry_node.publish(BULK_TEXT)
    return pair


def get_statistics(pair: Pair) -> FleetStatistics:
    return pair.entry_node.calls.entry.parts.placement.statistics


def find_upstream(pair: Pair) -> UpstreamStatistics:
    return get_statistics(pair).find(InstanceId('b'), now=read_clock())


def report_line(pair: Pair, state: LineState) -> None:
    now = read_clock()
    find_upstream(pair).lines.note(incoming=None, outgoing=state, now=now)


def test_download_that_no_line_can_carry_is_refused_unsent(
    bulk_pair: Pair,
) -> None:
    """A download waits at its owner until it is refused there, or is late."""
    report_line(bulk_pair, OVERDUE)
    response, text = bulk_pair.ask('GET', DOWNLOAD)
    assert response.status == 503
    assert read_code(text) is Code.overloaded
    assert response.headers[OUTCOME_HEADER].startswith('not-run')
    assert 3600 <= int(response.headers['retry-after']) <= 1.5 * 3600
    assert not bulk_pair.backend.counts.runs


def test_refusal_for_the_line_is_logged_with_its_cause(bulk_pair: Pair) -> None:
    report_line(bulk_pair, OVERDUE)
    bulk_pair.ask('GET', DOWNLOAD)
    events = bulk_pair.entry_node.recorder.read_since(0)
    refused = next(each for each in events if each.code == Code.overloaded)
    assert refused.kind is EventKind.call_refused
    assert 'outgoing line' in refused.detail
    assert not refused.inputs['upstreams'], 'nothing was sent'


def test_other_classes_are_not_refused_for_the_line(bulk_pair: Pair) -> None:
    """Bookings are refused because downloads wait."""
    report_line(bulk_pair, OVERDUE)
    response, _text = bulk_pair.ask('POST', '/bookings', b'{}')
    assert response.status == 200


def test_probe_learns_that_the_backlog_has_gone(
    bulk_pair: Pair, monkeypatch: pytest.MonkeyPatch
) -> None:
    """An entry refuses for an hour by a report that no longer holds."""
    report_line(bulk_pair, OVERDUE)
    monkeypatch.setattr('wagtaildale.routing.line_check.PROBE_SHARE', 1)
    assert bulk_pair.ask('GET', DOWNLOAD)[0].status == 200
    monkeypatch.setattr('wagtaildale.routing.line_check.PROBE_SHARE', 0)
    assert bulk_pair.ask('GET', DOWNLOAD)[0].status == 200


def test_entry_learns_the_response_size_of_bulk_classes_only(
    bulk_pair: Pair,
) -> None:
    _response, text = bulk_pair.ask('GET', DOWNLOAD)
    bulk_pair.ask('POST', '/bookings', b'{}')
    sizes = get_statistics(bulk_pair).response_sizes
    wait_until(lambda: sizes.find_mean(CLASS_NAME) == len(text))
    assert sizes.find_mean('casefiles/booking') == 0


def test_errors_of_the_server_are_no_response_sizes(bulk_pair: Pair) -> None:
    """A series of small errors makes the next downloads look small."""
    bulk_pair.backend.faults.error = True
    assert bulk_pair.ask('GET', DOWNLOAD)[0].status == 500
    assert get_statistics(bulk_pair).response_sizes.find_mean(CLASS_NAME) == 0


def test_line_that_an_answer_reports_is_known(
    bulk_pair: Pair, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The report of an owner is lost on its way to the choice."""
    reported = LineState(40, 625)
    set_reported_line(bulk_pair, reported, monkeypatch)
    bulk_pair.ask('GET', DOWNLOAD)
    line = find_upstream(bulk_pair).lines.outgoing
    assert line.is_known
    assert line.estimate_wait(read_clock()) == pytest.approx(0.04)


def test_own_server_is_not_refused_for_the_line(
    bulk_pair: Pair, monkeypatch: pytest.MonkeyPatch
) -> None:
    """An entry refuses downloads from its own server, which cross no line."""
    node = bulk_pair.owner_node
    node.publish(BULK_TEXT)
    node.set_instances(node.record)
    set_reported_line(bulk_pair, OVERDUE, monkeypatch)
    answers = [
        send_raw_request(node.entry, DOWNLOAD_REQUEST) for _call in range(2)
    ]
    assert all(answer.startswith(b'HTTP/1.1 200') for answer in answers)


def test_entry_marks_requests_of_bulk_classes(
    bulk_pair: Pair, monkeypatch: pytest.MonkeyPatch
) -> None:
    """An owner cannot tell downloads from lookups, and sends them at once."""
    seen = set_reported_line(bulk_pair, LineState(0, 625), monkeypatch)
    bulk_pair.ask('GET', DOWNLOAD)
    bulk_pair.ask('POST', '/bookings', b'{}')
    marks = {fields.work_class: fields.bulk for fields in seen}
    assert marks == {CLASS_NAME: True, 'casefiles/booking': False}


@pytest.mark.parametrize('bulk', [True, False])
def test_log_lines_of_bulk_calls_have_line_and_size(*, bulk: bool) -> None:
    """The lines of other classes stay as they are."""
    events: list[Event] = []
    recorder = EventRecorder(
        InstanceId('a'), Incarnation(1), sink=events.append
    )
    report = CallReport(Tallies(), recorder)
    target = build_target(bulk=bulk)
    for _attempt in range(2):
        report.note_attempt(target)
    if bulk:
        report.note_response_size(90_000)
    report.note_response(status=200)
    begun, answered = events
    expected = (1500, 90_000) if bulk else (None, None)
    found = (
        begun.inputs.get('line_wait_ms'),
        answered.inputs.get('response_bytes'),
    )
    assert found == expected


def build_target(*, bulk: bool) -> AttemptTarget:
    upstream = UpstreamStatistics(InstanceId('b'), now=read_clock())
    state = LineState(1500, 625)
    upstream.lines.note(incoming=None, outgoing=state, now=read_clock())
    return AttemptTarget(
        address=Address(make_host(2), OWNER_PORT),
        is_local=False,
        is_in_other_data_centre=False,
        data_centre=DataCentre('derby'),
        fields=structs.replace(build_run().fields, bulk=bulk),
        upstream=upstream,
    )


def set_reported_line(
    pair: Pair, state: LineState, monkeypatch: pytest.MonkeyPatch
) -> list[CallFields]:
    """Let the owner report a state; return the fields of its calls."""
    seen: list[CallFields] = []
    owner = pair.owner_node.owner
    build = owner.build_answer_fields

    def report(fields: CallFields, **others: object) -> object:
        seen.append(fields)
        answer = build(fields, **others)  # type: ignore[arg-type]
        return structs.replace(answer, outgoing_line=state)

    monkeypatch.setattr(owner, 'build_answer_fields', report)
    return seen
