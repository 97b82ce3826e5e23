"""Tests of the target of a request of a bulk class."""

from __future__ import annotations

from typing import Final

import pytest
from msgspec import structs

from wagtaildale.admission.incoming_line import LineState
from wagtaildale.calls.entry.attempts import Attempts
from wagtaildale.calls.entry.budgets import RetryBudget
from wagtaildale.calls.entry.routed_call import RoutedCall
from wagtaildale.calls.failures import CallFailed
from wagtaildale.calls.tests.pairs import Pair
from wagtaildale.errors.codes import Code
from wagtaildale.testing.builders import MESH_TEXT, build_retry_limits
from wagtaildale.testing.loopback import make_host
from wagtaildale.timers.service import read_clock
from wagtaildale.types import InstanceId, RequestId

BULK_TEXT: Final = MESH_TEXT.replace(
    'name = "lookup"', 'name = "lookup"\nbulk = true'
)
# A backlog of an hour, which no request can wait for.
OVERDUE: Final = LineState(3_600_000, 625)


def report_line(pair: Pair, name: InstanceId, state: LineState) -> None:
    now = read_clock()
    statistics = pair.entry_node.calls.entry.parts.placement.statistics
    upstream = statistics.find(name, now=now)
    upstream.lines.note(incoming=None, outgoing=state, now=now)


def build_call(pair: Pair) -> RoutedCall:
    view = pair.entry_node.view.current
    assert view.table is not None
    match = view.table.find('GET', '/files/7')
    assert match is not None
    now = read_clock()
    return RoutedCall(
        match=match,
        service=match.service,
        view=view,
        request_id=RequestId('r'),
        headers=(),
        deadline=now + 2,
        latency_target_at=now + 1,
        caller_try=pair.entry_node.calls.entry.parts.caller_retries.recognise(
            b'', timeout_seconds=2, now=now
        ),
    )


def build_attempts(*refused_by: InstanceId) -> Attempts:
    now = read_clock()
    return Attempts(
        idempotent=True,
        deadline=now + 2,
        budget=RetryBudget(build_retry_limits(slack=1), now=now),
        tried=list(refused_by),
        overloaded=list(refused_by),
    )


def test_request_waits_at_a_full_server_if_the_other_lines_are_overdue(
    pair: Pair, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A download is refused for the lines, though one of them is free.

    The server at that line had no slot at once; the download can wait there.
    """
    monkeypatch.setattr('wagtaildale.routing.line_check.PROBE_SHARE', 0)
    pair.entry_node.publish(BULK_TEXT)
    first = pair.owner_node.record
    second = structs.replace(first, instance=InstanceId('c'), host=make_host(3))
    pair.entry_node.set_instances(first, second)
    report_line(pair, first.instance, LineState(0, 625))
    report_line(pair, second.instance, OVERDUE)
    targets = pair.entry_node.calls.entry.targets
    call = build_call(pair)
    waiting = targets.choose(call, build_attempts(first.instance))
    assert waiting.fields.instance == first.instance
    assert waiting.fields.patient
    report_line(pair, first.instance, OVERDUE)
    with pytest.raises(CallFailed) as refusal:
        targets.choose(call, build_attempts(first.instance))
    assert refusal.value.code is Code.overloaded
    assert 'outgoing line' in refusal.value.detail


def test_large_responses_are_not_hedged() -> None:
    """A hedge carries a large response over two lines that are full."""
    attempts = build_attempts()
    attempts.is_bulk = True
    assert not attempts.may_hedge(read_clock())
    assert not attempts.try_hedge(now=read_clock())
    attempts.is_bulk = False
    assert attempts.may_hedge(read_clock())
