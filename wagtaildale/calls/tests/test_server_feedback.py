"""Tests of the feedback that backend servers send with responses."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

import pytest

from wagtaildale.admission.pace import ServerLoad
from wagtaildale.calls.http.parsing import MessageParser
from wagtaildale.calls.owner.server_feedback import (
    FeedbackTracker,
    ServerFeedback,
    parse_feedback,
)
from wagtaildale.errors.codes import Code
from wagtaildale.platform.dialect import PLATFORM_DIALECT
from wagtaildale.telemetry.events import EventKind
from wagtaildale.testing.builders import build_gate, build_recorder
from wagtaildale.types import InstanceId

if TYPE_CHECKING:
    from wagtaildale.calls.http.parsing import Message

SERVER: Final = InstanceId('i-1')


def build_response(extra: bytes) -> Message:
    parser = MessageParser(parses_requests=False, max_head_bytes=4096)
    parser.feed(b'HTTP/1.1 200 OK\r\n%bcontent-length: 0\r\n\r\n' % extra)
    message = parser.peek()
    assert message is not None
    return message


def parse(extra: bytes) -> ServerFeedback:
    return parse_feedback(build_response(extra), PLATFORM_DIALECT)


@pytest.mark.parametrize(
    ('extra', 'expected'),
    [
        (b'', ServerFeedback()),
        (b'Server-Limit: 19.1\r\n', ServerFeedback(per_second=19.1)),
        (b'Server-Limit: 5\r\n', ServerFeedback(per_second=5)),
        (b'Server-Limit: 0\r\n', ServerFeedback(per_second=0)),
        (b'Server-Leaving: 1\r\n', ServerFeedback(is_leaving=True)),
        (
            b'Server-Limit: 2.3\r\nServer-Leaving: 1\r\n',
            ServerFeedback(per_second=2.3, is_leaving=True),
        ),
    ],
)
def test_feedback_headers_are_parsed(
    extra: bytes, expected: ServerFeedback
) -> None:
    assert parse(extra) == expected


@pytest.mark.parametrize(
    'text',
    [b'-1', b'nan', b'inf', b'1e9', b'1,5', b'', b'9' * 400, b'0x10', b'1 2'],
)
def test_limit_that_is_not_a_number_is_rejected(text: bytes) -> None:
    """An invalid limit makes the owner send nothing, or everything."""
    assert parse(b'Server-Limit: %b\r\n' % text) == ServerFeedback(
        malformed=text,
    )


@pytest.mark.parametrize('digits', [10, 16, 17, 40])
def test_limit_may_have_all_digits_of_a_quotient(digits: int) -> None:
    """A limit of 16 / 3 is not kept, since it has too many digits."""
    text = b'5.%b' % (b'3' * digits)
    assert parse(b'Server-Limit: %b\r\n' % text) == ServerFeedback(
        per_second=float(text)
    )


@pytest.mark.parametrize('limit', [b'x', b'', b'5,3', b'-1', b'1e9'])
def test_malformed_limit_does_not_hide_that_the_server_leaves(
    limit: bytes,
) -> None:
    """A leaving server gets requests since its limit cannot be parsed."""
    extra = b'Server-Limit: %b\r\nServer-Leaving: 1\r\n' % limit
    assert parse(extra) == ServerFeedback(is_leaving=True, malformed=limit)


@pytest.mark.parametrize('leaving', [b'true', b'0', b''])
def test_malformed_leaving_does_not_hide_the_limit(leaving: bytes) -> None:
    """A limit is not kept since another word cannot be parsed."""
    extra = b'Server-Limit: 5\r\nServer-Leaving: %b\r\n' % leaving
    assert parse(extra) == ServerFeedback(
        per_second=5, malformed_leaving=leaving
    )


def test_empty_limit_does_not_remove_the_limit() -> None:
    """An empty header is taken for the end of a limit."""
    tracker = FeedbackTracker(build_gate(), recorder=build_recorder())
    for begun_at, extra in enumerate((b'2.5', b'')):
        feedback = parse(b'Server-Limit: %b\r\n' % extra)
        tracker.apply(feedback, instance=SERVER, begun_at=begun_at)
    assert tracker.per_second == 2.5


def test_changes_of_the_limit_are_logged() -> None:
    """Operators cannot see that a server reports a limit."""
    recorder = build_recorder()
    tracker = FeedbackTracker(build_gate(), recorder=recorder)
    received = (
        ServerFeedback(per_second=2.5),
        ServerFeedback(per_second=2.5),
        ServerFeedback(malformed=b'x'),
        ServerFeedback(per_second=3),
        ServerFeedback(),
    )
    for begun_at, feedback in enumerate(received):
        tracker.apply(feedback, instance=SERVER, begun_at=begun_at)
    events = recorder.read_since(0)
    assert [event.kind for event in events] == [
        EventKind.server_limited,
        EventKind.server_word_refused,
        EventKind.server_limited,
        EventKind.server_unlimited,
    ]
    assert events[0].inputs == {'per_second': '2.5', 'origin': 'server'}
    assert events[1].code == Code.server_word_malformed


@pytest.mark.parametrize(
    ('text', 'expected'),
    [
        (b'3,0,8', ServerLoad(running=3, waiting=0, slots=8)),
        (b'3,2,8,1', ServerLoad(running=3, waiting=2, slots=8, pace_percent=1)),
        (
            b'0,0,999999999,10000',
            ServerLoad(
                running=0, waiting=0, slots=999_999_999, pace_percent=10_000
            ),
        ),
    ],
)
def test_load_is_parsed(text: bytes, expected: ServerLoad) -> None:
    assert parse(b'X-Server-Load: %b\r\n' % text).load == expected


@pytest.mark.parametrize(
    'text',
    [
        b'3',
        b'3,0',
        b'3,0,8,100,1',
        b'',
        b'3,0,8,',
        b'3,0,8,0',
        b'3,0,8,10001',
        b'3,0,8,-1',
        b'3,0,8,1.5',
        b'3,0,8,nan',
        b'3, 0, 8',
        b'3;0;8',
        b'0,0,1234567890',
        '3,0,\u0668'.encode(),
        b'9' * 400,
    ],
)
def test_malformed_load_does_not_affect_the_limit(text: bytes) -> None:
    """A malformed load removes the rate limit of the same response."""
    extra = b'Server-Limit: 5\r\nX-Server-Load: %b\r\n' % text
    assert parse(extra) == ServerFeedback(per_second=5, malformed_load=text)


def test_malformed_limit_does_not_affect_the_load() -> None:
    """A malformed limit hides the load of the same response."""
    extra = b'Server-Limit: x\r\nX-Server-Load: 1,0,4,250\r\n'
    assert parse(extra) == ServerFeedback(
        malformed=b'x',
        load=ServerLoad(running=1, waiting=0, slots=4, pace_percent=250),
    )


def test_malformed_load_is_logged_and_changes_nothing() -> None:
    """Nonsense of a server changes what is expected of it, unnoticed."""
    recorder = build_recorder()
    gate = build_gate()
    tracker = FeedbackTracker(gate, recorder=recorder)
    load = ServerLoad(running=1, waiting=0, slots=4, pace_percent=250)
    received = (
        ServerFeedback(load=load),
        ServerFeedback(malformed_load=b'1,0,4,0'),
    )
    for begun_at, feedback in enumerate(received):
        tracker.apply(feedback, instance=SERVER, begun_at=begun_at)
    events = recorder.read_since(0)
    assert [(event.kind, event.code) for event in events] == [
        (EventKind.server_word_refused, Code.server_word_malformed),
    ]
    assert gate.state.pace.reported.percent == load.pace_percent
