"""Tests of large responses that leave a node in pieces, over real sockets."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING, Final

import pytest

from wagtaildale.admission.outgoing_line import (
    MAX_RESPONSE_BYTES,
    ResponseId,
    ResponseLimits,
)
from wagtaildale.calls.tests.downloads import (
    CALL,
    SIZE,
    DownloadingEntry,
    ScriptedServer,
    is_followed,
    join_body,
)
from wagtaildale.calls.tests.pairs import (
    Pair,
    wait_until,
)
from wagtaildale.calls.wire.frames import (
    Answered,
    BodyPiece,
    Cancel,
    Failed,
    LoadReport,
    ResponseAborted,
)
from wagtaildale.errors.codes import Code
from wagtaildale.timers.service import read_clock
from wagtaildale.types import CallNumber, Outcome

if TYPE_CHECKING:
    from collections.abc import Iterator

    from wagtaildale.telemetry.events import Inputs

# A response of 200,000 bytes takes 0.18 s.
LINE_MBPS: Final = 10.0
OTHER_CALL: Final = CallNumber(2)
CLASS: Final = 'casefiles/booking'


@pytest.fixture
def pair() -> Iterator[Pair]:
    made = Pair(line_mbps=LINE_MBPS)
    yield made
    made.close()


@pytest.fixture
def raw_entry(pair: Pair) -> Iterator[DownloadingEntry]:
    made = DownloadingEntry(pair)
    yield made
    made.close()


def test_response_leaves_in_pieces(
    pair: Pair, raw_entry: DownloadingEntry
) -> None:
    """A response that is split arrives short, twice or out of order."""
    raw_entry.ask()
    frames = raw_entry.receive_response()
    head = frames[0]
    assert isinstance(head, Answered)
    body = join_body(frames)
    assert (len(body), body[-SIZE:]) == (head.length, b'\xff' * SIZE)
    piece_bytes = pair.owner_node.owner.response_sender.line.use.piece_bytes
    assert max(len(join_body([each])) for each in frames) <= piece_bytes
    assert head.fields.outgoing_line is not None
    line = pair.owner_node.owner.response_sender.line
    wait_until(lambda: not line.responses)
    assert line.sizes.find(CLASS).mean == head.length


def test_slot_is_free_while_the_response_leaves(
    pair: Pair, raw_entry: DownloadingEntry
) -> None:
    """Downloads that wait for the line hold the slots of an idle server."""
    raw_entry.ask()
    frames = [raw_entry.receive()]
    gate = pair.owner_node.gate
    sender = pair.owner_node.owner.response_sender
    wait_until(lambda: not gate.state.running)
    assert is_followed(frames[0])
    assert sender.line.pending_bytes > SIZE / 2
    assert pair.owner_node.calls.active_calls == 1
    raw_entry.acknowledge(frames[0])
    frames += raw_entry.receive_response()
    assert len(join_body(frames)) > SIZE
    wait_until(lambda: not pair.owner_node.calls.active_calls)


def test_run_time_ends_when_the_server_is_done(
    pair: Pair, raw_entry: DownloadingEntry
) -> None:
    """A line that is busy makes its server look slow."""
    raw_entry.ask()
    raw_entry.receive()
    gate = pair.owner_node.gate
    line = pair.owner_node.owner.response_sender.line
    wait_until(lambda: gate.state.find_run_times(CLASS).runs == 1)
    # Without further acknowledgements, the response cannot leave.
    assert line.pending_bytes > SIZE / 2


@pytest.mark.parametrize(('bulk', 'mbps'), [(False, LINE_MBPS), (True, 0)])
def test_others_are_sent_as_before(bulk: bool, mbps: float) -> None:
    """Classes and nodes without the setting are slowed down."""
    pair = Pair(line_mbps=mbps)
    raw_entry = DownloadingEntry(pair)
    raw_entry.ask(size=60_000, bulk=bulk)
    frames = raw_entry.receive_response()
    head = frames[0]
    assert isinstance(head, Answered)
    assert len(frames) == 1
    assert head.fields.outgoing_line is None
    assert not pair.owner_node.owner.response_sender.line.responses
    raw_entry.close()
    pair.close()


def test_small_response_overtakes_a_download(
    raw_entry: DownloadingEntry,
) -> None:
    """A lookup waits until the download before it has left."""
    raw_entry.ask(size=500_000)
    raw_entry.acknowledge(raw_entry.receive())
    raw_entry.ask(size=100, bulk=False, call=OTHER_CALL)
    pieces = 0
    frame = raw_entry.receive()
    while frame.call == CALL:  # type: ignore[union-attr]
        raw_entry.acknowledge(frame)
        pieces += 1
        frame = raw_entry.receive()
    assert isinstance(frame, Answered)
    assert frame.call == OTHER_CALL
    assert pieces < 50
    assert raw_entry.receive_response()


def test_download_that_is_not_read_is_bounded(
    pair: Pair, raw_entry: DownloadingEntry
) -> None:
    """An entry that acknowledges nothing is sent a whole download."""
    sender = pair.owner_node.owner.response_sender
    raw_entry.ask(size=500_000)
    bound = sender.line.use.max_unacknowledged_bytes
    known = sender.line.responses
    wait_until(
        lambda: any(each.unacknowledged >= bound for each in known.values())
    )
    time.sleep(0.3)
    sent = sum(each.unacknowledged for each in known.values())
    assert sent < bound + sender.line.use.piece_bytes
    # Another entry's download goes on once this one counts as not read.
    other = DownloadingEntry(pair)
    other.ask(size=20_000)
    assert len(join_body(other.receive_response())) > 20_000
    other.close()
    frames = raw_entry.receive_response()
    assert len(join_body(frames)) > 500_000


@pytest.mark.parametrize('disconnects', [True, False])
def test_entry_that_gives_up_frees_the_line(
    pair: Pair, raw_entry: DownloadingEntry, disconnects: bool
) -> None:
    """The bytes of callers that are gone keep others waiting."""
    raw_entry.ask()
    raw_entry.receive()
    line = pair.owner_node.owner.response_sender.line
    assert line.responses
    if disconnects:
        raw_entry.close()
    else:
        raw_entry.send(Cancel(CALL))
    wait_until(lambda: not line.responses)
    wait_until(lambda: not pair.owner_node.calls.active_calls)
    assert pair.owner_node.owner.response_sender.backlog_bytes == 0
    wait_until(lambda: not pair.owner_node.gate.state.running)


def test_request_is_refused_if_the_line_is_too_busy(
    pair: Pair, raw_entry: DownloadingEntry
) -> None:
    """A request runs, and its response arrives after its caller has left."""
    sender = pair.owner_node.owner.response_sender
    sender.line.sizes.note(CLASS, SIZE)
    sender.line.expect(
        ResponseId(10_000),
        size=4e6,
        limits=ResponseLimits(
            target_seconds=4, deadline_seconds=9, patient=True, rank=0
        ),
        now=read_clock(),
    )
    raw_entry.ask(within_ms=2000)
    refusal = raw_entry.receive()
    assert isinstance(refusal, Failed)
    fields = refusal.fields
    assert (fields.code, fields.outcome) == (Code.overloaded, Outcome.not_run)
    assert fields.retry_ms > 0
    assert 'outgoing line' in refusal.detail
    counts = (sender.refusal_count, pair.backend.counts.runs)
    assert counts == (1, 0)


@pytest.mark.parametrize(
    'head',
    [
        b'content-length: 300000\r\n\r\n',
        b'transfer-encoding: chunked\r\n\r\n%x\r\n' % SIZE,
    ],
)
@pytest.mark.parametrize('size', [SIZE // 2, 1000])
def test_response_that_ends_early_is_not_complete(
    pair: Pair, raw_entry: DownloadingEntry, head: bytes, size: int
) -> None:
    """A server ends halfway, and a caller takes the half for the whole."""
    server = ScriptedServer(pair, b'HTTP/1.1 200 OK\r\n' + head + b'x' * size)
    raw_entry.ask()
    frames = raw_entry.receive_response()
    assert isinstance(frames[-1], ResponseAborted | Failed)
    if isinstance(frames[-1], Failed):
        assert frames[-1].fields.outcome is Outcome.unknown
    line = pair.owner_node.owner.response_sender.line
    wait_until(lambda: not line.responses)
    assert not line.sizes.by_class
    server.close()


@pytest.mark.parametrize('size', [0, 1000, 100_000])
def test_response_of_unknown_length_arrives(
    pair: Pair, raw_entry: DownloadingEntry, size: int
) -> None:
    """Chunks whose end arrives alone leave the response open for ever."""
    chunk = b'%x\r\n%b\r\n' % (size, b'x' * size) if size else b''
    server = ScriptedServer(
        pair,
        b'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n'
        + chunk
        + b'0\r\n\r\n',
    )
    raw_entry.ask()
    assert join_body(raw_entry.receive_response()) == b'x' * size
    server.close()


def test_response_that_ends_with_its_connection_arrives(
    pair: Pair, raw_entry: DownloadingEntry
) -> None:
    """The end of the connection is taken for a break."""
    server = ScriptedServer(pair, b'HTTP/1.1 200 OK\r\n\r\n' + b'x' * 100_000)
    raw_entry.ask()
    assert join_body(raw_entry.receive_response()) == b'x' * 100_000
    server.close()


def test_reading_pauses_beyond_the_memory_limit(
    pair: Pair, raw_entry: DownloadingEntry
) -> None:
    """A server sends faster than the line, and the node runs out of memory."""
    sender = pair.owner_node.owner.response_sender
    size = 3 * MAX_RESPONSE_BYTES
    raw_entry.ask(size=size, within_ms=60_000, remaining_ms=60_000)
    wait_until(lambda: sender.line.pending_bytes >= MAX_RESPONSE_BYTES)
    assert pair.owner_node.gate.state.running
    time.sleep(0.1)
    assert sender.line.pending_bytes < MAX_RESPONSE_BYTES + 2 * 65_536
    body = join_body(raw_entry.receive_response())
    assert len(body) > size


def test_many_downloads_at_once_arrive_unmixed(
    pair: Pair, raw_entry: DownloadingEntry
) -> None:
    """Pieces of one response reach the caller of another."""
    sizes = {CallNumber(1 + each): 5_000 * each for each in range(12)}
    for call, size in sizes.items():
        raw_entry.ask(call=call, size=size)
    bodies = dict.fromkeys(sizes, b'')
    cancelled = CallNumber(12)
    raw_entry.send(Cancel(cancelled))
    expected = set(sizes) - {cancelled}
    left = set(expected)
    while left:
        frame = raw_entry.receive()
        assert isinstance(frame, Answered | BodyPiece)
        raw_entry.acknowledge(frame)
        bodies[frame.call] += frame.body
        if not frame.more:
            left.discard(frame.call)
    for call in expected:
        target = b'/photos/%d"' % sizes[call]
        head, ending = bodies[call].split(b'}', 1)
        assert target in head
        assert ending == b'\xff' * sizes[call]
    sender = pair.owner_node.owner.response_sender
    wait_until(lambda: not sender.line.responses)


def test_entries_are_notified_of_the_wait(
    pair: Pair, raw_entry: DownloadingEntry
) -> None:
    """Entries send downloads to a node whose line is full."""
    reports: list[LoadReport] = []
    pair.owner_node.owner.load_notifier.listeners.append(reports.append)
    raw_entry.ask(size=500_000)
    raw_entry.receive_response()
    waits = [
        each.outgoing_line.wait_ms
        for each in reports
        if each.outgoing_line is not None
    ]
    assert waits
    assert max(waits) >= 250


def test_bytes_of_the_entry_count_against_the_rate() -> None:
    """Downloads fill a line that the node's own requests need."""
    pair = Pair(line_mbps=LINE_MBPS)
    pair.ask('POST', '/bookings', b'x' * 100_000)
    sender = pair.entry_node.owner.response_sender
    counted = sum(read() for read in sender.other_counters)
    assert counted > 100_000
    pair.close()


