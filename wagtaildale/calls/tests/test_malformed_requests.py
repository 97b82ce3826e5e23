"""Tests of requests that turn out to be malformed."""

from __future__ import annotations

import socket

import pytest

from wagtaildale.calls.tests.pairs import Pair, send_raw_request

HEAD = (
    b'POST /bookings HTTP/1.1\r\nhost: m\r\ntransfer-encoding: chunked\r\n\r\n'
)


@pytest.mark.parametrize(
    'body',
    [
        b'zz\r\nx\r\n0\r\n\r\n',
        b'-1\r\nx\r\n0\r\n\r\n',
        b'1\r\nxyz\r\n0\r\n\r\n',
        b'1\nx\n0\n\n',
    ],
)
@pytest.mark.parametrize('sent_before', [b'', b'4\r\nwxyz\r\n'])
def test_malformed_body_is_rejected_at_once(
    pair: Pair, body: bytes, sent_before: bytes
) -> None:
    """The rest of a malformed body never comes: its caller waited in vain."""
    answer = send_raw_request(pair.entry_node.entry, HEAD + sent_before + body)
    assert answer.startswith(b'HTTP/1.1 400')
    assert b'connection: close' in answer
    assert not pair.backend.counts.runs


def test_request_before_a_malformed_body_is_answered(pair: Pair) -> None:
    """A pipelined request has nothing to do with the one behind it."""
    answer = send_raw_request(
        pair.entry_node.entry,
        b'GET /files/1 HTTP/1.1\r\nhost: m\r\n\r\n' + HEAD + b'zz\r\n',
    )
    assert answer.startswith(b'HTTP/1.1 200')
    assert answer.count(b'HTTP/1.1 400') == 1


def test_pipelined_heads_may_end_anywhere_in_a_read(pair: Pair) -> None:
    """Heads of one read counted as one head, and together were too large."""
    head = b'GET /files/1 HTTP/1.1\r\nhost: m\r\nx-a: %b\r\n' % (b'y' * 900)
    last = head + b'connection: close\r\n\r\n'
    requests = (head + b'\r\n') * 9 + last
    with socket.create_connection(pair.entry_node.entry, 5) as sock:
        sock.sendall(requests[:-30])
        first = sock.recv(1)
        sock.sendall(requests[-30:])
        answer = first + b''.join(iter(lambda: sock.recv(65536), b''))
    assert answer.count(b'HTTP/1.1 200') == 10


@pytest.mark.parametrize(
    'request_bytes',
    [
        b'CONNECT /files/1 HTTP/1.1\r\nhost: m\r\n\r\n',
        b'GET /files/1 HTTP/1.1\r\nhost: m\r\nhost: n\r\n\r\n',
        b'GET http://n/files/1 HTTP/1.1\r\nhost: m\r\n\r\n',
        b'GET /files/1 HTTP/1.1\r\nhost: m\r\n'
        b'transfer-encoding: gzip, chunked\r\n\r\n0\r\n\r\n',
        b'GET /files/1 HTTP/1.1\r\nhost: m\r\n'
        b'transfer-encoding: identity\r\n\r\n',
        b'GET /files/1 HTTP/1.1\r\nhost: m\r\n'
        b'transfer-encoding: xchunked\r\n\r\n',
    ],
)
def test_ambiguous_head_is_rejected_at_once(
    pair: Pair, request_bytes: bytes
) -> None:
    """Upstreams would read the request in another way, or wait for its body."""
    answer = send_raw_request(pair.entry_node.entry, request_bytes)
    assert answer.startswith(b'HTTP/1.1 400')
    assert not pair.backend.counts.runs


def test_target_with_its_host_is_served(pair: Pair) -> None:
    """Some clients send every request as to a proxy."""
    answer = send_raw_request(
        pair.entry_node.entry,
        b'GET http://m/files/1 HTTP/1.1\r\nhost: m\r\n'
        b'connection: close\r\n\r\n',
    )
    assert answer.startswith(b'HTTP/1.1 200')


def test_short_lines_count_with_their_ends(pair: Pair) -> None:
    """A head of very short lines was accepted far above the limit."""
    request = b'GET /files/1 HTTP/1.1\r\nhost: m\r\n' + b'a:\r\n' * 2100
    answer = send_raw_request(pair.entry_node.entry, request + b'\r\n')
    assert answer.startswith(b'HTTP/1.1 413')


def test_target_with_its_host_in_another_case_is_served(pair: Pair) -> None:
    """Names of hosts are the same in upper and lower case."""
    answer = send_raw_request(
        pair.entry_node.entry,
        b'GET http://M/files/1 HTTP/1.1\r\nhost: m\r\n'
        b'connection: close\r\n\r\n',
    )
    assert answer.startswith(b'HTTP/1.1 200')


def test_target_with_the_usual_port_of_its_scheme_is_served(pair: Pair) -> None:
    """A host with the port that its scheme implies is the same host."""
    answer = send_raw_request(
        pair.entry_node.entry,
        b'GET http://m:80/files/1 HTTP/1.1\r\nhost: m\r\n'
        b'connection: close\r\n\r\n',
    )
    assert answer.startswith(b'HTTP/1.1 200')


def test_trailer_line_without_an_end_is_rejected(pair: Pair) -> None:
    """The parser keeps such a line as long as it goes on."""
    trailer = b'1\r\nx\r\n0\r\na: ' + b'b' * 500_000
    with socket.create_connection(pair.entry_node.entry, 5) as sock:
        sock.sendall(HEAD)
        sock.sendall(trailer)
        assert sock.recv(65_536).startswith(b'HTTP/1.1 413')
    assert not pair.backend.counts.runs
