"""Tests of calls from caller to backend server over real sockets."""

from __future__ import annotations

import socket
import time
from http.client import HTTPConnection

import pytest
from msgspec import json, structs

from wagtaildale.calls.tests.pairs import (
    OUTCOME_HEADER,
    TIMEOUT_SECONDS,
    Pair,
    read_code,
    wait_until,
)
from wagtaildale.errors.codes import Code
from wagtaildale.testing.mesh import MAX_BODY_BYTES
from wagtaildale.types import InstanceId


def test_response_through_two_hops(pair: Pair) -> None:
    response, text = pair.ask('GET', '/files/7?full=1')
    assert response.status == 200
    assert json.decode(text)['target'] == '/files/7?full=1'
    assert 'answered' in response.headers[OUTCOME_HEADER]
    assert 'backend;dur=' in response.headers['server-timing']


def test_response_from_own_backend_server(pair: Pair) -> None:
    pair.owner_node.set_instances(pair.owner_node.record)
    connection = HTTPConnection(*pair.owner_node.entry, timeout=TIMEOUT_SECONDS)
    connection.request('GET', '/files/7')
    assert connection.getresponse().status == 200
    connection.close()


def test_response_to_head_request_has_no_body(pair: Pair) -> None:
    response, text = pair.ask('HEAD', '/files/1')
    assert response.status == 200
    assert int(response.headers['content-length']) > 0
    assert not text


@pytest.mark.parametrize('path', ['/nope', '/files/a/b', '/files/..'])
def test_unmatched_path_is_not_found_and_not_run(pair: Pair, path: str) -> None:
    response, text = pair.ask('GET', path)
    assert response.status == 404
    assert read_code(text) is Code.no_route
    assert response.headers[OUTCOME_HEADER].startswith('not-run')


def test_encoded_slash_stays_in_its_segment(pair: Pair) -> None:
    response, text = pair.ask('GET', '/files/a%2Fb')
    assert response.status == 200
    assert json.decode(text)['target'] == '/files/a%2Fb'


def test_pipelined_requests_are_answered_in_order(pair: Pair) -> None:
    answer = pair.send_raw_request(
        b'GET /files/1 HTTP/1.1\r\nhost: m\r\n\r\n'
        b'GET /files/2 HTTP/1.1\r\nhost: m\r\nconnection: close\r\n\r\n',
    )
    assert answer.count(b'HTTP/1.1 200') == 2
    assert answer.index(b'/files/1') < answer.index(b'/files/2')


@pytest.mark.parametrize(
    'head',
    [
        b'content-length: 3\r\ntransfer-encoding: chunked\r\n',
        b'content-length: 3\r\ncontent-length: 4\r\n',
        b'x : y\r\n',
    ],
)
def test_ambiguous_request_is_refused(pair: Pair, head: bytes) -> None:
    answer = pair.send_raw_request(
        b'POST /bookings HTTP/1.1\r\nhost: m\r\n' + head + b'\r\nabc',
    )
    assert answer.startswith(b'HTTP/1.1 400')
    assert pair.backend.counts.runs == 0


def test_chunked_body_arrives_whole(pair: Pair) -> None:
    answer = pair.send_raw_request(
        b'POST /bookings HTTP/1.1\r\nhost: m\r\n'
        b'transfer-encoding: chunked\r\nconnection: close\r\n\r\n'
        b'3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n',
    )
    assert b'"bytes":5' in answer


def test_large_body_streams_through(pair: Pair) -> None:
    body = bytes(3_000_000)
    response, text = pair.ask('POST', '/bookings', body)
    assert response.status == 200
    assert json.decode(text)['bytes'] == len(body)


def test_body_over_the_limit_is_rejected(pair: Pair) -> None:
    request = b'POST /bookings HTTP/1.1\r\ncontent-length: 4000001\r\n\r\n'
    answer = pair.send_raw_request(request)
    assert answer.startswith(b'HTTP/1.1 413')
    assert b'connection: close' in answer


def build_growing_request() -> bytes:
    """A booking whose chunked body exceeds the limit."""
    chunk = b'10000\r\n' + bytes(0x10000) + b'\r\n'
    head = b'POST /bookings HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n'
    return head + 70 * chunk


def test_body_that_grows_over_the_limit_may_have_run(pair: Pair) -> None:
    """A booking's chunked body exceeds the limit after half of it was sent.

    The request may already run then, so the outcome is not "not run".
    """
    # Too little to receive the body whole before it is sent.
    pair.entry_node.calls.memory.limit_bytes = MAX_BODY_BYTES
    answer = pair.send_raw_request(build_growing_request())
    assert b'413' in answer.split(b'\r\n')[0]
    assert b'wagtaildale-outcome: unknown' in answer


def test_body_over_the_limit_that_was_not_sent_has_not_run(pair: Pair) -> None:
    """A body that is received whole is refused before any of it is sent."""
    answer = pair.send_raw_request(build_growing_request())
    assert b'413' in answer.split(b'\r\n')[0]
    assert b'wagtaildale-outcome: not-run' in answer
    assert not pair.backend.counts.runs


