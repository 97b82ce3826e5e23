"""Fuzz tests of all inputs: parsers raise nothing but their own errors.

``make fuzz`` runs the same tests with more examples, and new random ones in
each run. The names and bodies of the tests determine the examples of the
usual run.
"""

from __future__ import annotations

import os

from hypothesis import example, given, settings
from hypothesis import strategies as st

from wagtaildale.calls.failures import CallFailed
from wagtaildale.calls.http.parsing import MessageParser
from wagtaildale.calls.wire.frames import LENGTH_PREFIX, FrameReader
from wagtaildale.configuration.files import parse_mesh
from wagtaildale.configuration.validation import check_parts
from wagtaildale.distribution.wire import decode_envelope
from wagtaildale.errors.codes import Code
from wagtaildale.membership.records import check_records
from wagtaildale.routing.table import split_path
from wagtaildale.settings.load import parse_settings
from wagtaildale.testing.builders import MESH_TEXT

EXAMPLES = int(os.environ.get('WAGTAILDALE_FUZZ_EXAMPLES', '60'))
fuzzing = settings(
    derandomize=EXAMPLES == 60,
    deadline=None,
    max_examples=EXAMPLES,
)

LINES = MESH_TEXT.splitlines()
SCRAPS = st.one_of(
    st.text(max_size=40),
    st.sampled_from(LINES),
    st.sampled_from(('[[services]]', 'a.b = {c = [1]}', '[services]', '"')),
)


@fuzzing
@given(
    scraps=st.lists(SCRAPS, max_size=8),
    cut=st.integers(0, len(LINES)),
)
@example(scraps=['[services]', 'classes = 3'], cut=0)
@example(scraps=['services = [1, "a"]'], cut=0)
def test_operators_file(scraps: list[str], cut: int) -> None:
    text = '\n'.join((*LINES[:cut], *scraps, *LINES[cut:]))
    outcome = parse_mesh(text, name='fuzz')
    if outcome.is_err():
        assert all(str(fault) for fault in outcome.unwrap_err())


@fuzzing
@given(scraps=st.lists(SCRAPS, max_size=8))
def test_settings(scraps: list[str]) -> None:
    outcome = parse_settings('\n'.join(scraps), name='fuzz')
    assert outcome.is_err()


@fuzzing
@given(frame=st.binary(max_size=200))
@example(frame=b'\x94\xa1a\x91\x94\xa1b\x01\x00\xa5ready\x00\x90')
@example(frame=b'\xdf\xff\xff\xff\xff')
def test_message_between_nodes(frame: bytes) -> None:
    outcome = decode_envelope(frame)
    assert outcome.is_err() or outcome.unwrap().news


@fuzzing
@given(blob=st.binary(max_size=200))
@example(blob=b'[' * 5000)
def test_published_part(blob: bytes) -> None:
    assert check_parts({'casefiles': blob}).is_err()
    assert check_records({'a': blob}).is_err()


@fuzzing
@given(
    chunks=st.lists(
        st.one_of(
            st.binary(max_size=60),
            st.sampled_from(
                (
                    b'GET / HTTP/1.1\r\n',
                    b'host: a\r\n',
                    b'content-length: 5\r\n',
                    b'transfer-encoding: chunked\r\n',
                    b'\r\n',
                    b'5\r\nhello\r\n',
                    b'0\r\n\r\n',
                    b'HTTP/1.1 200 OK\r\n',
                ),
            ),
        ),
        max_size=12,
    ),
    of_requests=st.booleans(),
)
def test_http(chunks: list[bytes], of_requests: bool) -> None:
    parser = MessageParser(parses_requests=of_requests, max_head_bytes=200)
    try:
        for chunk in chunks:
            parser.feed(chunk)
    except CallFailed as failure:
        assert failure.code
    message = parser.peek()
    assert message is None or message.has_head


@fuzzing
@given(text=st.binary(max_size=120))
@example(text=b'\x92\x01\x90')
@example(text=b'\x93\x05\x01\x02')
def test_frame_between_nodes(text: bytes) -> None:
    reader = FrameReader()
    try:
        frames = reader.feed(LENGTH_PREFIX.pack(len(text)) + text)
    except CallFailed as failure:
        assert failure.code is Code.message_malformed
    else:
        assert len(frames) == 1


@fuzzing
@given(path=st.text(max_size=60))
def test_path(path: str) -> None:
    segments = split_path(path)
    assert segments is None or '..' not in segments
