"""Tests of reconstructing the history of a request from logs."""

from __future__ import annotations

import pytest

from wagtaildale.errors.codes import Code
from wagtaildale.telemetry.events import EventKind
from wagtaildale.telemetry.log import write_pairs
from wagtaildale.telemetry.log_lines import LogLine, read_lines
from wagtaildale.telemetry.request_history import (
    RequestHistory,
    collect_history,
    find_cause,
)
from wagtaildale.types import InstanceId

ENTRY = InstanceId('10.1.0.1')
OWNER = InstanceId('10.1.0.2')
REQUEST = '9c41d07be2a35f68'


def build_text(
    kind: EventKind,
    *,
    at_ms: int,
    node: InstanceId = ENTRY,
    incarnation: int = 1,
    **fields: object,
) -> str:
    pairs = {
        'at_ms': at_ms,
        'node': node,
        'incarnation': incarnation,
        'kind': kind.value,
        **fields,
    }
    return write_pairs(pairs)


REFUSED = (
    build_text(
        EventKind.run_refused,
        at_ms=1020,
        node=OWNER,
        request=REQUEST,
        code=Code.overloaded.value,
        subject='intake/tarp-booking',
        running=9,
        limit=9,
        waiting=21,
    ),
    build_text(
        EventKind.call_refused,
        at_ms=1021,
        request=REQUEST,
        code=Code.overloaded.value,
        version=7,
        outcome='not-run',
    ),
)


def collect(*texts: str) -> RequestHistory:
    return collect_history(REQUEST, read_lines(texts).lines)


def test_cause_of_a_refusal_is_the_owner_line() -> None:
    """The entry's line alone does not show why a request was refused.

    The owner's line has the state of the queue that led to the refusal.
    """
    history = collect(*reversed(REFUSED))
    cause = find_cause(history)
    assert cause is not None
    assert cause.node == OWNER
    assert cause.inputs['waiting'] == '21'
    assert history.end is not None
    assert history.end.code == Code.overloaded


LINE_REFUSAL = build_text(
    EventKind.call_refused,
    at_ms=1030,
    request=REQUEST,
    code=Code.overloaded.value,
    detail='no outgoing line of service maps can carry the response in time',
)


def test_cause_of_a_refusal_for_the_line_is_not_an_earlier_full_server() -> (
    None
):
    """A full server refuses first, and then no line is free.

    Operators would add slots, which are not what is missing.
    """
    history = collect(REFUSED[0], LINE_REFUSAL)
    assert find_cause(history) is history.end


def test_cause_of_a_refusal_for_the_line_is_the_line_of_its_owner() -> None:
    owner_refusal = build_text(
        EventKind.run_refused,
        at_ms=1010,
        node=OWNER,
        request=REQUEST,
        code=Code.overloaded.value,
        detail='the outgoing line needs 0.40 s more than there is time',
    )
    cause = find_cause(collect(owner_refusal, REFUSED[0], LINE_REFUSAL))
    assert cause is not None
    assert (cause.node, cause.at_ms) == (OWNER, 1010)


def test_calls_made_for_a_request_belong_to_its_history() -> None:
    called = build_text(
        EventKind.call_failed,
        at_ms=1010,
        node=OWNER,
        request=f'{REQUEST}.8eb90457a0de05a2',
        code=Code.timed_out.value,
    )
    other = build_text(
        EventKind.call_failed,
        at_ms=1011,
        request=f'{REQUEST}0',
        code=Code.timed_out.value,
    )
    history = collect(called, other, *REFUSED)
    assert [line.at_ms for line in history.decisions] == [1010, 1020, 1021]


def test_beliefs_are_the_last_of_their_kind_before_the_end() -> None:
    """Explains a request that was sent to a server that had left.

    The last list that its entry had applied is part of the history; lists
    applied by other nodes, or later, are not.
    """
    learned = [
        build_text(EventKind.instances_applied, at_ms=at, version=at, node=node)
        for at, node in (
            (100, ENTRY),
            (900, ENTRY),
            (950, InstanceId('elsewhere')),
            (2000, ENTRY),
        )
    ]
    history = collect(*learned, *REFUSED)
    assert [line.version for line in history.beliefs] == [900]


def test_prefix_of_a_log_collector_is_skipped() -> None:
    parsed_log = read_lines([f'   1.6317 sidecar-a-1 {REFUSED[0]}\n'])
    assert parsed_log.lines[0].node == OWNER
    assert not parsed_log.foreign


@pytest.mark.parametrize(
    ('text', 'torn', 'foreign'),
    [
        ('Traceback (most recent call last):', 0, 1),
        ('', 0, 0),
        ('at_ms=12 node=', 1, 0),
        ('at_ms=1x node=a kind=node-ready', 1, 0),
        ('at_ms=1 node=a kind=of-tomorrow', 1, 0),
        ('at_ms=1 node=a kind="node-ready', 1, 0),
    ],
)
def test_unreadable_lines_are_counted(
    text: str, torn: int, foreign: int
) -> None:
    """A log may end within a line or contain lines of other programs.

    Lines that cannot be parsed are counted, and the others are still parsed.
    """
    parsed_log = read_lines([text, *REFUSED])
    assert (parsed_log.torn, parsed_log.foreign) == (torn, foreign)
    assert len(parsed_log.lines) == len(REFUSED)


def test_quoted_text_is_parsed_back() -> None:
    detail = 'two\nlines, "quoted" and a \\'
    text = build_text(EventKind.node_ready, at_ms=1, detail=detail)
    assert read_lines([text]).lines[0].detail == detail


def test_restarted_node_is_listed() -> None:
    """Prevents lines of two processes of a node from passing as one's."""
    again = build_text(EventKind.node_started, at_ms=5000, incarnation=2)
    assert collect(*REFUSED, again).restarted == (ENTRY,)


def test_request_without_an_end_line_has_no_cause() -> None:
    history = collect(REFUSED[0])
    assert history.end is None
    assert find_cause(history) is None


def test_answered_request_has_no_cause() -> None:
    answered = build_text(
        EventKind.call_answered,
        at_ms=1500,
        request=REQUEST,
        status=200,
    )
    assert find_cause(collect(REFUSED[0], answered)) is None


def test_dropped_lines_are_counted() -> None:
    text = build_text(EventKind.node_ready, at_ms=1015, left_out=30)
    assert collect(text, *REFUSED).left_out == 30


def test_unknown_request_has_no_decisions() -> None:
    lines: list[LogLine] = read_lines(REFUSED).lines
    assert not collect_history('0', lines).decisions


def test_server_ends_explain_a_refusal() -> None:
    """The cause may lie minutes before the request and on another node."""
    ended = build_text(
        EventKind.server_ended,
        at_ms=1000,
        node=OWNER,
        subject='i-1',
        detail='0a0b 0c0d',
    )
    other = build_text(EventKind.server_ended, at_ms=1000, detail='0c0d')
    refused = build_text(
        EventKind.call_refused,
        at_ms=200_000,
        request=REQUEST,
        code=Code.request_harmful.value,
        detail='0a0b',
    )
    history = collect(ended, other, refused)
    assert [belief.subject for belief in history.beliefs] == ['i-1']
