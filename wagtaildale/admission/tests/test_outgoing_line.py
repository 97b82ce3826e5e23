"""Tests of the order and the rate in which large responses leave a node."""

from __future__ import annotations

import random
from math import inf
from typing import Final

import pytest
from msgspec import structs

from wagtaildale.admission.incoming_line import (
    MAX_PENDING_BYTES,
    STALL_SECONDS,
)
from wagtaildale.admission.outgoing_line import (
    LEAD_SECONDS,
    MAX_RESPONSE_BYTES,
    MAX_UNACKNOWLEDGED_PER_RESPONSE,
    PIECE_SECONDS,
    OutgoingLine,
    ResponseId,
    ResponseLimits,
    make_outgoing_line,
)
from wagtaildale.testing.builders import build_record
from wagtaildale.testing.replay import LoadClass, ReplayServer, VirtualClock
from wagtaildale.testing.replay.outgoing_lines import (
    ReplayOutgoingLine,
    ResponseCounts,
    ResponseLoad,
)
from wagtaildale.types import ServiceName

LINE_MBPS: Final = 5.0
BYTES_PER_SECOND: Final = 625_000
FIRST: Final = ResponseId(1)
SECOND: Final = ResponseId(2)
CLASS: Final = 'casefiles/download'
REPLAY_SECONDS: Final = 60.0


def make_limits(
    target: float = 1, *, patient: bool = True, rank: int = 2
) -> ResponseLimits:
    return ResponseLimits(
        target_seconds=target,
        deadline_seconds=3,
        patient=patient,
        rank=rank,
    )


def add(
    line: OutgoingLine,
    response: ResponseId,
    size: int,
    *,
    target: float = 1,
    rank: int = 2,
) -> None:
    """Add a response that the server has sent completely."""
    limits = make_limits(target, rank=rank)
    line.expect(response, size=size, limits=limits, now=0)
    line.responses[response].note_received(size, is_complete=True)


def send_next(line: OutgoingLine, *, now: float) -> ResponseId | None:
    """Send the next piece, and return whose it is."""
    piece = line.find_piece(now)
    if piece is None:
        return None
    known = line.responses[piece.response]
    size = min(piece.size, known.pending)
    line.use.note_piece_sent(size, now=now)
    known.note_sent(size, now=now)
    return piece.response


def send_all_at(line: OutgoingLine, *, now: float) -> int:
    """Send what may leave now, and return the number of pieces."""
    count = 0
    while send_next(line, now=now) is not None:
        count += 1
    return count


def test_pieces_leave_at_the_rate_of_the_line() -> None:
    """A small response waits for a whole download in the line's buffers."""
    line = make_outgoing_line(LINE_MBPS)
    add(line, FIRST, 500_000)
    send_all_at(line, now=0)
    limit = PIECE_SECONDS + LEAD_SECONDS
    sent = line.responses[FIRST].unacknowledged
    assert 0 < sent <= limit * BYTES_PER_SECOND
    assert limit <= 0.01
    assert not send_all_at(line, now=0)
    assert line.find_next_at(0) == line.use.free_at
    assert send_all_at(line, now=line.find_next_at(0)) == 1


