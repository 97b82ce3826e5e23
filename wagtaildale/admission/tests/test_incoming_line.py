"""Tests of the order in which bodies cross the line into a node."""

from __future__ import annotations

import random
from typing import Final

import pytest

from wagtaildale.admission.incoming_line import (
    IN_FLIGHT_SECONDS,
    MAX_IN_FLIGHT_BYTES,
    MAX_PENDING_BYTES,
    STALL_SECONDS,
    IncomingLine,
    LineRate,
    TransferId,
    TransferLimits,
    has_room,
    make_incoming_line,
)
from wagtaildale.testing.replay import VirtualClock
from wagtaildale.testing.replay.lines import LineLoad, ReplayLine

LINE_MBPS: Final = 3.5
# Uploads that fill five sixths of the line, and questions that wait 0.3 s.
BUSY: Final = LineLoad(
    bodies_per_second=6.1, body_bytes=60_000, questions_per_second=25
)
QUESTION_DEADLINE_SECONDS: Final = 0.3
QUESTION_RUN_SECONDS: Final = 0.1
FIRST: Final = TransferId(1)
SECOND: Final = TransferId(2)


def play(load: LineLoad, *, uses_credits: bool, seed: int = 1) -> ReplayLine:
    random.seed(seed)
    replay = ReplayLine(
        VirtualClock(),
        make_incoming_line(LINE_MBPS),
        uses_credits=uses_credits,
    )
    replay.play(load, seconds=60)
    return replay


def begin(
    line: IncomingLine,
    transfer: TransferId,
    *,
    size: int,
    target_at: float = 1,
) -> None:
    limits = TransferLimits(
        target_seconds=target_at, deadline_seconds=3, patient=True
    )
    line.begin(transfer, size=size, limits=limits, now=0)


def measure_share_in_time(replay: ReplayLine) -> float:
    allowed = QUESTION_DEADLINE_SECONDS - QUESTION_RUN_SECONDS
    in_time = [each for each in replay.question_seconds if each <= allowed]
    return len(in_time) / len(replay.question_seconds)


@pytest.mark.parametrize('seed', [1, 2, 3])
def test_questions_are_in_time_beside_uploads(seed: int) -> None:
    """A question of 1 KB waits behind all uploads to the same node."""
    assert (
        measure_share_in_time(play(BUSY, uses_credits=False, seed=seed)) < 0.9
    )
    replay = play(BUSY, uses_credits=True, seed=seed)
    assert measure_share_in_time(replay) >= 0.99


@pytest.mark.parametrize('seed', [1, 2, 3])
def test_credits_keep_the_line_busy(seed: int) -> None:
    """Credits that come too late leave a full line idle."""
    sent = play(BUSY, uses_credits=False, seed=seed)
    credited = play(BUSY, uses_credits=True, seed=seed)
    assert len(credited.body_seconds) >= 0.97 * len(sent.body_seconds)


def test_senders_that_stop_half_way_do_not_block_others() -> None:
    """Credits that nobody uses stop all other bodies for good."""
    replay = ReplayLine(
        VirtualClock(), make_incoming_line(LINE_MBPS), uses_credits=True
    )
    for _sender in range(8):
        replay.send_body(200_000, stops_half_way=True)
    replay.play(BUSY, seconds=10)
    assert len(replay.body_seconds) > 40


def test_bytes_in_flight_are_bounded() -> None:
    """Bodies from many nodes fill the buffers of a slow line."""
    line = make_incoming_line(LINE_MBPS)
    for number in range(50):
        begin(line, TransferId(number), size=100_000)
    granted = sum(credit.size for credit in line.issue_credits(now=0))
    bound = line.rate.bytes_per_second * IN_FLIGHT_SECONDS
    assert bound <= granted <= 2 * bound


def find_next(line: IncomingLine, *, now: float) -> TransferId:
    """Receive all that was granted, and find the next body with a credit."""
    for transfer, known in line.transfers.items():
        line.note_received(transfer, known.in_flight, now=now)
    return line.issue_credits(now=now)[0].transfer


def test_body_with_the_earlier_target_goes_first() -> None:
    """A body that is due soon waits until one with more time has crossed."""
    line = make_incoming_line(LINE_MBPS)
    begin(line, FIRST, size=300_000, target_at=3)
    line.issue_credits(now=0)
    begin(line, SECOND, size=50_000, target_at=1)
    assert find_next(line, now=0.03) is SECOND


def test_body_that_misses_its_target_goes_last() -> None:
    """A body that is late in any case makes others late as well."""
    line = make_incoming_line(LINE_MBPS)
    begin(line, FIRST, size=300_000, target_at=0.5)
    line.issue_credits(now=0)
    begin(line, SECOND, size=50_000, target_at=1)
    assert find_next(line, now=0.03) is SECOND


@pytest.mark.parametrize(
    ('size', 'patient', 'accepted'),
    [
        (50_000, False, True),
        (250_000, False, False),
        (250_000, True, False),
        (500_000, False, False),
        (500_000, True, True),
    ],
)
def test_body_that_cannot_cross_in_time_is_refused(
    size: int, patient: bool, accepted: bool
) -> None:
    """A body crosses the line for a second, and its request is refused."""
    line = make_incoming_line(LINE_MBPS)
    begin(line, FIRST, size=250_000, target_at=1)
    limits = TransferLimits(
        target_seconds=1.0, deadline_seconds=3.0, patient=patient
    )
    overdue = line.find_overdue_seconds(size, limits=limits, now=0)
    assert (overdue <= 0) is accepted


def test_line_of_unknown_bandwidth_is_bounded_by_memory() -> None:
    """Settings that name no line must not stop or flood a node."""
    line = make_incoming_line(0)
    begin(line, FIRST, size=10 * MAX_IN_FLIGHT_BYTES)
    granted = sum(credit.size for credit in line.issue_credits(now=0))
    assert granted == MAX_IN_FLIGHT_BYTES
    assert line.estimate_seconds(MAX_IN_FLIGHT_BYTES, target_at=1, now=0) == 0
    assert line.describe() is None
    assert not has_room(line, MAX_PENDING_BYTES)


def test_sender_without_credits_is_counted() -> None:
    """A node of an earlier build sends bodies without waiting for credits."""
    line = IncomingLine(rate=LineRate(1000))
    begin(line, FIRST, size=50_000)
    line.issue_credits(now=0)
    line.note_received(FIRST, 49_000, now=0.1)
    assert line.backlog_bytes == 1000
    line.note_received(FIRST, 5000, now=0.2)
    assert line.backlog_bytes == 0
    line.note_received(SECOND, 5000, now=0.2)


def test_stalled_sender_gets_credit_again() -> None:
    """A body that was held up for a moment is never finished."""
    line = make_incoming_line(LINE_MBPS)
    begin(line, FIRST, size=100_000)
    granted = sum(credit.size for credit in line.issue_credits(now=0))
    late = 2 * STALL_SECONDS
    assert not line.issue_credits(now=late)
    line.note_received(FIRST, granted, now=late)
    assert line.issue_credits(now=late)


def test_body_that_others_keep_away_is_given_up() -> None:
    """A late body waits behind others until its caller has given up."""
    line = make_incoming_line(LINE_MBPS)
    begin(line, FIRST, size=400_000, target_at=0.1)
    begin(line, SECOND, size=400_000, target_at=2.5)
    assert not line.list_hopeless(now=0)
    assert line.list_hopeless(now=1.2) == [FIRST]
    line.end(FIRST)
    assert not line.list_hopeless(now=1.2)
