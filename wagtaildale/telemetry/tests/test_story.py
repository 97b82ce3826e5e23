"""Tests of the story of a request, told from logs."""

from __future__ import annotations

import pytest

from wagtaildale.errors.codes import Code
from wagtaildale.telemetry.events import EventKind
from wagtaildale.telemetry.lines import LogLine, read_lines
from wagtaildale.telemetry.log import write_pairs
from wagtaildale.telemetry.story import Story, find_cause, tell_story
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


def tell(*texts: str) -> Story:
    return tell_story(REQUEST, read_lines(texts).lines)


def test_refusal_is_explained_by_its_owner() -> None:
    """A booking is refused, and the entry alone cannot say why.

    The owner's line has the queue that decided it.
    """
    story = tell(*reversed(REFUSED))
    cause = find_cause(story)
    assert cause is not None
    assert cause.node == OWNER
    assert cause.inputs['waiting'] == '21'
    assert story.end is not None
    assert story.end.code == Code.overloaded


def test_calls_made_for_a_request_belong_to_its_story() -> None:
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
    story = tell(called, other, *REFUSED)
    assert [line.at_ms for line in story.decisions] == [1010, 1020, 1021]


def test_beliefs_are_the_last_of_their_kind_before_the_end() -> None:
    """A request goes to a server that has left.

    What its entry had last learned of the list is part of the story; what
    other nodes learned, and what came later, is not.
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
    story = tell(*learned, *REFUSED)
    assert [line.version for line in story.beliefs] == [900]


def test_prefix_of_a_collector_is_passed_over() -> None:
    reading = read_lines([f'   1.6317 sidecar-a-1 {REFUSED[0]}\n'])
    assert reading.lines[0].node == OWNER
    assert not reading.foreign


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
def test_bad_lines_are_counted(text: str, torn: int, foreign: int) -> None:
    """A log ends in the middle of a line, or holds another program's lines.

    What cannot be read is counted, and the rest is told.
    """
    reading = read_lines([text, *REFUSED])
    assert (reading.torn, reading.foreign) == (torn, foreign)
    assert len(reading.lines) == len(REFUSED)


def test_quoted_text_comes_back() -> None:
    detail = 'two\nlines, "quoted" and a \\'
    text = build_text(EventKind.node_ready, at_ms=1, detail=detail)
    assert read_lines([text]).lines[0].detail == detail


def test_two_processes_of_a_node_are_named() -> None:
    """A node is restarted, and its second process's lines look like one."""
    again = build_text(EventKind.node_started, at_ms=5000, incarnation=2)
    assert tell(*REFUSED, again).restarted == (ENTRY,)


def test_end_that_was_not_written() -> None:
    story = tell(REFUSED[0])
    assert story.end is None
    assert find_cause(story) is None


def test_answered_request_has_no_cause() -> None:
    answered = build_text(
        EventKind.call_answered,
        at_ms=1500,
        request=REQUEST,
        status=200,
    )
    assert find_cause(tell(REFUSED[0], answered)) is None


def test_lines_left_out_are_said() -> None:
    text = build_text(EventKind.node_ready, at_ms=1015, left_out=30)
    assert tell(text, *REFUSED).left_out == 30


def test_unknown_request_has_no_story() -> None:
    lines: list[LogLine] = read_lines(REFUSED).lines
    assert not tell_story('0', lines).decisions


def test_ends_of_servers_explain_a_refusal() -> None:
    """A request is refused for what happened minutes ago, elsewhere."""
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
    story = tell(ended, other, refused)
    assert [belief.subject for belief in story.beliefs] == ['i-1']