def test_head_over_the_limit_is_rejected(pair: Pair) -> None:
    request = b'GET /files/1 HTTP/1.1\r\nx: %b\r\n\r\n' % bytes(b'y' * 9000)
    answer = pair.send_raw_request(request)
    assert answer.startswith(b'HTTP/1.1 413')


def test_forged_private_headers_are_dropped(pair: Pair) -> None:
    forged = {'wagtaildale-call': 'forged', 'wagtaildale-request-id': 'mine'}
    response, _text = pair.ask('GET', '/files/1', headers=forged)
    assert response.status == 200
    assert 'mine' not in pair.backend.counts.by_request


def test_booking_runs_once_when_connection_closes(pair: Pair) -> None:
    """Prevents a booking from running twice.

    The backend server reads a POST on a reused connection, runs it and
    closes without a response. libcurl would resend such a request by itself.
    The caller gets an unknown outcome instead, and the booking runs once.
    """
    pair.ask('POST', '/bookings', b'x', {'x-booking': 'first'})
    pair.backend.faults.close_share = 1
    response, text = pair.ask('POST', '/bookings', b'x', {'x-booking': 'k'})
    assert read_code(text) is Code.outcome_unknown
    assert response.headers[OUTCOME_HEADER].startswith('unknown')
    assert pair.backend.counts.by_single_key['k'] == 1


def test_truncated_response_is_never_forwarded(pair: Pair) -> None:
    """Prevents a truncated claim file from being taken for a complete one.

    The backend server announces a length and closes in the middle of the
    body. The caller gets a complete response or an error.
    """
    pair.backend.faults.cut_share = 0.5
    for claim in range(20):
        response, text = pair.ask('GET', f'/files/{claim}')
        if response.status == 200:
            assert json.decode(text)['target'] == f'/files/{claim}'
        else:
            assert read_code(text) is Code.backend_cut


def test_hung_backend_is_answered_at_deadline(pair: Pair) -> None:
    """Prevents a status check from hanging for ever.

    The backend server accepts the request and never responds. At the
    deadline the caller gets a final response with a result code.
    """
    pair.backend.faults.hang = True
    response, text = pair.ask(
        'GET',
        '/files/1',
        headers={'wagtaildale-deadline-ms': '200'},
    )
    assert response.status == 504
    assert read_code(text) is Code.timed_out


def test_refused_connection_is_not_run(pair: Pair) -> None:
    """The only owner is gone: nothing was sent, and the outcome says so."""
    pair.owner_node.close()
    response, text = pair.ask('POST', '/bookings', b'x')
    assert read_code(text) is Code.backend_unreachable
    assert response.headers[OUTCOME_HEADER].startswith('not-run')


def test_caller_that_hangs_up_frees_its_slot(pair: Pair) -> None:
    """Prevents requests of callers that hung up from holding every slot.

    A caller closes its connection while its request runs. The cancellation
    goes through both nodes to the backend server, which stops the work.
    """
    pair.backend.faults.service_ms = 60_000
    sock = socket.create_connection(pair.entry_node.entry, TIMEOUT_SECONDS)
    sock.sendall(b'GET /files/1 HTTP/1.1\r\nhost: m\r\n\r\n')
    wait_until(lambda: pair.backend.counts.runs == 1)
    sock.close()
    wait_until(lambda: pair.backend.counts.cancelled == 1)
    gate = pair.owner_node.owner.gate
    wait_until(lambda: not gate.state.running)


def test_call_for_another_instance_is_not_run(pair: Pair) -> None:
    """Prevents a booking from running at the wrong backend server.

    An address is reused by another instance while an entry still lists the
    old one. The call names the instance that it is meant for, so the new
    one rejects it.
    """
    old = structs.replace(pair.owner_node.record, instance=InstanceId('gone'))
    pair.entry_node.set_instances(old)
    response, text = pair.ask('POST', '/bookings', b'x')
    assert read_code(text) is Code.wrong_instance
    assert response.headers[OUTCOME_HEADER].startswith('not-run')
    assert pair.backend.counts.runs == 0


def test_draining_owner_rejects_calls(pair: Pair) -> None:
    pair.owner_node.drain()
    response, text = pair.ask('GET', '/files/1')
    assert read_code(text) is Code.draining
    assert response.headers['retry-after'] == '1'
    assert pair.backend.counts.runs == 0


def test_draining_entry_asks_its_callers_to_close(pair: Pair) -> None:
    pair.entry_node.calls.caller_port.drain()
    response, _text = pair.ask('GET', '/files/1')
    assert response.status == 200
    assert response.headers['connection'] == 'close'


def test_slots_limit_running_requests(pair: Pair) -> None:
    pair.backend.faults.service_ms = 30
    pair.backend.faults.slots = 100
    socks = [
        socket.create_connection(pair.entry_node.entry, TIMEOUT_SECONDS)
        for _number in range(12)
    ]
    for sock in socks:
        sock.sendall(b'GET /files/1 HTTP/1.1\r\nhost: m\r\n\r\n')
    max_running = 0
    gate = pair.owner_node.owner.gate
    while pair.backend.counts.runs < 12:
        max_running = max(max_running, len(gate.state.running))
        time.sleep(0.001)
    assert all(sock.recv(65536).startswith(b'HTTP/1.1 200') for sock in socks)
    assert max_running <= 4
    for sock in socks:
        sock.close()