def test_planned_stop_sends_what_waits(
    pair: Pair, raw_entry: DownloadingEntry
) -> None:
    """A node that stops cuts off the downloads that wait for its line."""
    raw_entry.ask()
    frames = [raw_entry.receive()]
    raw_entry.acknowledge(frames[0])
    pair.owner_node.drain()
    assert pair.owner_node.calls.active_calls
    frames += raw_entry.receive_response()
    assert len(join_body(frames)) > SIZE
    wait_until(lambda: not pair.owner_node.calls.active_calls)


def test_stored_answer_survives_a_failed_delivery(
    pair: Pair, raw_entry: DownloadingEntry
) -> None:
    """A repeat is refused although the answer to its key is known."""
    key = ((b'idempotency-key', b'k'),)
    raw_entry.ask(size=60_000, method=b'POST', headers=key)
    assert is_followed(raw_entry.receive())
    raw_entry.send(Cancel(CALL))
    wait_until(lambda: not pair.owner_node.calls.active_calls)
    other = DownloadingEntry(pair)
    other.ask(
        size=60_000, method=b'POST', headers=key, bulk=False, call=OTHER_CALL
    )
    frames = other.receive_response()
    head = frames[0]
    assert isinstance(head, Answered)
    assert (b'idempotency-replayed', b'true') in head.headers
    assert len(join_body(frames)) > 60_000
    assert pair.backend.counts.runs == 1
    other.close()