def test_other_bytes_go_first() -> None:
    """Downloads fill the gaps that a burst of lookups needs."""
    line = make_outgoing_line(LINE_MBPS)
    add(line, FIRST, 500_000)
    line.use.note_other_sent(BYTES_PER_SECOND // 10, now=0)
    assert line.find_piece(0.05) is None
    assert line.find_piece(0.11) is not None


@pytest.mark.parametrize(
    ('sizes', 'targets', 'ranks', 'expected'),
    [
        ((9000, 9000), (2.0, 1.0), (2, 2), SECOND),
        ((9000, 9000), (1.0, 2.0), (2, 1), SECOND),
        ((9000, 8000), (1.0, 1.0), (2, 2), SECOND),
        ((500_000, 9000), (0.5, 2.0), (1, 2), SECOND),
        ((9000, 500_000), (2.0, 0.5), (2, 1), FIRST),
    ],
)
def test_order(
    sizes: tuple[int, int],
    targets: tuple[float, float],
    ranks: tuple[int, int],
    expected: ResponseId,
) -> None:
    """A response that is late in any case makes others late as well."""
    line = make_outgoing_line(LINE_MBPS)
    for name, size, target, rank in zip(
        (FIRST, SECOND), sizes, targets, ranks, strict=True
    ):
        add(line, name, size, target=target, rank=rank)
    assert send_next(line, now=0) == expected


def test_begun_response_is_finished_though_it_is_late() -> None:
    """A full line leaves a caller with the first pieces of a response."""
    line = make_outgoing_line(LINE_MBPS)
    add(line, FIRST, 100_000, target=0.2)
    assert send_next(line, now=0) is FIRST
    line.responses[FIRST].note_acknowledged(100_000, now=1)
    add(line, SECOND, 10_000, target=3)
    assert send_next(line, now=1) is FIRST


def test_unacknowledged_bytes_are_bounded_over_all_calls() -> None:
    """The line is slower than configured, and its buffers fill without end."""
    line = make_outgoing_line(LINE_MBPS)
    for number in range(20):
        add(line, ResponseId(number), 100_000)
    for step in range(200):
        send_all_at(line, now=step / 1000)
    sent = sum(each.unacknowledged for each in line.responses.values())
    bound = line.use.max_unacknowledged_bytes
    assert bound <= sent < bound + line.use.piece_bytes
    assert bound <= 0.06 * BYTES_PER_SECOND


def test_call_that_is_not_read_does_not_block_others() -> None:
    """One caller stops reading, and no other download ever continues."""
    line = make_outgoing_line(LINE_MBPS)
    add(line, FIRST, 500_000, target=1.5)
    for step in range(100):
        send_all_at(line, now=step / 1000)
    add(line, SECOND, 9000, target=5)
    assert line.find_piece(0.2) is None
    stalled_at = line.find_next_at(0.2)
    assert stalled_at <= 0.1 + STALL_SECONDS
    later = stalled_at
    assert send_next(line, now=later) == SECOND
    assert line.measure_backlog(later) < 9000
    line.responses[FIRST].note_acknowledged(10_000, now=later)
    assert send_next(line, now=later + 0.01) == FIRST


def test_acknowledgements_after_a_stall_do_not_lift_the_bound() -> None:
    """A caller that reads again in tiny steps gets the buffer of a whole line.

    Its earlier bytes still count once the entry acknowledges any.
    """
    line = make_outgoing_line(LINE_MBPS)
    add(line, FIRST, 500_000)
    for step in range(100):
        send_all_at(line, now=step / 1000)
    later = 2 * STALL_SECONDS
    line.responses[FIRST].note_acknowledged(1, now=later)
    send_all_at(line, now=later)
    sent = line.responses[FIRST].unacknowledged
    bound = line.use.max_unacknowledged_bytes
    assert sent < bound + line.use.piece_bytes


def test_fast_line_is_bounded_for_each_call() -> None:
    """A caller that does not read fills the memory of its entry."""
    line = make_outgoing_line(10_000)
    add(line, FIRST, MAX_RESPONSE_BYTES)
    for step in range(200):
        send_all_at(line, now=step / 1000)
    sent = line.responses[FIRST].unacknowledged
    assert sent < MAX_UNACKNOWLEDGED_PER_RESPONSE + line.use.piece_bytes


def test_memory_is_bounded() -> None:
    """Servers send faster than the line, and the node runs out of memory."""
    line = make_outgoing_line(LINE_MBPS)
    add(line, FIRST, MAX_RESPONSE_BYTES - 1)
    assert line.has_room(FIRST)
    line.responses[FIRST].note_received(1, is_complete=False)
    assert not line.has_room(FIRST)
    for number in range(100, 115):
        add(line, ResponseId(number), MAX_RESPONSE_BYTES)
    add(line, SECOND, 1)
    assert line.pending_bytes > MAX_PENDING_BYTES
    assert not line.has_room(SECOND)


def test_backlog_includes_requests_that_run() -> None:
    """Twenty requests are accepted at once, and most responses are late."""
    line = make_outgoing_line(LINE_MBPS)
    line.sizes.note(CLASS, 90_000)
    accepted = 0
    limits = make_limits(1.8)
    size = line.sizes.find(CLASS).mean
    for number in range(40):
        overdue = line.find_overdue_seconds(
            size, limits=limits, run_seconds=0.15, now=0
        )
        if overdue <= 0:
            accepted += 1
            line.expect(ResponseId(number), size=size, limits=limits, now=0)
    carried = 1.8 * BYTES_PER_SECOND / 90_000
    assert 0.8 * carried <= accepted <= carried
    state = line.describe(0)
    assert state is not None
    assert 1500 < state.wait_ms < 2000


@pytest.mark.parametrize(
    ('size', 'target', 'patient', 'run_seconds', 'is_accepted'),
    [
        (90_000, 1.0, False, 0.1, True),
        (90_000, 0.6, False, 0.1, False),
        (90_000, 0.6, True, 0.1, False),
        (500_000, 0.6, True, 0.1, True),
        (500_000, 0.6, False, 0.1, False),
        (2_000_000, 0.6, True, 0.1, False),
        # The longer of both times counts: the backlog takes 0.5 s.
        (90_000, 1.0, False, 0.5, True),
        (90_000, 1.0, False, 0.95, False),
        # The run alone is too long: the line is not the cause.
        (90_000, 1.0, False, 1.5, True),
    ],
)
def test_response_that_cannot_leave_in_time_is_refused(
    size: int,
    target: float,
    patient: bool,
    run_seconds: float,
    is_accepted: bool,
) -> None:
    """A download runs for nothing, since its caller gives up on the line."""
    line = make_outgoing_line(LINE_MBPS)
    add(line, FIRST, 300_000, target=0.55)
    overdue = line.find_overdue_seconds(
        size,
        limits=make_limits(target, patient=patient),
        run_seconds=run_seconds,
        now=0,
    )
    assert (overdue <= 0) is is_accepted


def test_announced_length_replaces_the_estimate() -> None:
    """A backlog of requests that got small responses refuses others."""
    line = make_outgoing_line(LINE_MBPS)
    line.expect(FIRST, size=90_000, limits=make_limits(), now=0)
    line.responses[FIRST].note_length(400)
    assert line.measure_backlog(0) == 400
    line.responses[FIRST].note_received(100, is_complete=False)
    assert line.measure_backlog(0) == 400
    line.responses[FIRST].note_received(10, is_complete=True)
    assert line.measure_backlog(0) == 110
    line.end(FIRST)
    assert line.measure_backlog(0) == 0


def test_endless_stream_is_no_endless_backlog() -> None:
    """One response of gigabytes makes entries refuse a class for minutes."""
    line = make_outgoing_line(LINE_MBPS)
    line.expect(FIRST, size=0, limits=make_limits(), now=0)
    line.responses[FIRST].note_length(10_000_000_000)
    assert line.measure_backlog(0) <= MAX_RESPONSE_BYTES


def test_response_without_body_is_sent() -> None:
    """An empty response has no bytes to release and is never sent."""
    line = make_outgoing_line(LINE_MBPS)
    add(line, FIRST, 0)
    assert send_next(line, now=0) == FIRST
    assert send_next(line, now=1) is None
    assert line.find_next_at(1) == inf


def test_other_traffic_lowers_the_rate_for_large_responses() -> None:
    """Downloads are accepted for bandwidth that lookups use."""
    line = make_outgoing_line(LINE_MBPS)
    for step in range(1, 501):
        line.use.note_other_sent(3000, now=step / 100)
    assert line.use.other_per_second == pytest.approx(300_000, rel=0.02)
    left = line.use.payload_per_second - 300_000
    assert line.use.bulk_per_second == pytest.approx(left, rel=0.03)
    line.use.note_other_sent(0, now=30)
    assert line.use.bulk_per_second == pytest.approx(
        line.use.payload_per_second, rel=0.01
    )


def test_line_of_unknown_bandwidth_is_not_described() -> None:
    """Entries refuse for a line that nobody has measured."""
    line = make_outgoing_line(0)
    add(line, FIRST, 1000)
    assert not line.use.is_known
    assert line.describe(0) is None
    assert line.measure_wait(0) == 0


def test_line_is_described_from_the_first_large_response() -> None:
    """Nodes without such a class report nothing new."""
    line = make_outgoing_line(LINE_MBPS)
    assert line.describe(0) is None
    add(line, FIRST, 1000)
    assert line.describe(0) is not None
    line.sizes.note(CLASS, 1000)
    line.end(FIRST)
    idle = line.describe(0)
    assert idle is not None
    assert idle.wait_ms == 0


# Replay of customer 1's server on docs/design/heavy-load.md.


def make_loads(share: float) -> tuple[ResponseLoad, ...]:
    service = ServiceName('casefiles')
    return (
        ResponseLoad(
            work_class=LoadClass(
                name='lookup',
                service=service,
                per_second=27,
                run_seconds=0.075,
                target_seconds=0.509,
                deadline_seconds=1.272,
                rank=0,
            ),
            bytes=400,
            max_bytes=400,
        ),
        ResponseLoad(
            work_class=LoadClass(
                name='download',
                service=service,
                per_second=share * BYTES_PER_SECOND / 90_000,
                run_seconds=0.15,
                target_seconds=1.824,
                deadline_seconds=2.432,
                rank=2,
            ),
            bytes=90_000,
            max_bytes=540_000,
            spread=0.7,
            bulk=True,
        ),
    )


def play(
    share: float,
    *,
    seed: int,
    is_scheduled: bool = True,
    has_line: bool = True,
    line_mbps: float = LINE_MBPS,
) -> dict[str, ResponseCounts]:
    random.seed(seed)
    clock = VirtualClock()
    server = ReplayServer(
        structs.replace(build_record(), slots=6),
        clock=clock,
        speed=1,
        cold=False,
        on_slowness=lambda _server: None,
        on_limit=lambda _server: None,
        on_pace=lambda _server: None,
    )
    replay = ReplayOutgoingLine(
        clock,
        server,
        make_outgoing_line(line_mbps),
        is_scheduled=is_scheduled,
        real_bytes_per_second=BYTES_PER_SECOND if has_line else inf,
    )
    return replay.play(make_loads(share), seconds=REPLAY_SECONDS)


@pytest.mark.parametrize('share', [0.9, 2.2])
@pytest.mark.parametrize('seed', [1, 2, 3])
def test_lookups_are_in_time_beside_downloads(share: float, seed: int) -> None:
    """Lookups wait behind downloads on the line and miss their target."""
    ideal = play(share, seed=seed, is_scheduled=False, has_line=False)
    scheduled = play(share, seed=seed)
    lookup = scheduled['lookup']
    assert ideal['lookup'].in_time >= 0.9 * ideal['lookup'].sent
    assert lookup.in_time >= 0.98 * ideal['lookup'].in_time
    assert lookup.bulk_ahead_seconds <= 0.01
    unscheduled = play(share, seed=seed, is_scheduled=False)
    assert unscheduled['lookup'].in_time < lookup.in_time


@pytest.mark.parametrize('seed', [1, 2, 3])
def test_line_carries_as_many_downloads_as_it_can(seed: int) -> None:
    """The schedule leaves the line idle while downloads wait."""
    capacity = BYTES_PER_SECOND * REPLAY_SECONDS
    busy = play(2.2, seed=seed)['download']
    assert busy.bytes_in_time >= 0.85 * capacity
    assert busy.late <= 0.02 * busy.sent
    normal = play(0.9, seed=seed)['download']
    unscheduled = play(0.9, seed=seed, is_scheduled=False)['download']
    assert normal.in_time >= unscheduled.in_time
