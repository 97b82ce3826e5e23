"""Tests of what ``wagtaildale status`` prints of a report."""

from __future__ import annotations

import pytest

from wagtaildale.admin.line_reports import describe_outgoing_line
from wagtaildale.admin.model import (
    BackendState,
    ControlState,
    DocumentState,
    FleetReport,
    NodeReport,
    OutgoingLineState,
    ReportPart,
)
from wagtaildale.admission.incoming_line import LineState
from wagtaildale.cli.status import print_fleet
from wagtaildale.routing.upstream import UpstreamStatistics
from wagtaildale.types import InstanceId

NOW = 1000.0


def build_report(
    instance: str, line: OutgoingLineState | None = None
) -> NodeReport:
    return NodeReport(
        instance=instance,
        incarnation=1,
        service='maps',
        data_centre='derby',
        state='ready',
        reader=False,
        documents={
            'configuration': DocumentState(
                version=1, digest='', age_ms=0, refused={}
            ),
        },
        away=(),
        neighbours=(),
        control=ControlState(
            sent_bytes=0,
            received_bytes=0,
            sent=0,
            received=0,
            malformed=0,
            misdirected=0,
            refused_peers=0,
        ),
        classes=(),
        backend=BackendState(
            slots=6, limit=6, running=0, queued=0, draining=False
        ),
        invariants_broken=0,
        cpu_seconds=0,
        resident_bytes=0,
        outgoing_line=line,
    )


def test_status_shows_the_outgoing_lines_with_a_backlog(
    capsys: pytest.CaptureFixture[str],
) -> None:
    """Downloads are refused, and status shows no server that is full."""
    reports = (
        build_report('a', OutgoingLineState(wait_ms=1500, backlog_bytes=90000)),
        build_report('b', OutgoingLineState(wait_ms=10, backlog_bytes=600)),
        build_report('c'),
    )
    fleet = FleetReport(
        asked='a',
        parts=tuple(ReportPart(age_ms=3, report=each) for each in reports),
        unknown=(),
    )
    print_fleet(fleet)
    lines = capsys.readouterr().out.splitlines()
    shown = [line for line in lines if line.startswith('outgoing line')]
    assert shown == ['outgoing line of a: 1500 ms, 90000 bytes wait']


def test_explanation_of_an_upstream_names_its_line() -> None:
    upstream = UpstreamStatistics(InstanceId('b'), now=NOW)
    assert not describe_outgoing_line(upstream, now=NOW)
    state = LineState(1500, 625)
    upstream.lines.note(incoming=None, outgoing=state, now=NOW)
    assert describe_outgoing_line(upstream, now=NOW) == (
        'outgoing line free in 1.50 s',
    )