def test_delivery_goes_on_after_the_deadline(
    raw_entry: DownloadingEntry,
) -> None:
    """A response that is nearly delivered is cut off at its deadline."""
    raw_entry.ask(size=500_000, remaining_ms=300)
    assert len(join_body(raw_entry.receive_response())) > 500_000


def test_response_that_never_leaves_fails_as_unknown(
    pair: Pair, raw_entry: DownloadingEntry
) -> None:
    """A request that has run is reported as not run, and runs again."""
    sender = pair.owner_node.owner.response_sender
    sender.line.use.busy_until = read_clock() + 60
    raw_entry.ask(remaining_ms=300)
    failed = raw_entry.receive()
    assert isinstance(failed, Failed)
    assert failed.fields.outcome is Outcome.unknown
    wait_until(lambda: not sender.line.responses)
    wait_until(lambda: not pair.owner_node.gate.state.running)


def test_delivery_that_stalls_ends_after_the_deadline(
    pair: Pair, raw_entry: DownloadingEntry
) -> None:
    """Callers that never read on fill the memory for all others."""
    raw_entry.ask(size=500_000, remaining_ms=300)
    frames = raw_entry.receive_response(acknowledges=False)
    assert isinstance(frames[-1], ResponseAborted)
    line = pair.owner_node.owner.response_sender.line
    wait_until(lambda: not line.responses)


def test_log_tells_how_long_a_response_waited(
    pair: Pair, raw_entry: DownloadingEntry, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A slow download can't be told from a slow server."""
    owner = pair.owner_node.owner
    inputs: list[Inputs] = []
    monkeypatch.setattr(
        owner,
        'record_end',
        lambda *_args, **named: inputs.append(named['inputs']),
    )
    raw_entry.ask()
    raw_entry.receive_response()
    raw_entry.ask(bulk=False, call=OTHER_CALL)
    raw_entry.receive_response()
    wait_until(lambda: len(inputs) == 2)
    assert int(inputs[0]['line_ms']) > 50
    assert int(inputs[0]['took_ms']) < 100
    assert 'line_ms' not in inputs[1]
