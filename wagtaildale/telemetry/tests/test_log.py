"""Tests of the event log and the hybrid clock."""

from __future__ import annotations

import re
import threading
import time
from typing import TYPE_CHECKING

from wagtaildale.telemetry.clock import HybridClock, Stamp
from wagtaildale.telemetry.events import Event, EventKind
from wagtaildale.telemetry.log import (
    LINES_PER_SECOND,
    MAX_BUFFERED_LINES,
    EventLog,
    write_pairs,
)
from wagtaildale.types import Incarnation, InstanceId

if TYPE_CHECKING:
    from collections.abc import Callable


class LogReader:
    """Sink that keeps the lines of a log; clear ``reading`` to block it."""

    def __init__(self) -> None:
        self.texts: list[str] = []
        self.reading = threading.Event()
        self.reading.set()

    def __call__(self, lines: bytes) -> None:
        self.reading.wait()
        self.texts.extend(lines.decode().splitlines())

    def count_left_out(self) -> int:
        marks = re.findall('left_out=([0-9]+)', ' '.join(self.texts))
        return sum(map(int, marks))


def wait_until(condition: Callable[[], bool]) -> None:
    deadline = time.monotonic() + 5
    while not condition():
        assert time.monotonic() < deadline
        time.sleep(0.005)


def build_event(stamp: int, detail: str = '') -> Event:
    return Event(
        stamp=Stamp(stamp),
        node=InstanceId('a'),
        incarnation=Incarnation(1),
        kind=EventKind.upstream_ejected,
        detail=detail,
    )


def test_pairs_are_written_on_one_line() -> None:
    line = write_pairs({'kind': 'a', 'detail': 'x "y"\nz', 'code': 0})
    assert line == r'kind=a detail="x \"y\"\nz"'


def test_lines_above_the_rate_are_dropped_and_counted() -> None:
    """Prevents logging from using all the time when half the fleet fails.

    Lines above the rate are dropped; the next line that is written contains
    their number.
    """
    log_reader = LogReader()
    log = EventLog(log_reader)
    for _event in range(LINES_PER_SECOND + 7):
        log(build_event(1000 << 16))
    log.start()
    wait_until(lambda: len(log_reader.texts) == LINES_PER_SECOND)
    log(build_event(5000 << 16))
    wait_until(lambda: len(log_reader.texts) == LINES_PER_SECOND + 1)
    log.close()
    assert log_reader.count_left_out() == 7


def test_blocked_reader_does_not_block_recording() -> None:
    """Prevents a hanging log collector from stopping the calls of every node.

    Only the writing thread waits for the reader. Events that do not fit in
    the buffer are dropped and counted.
    """
    log_reader = LogReader()
    log_reader.reading.clear()
    log = EventLog(log_reader)
    log.start()
    seconds = 2 * MAX_BUFFERED_LINES // LINES_PER_SECOND
    for second in range(seconds):
        for _event in range(LINES_PER_SECOND):
            log(build_event((second * 1000) << 16))
    assert log.left_out > 0
    log_reader.reading.set()
    wait_until(lambda: len(log_reader.texts) >= MAX_BUFFERED_LINES)
    log.close()
    written = len(log_reader.texts)
    left_out = log_reader.count_left_out() + log.left_out
    assert written + left_out == seconds * LINES_PER_SECOND


def test_clock_is_never_behind_a_received_stamp() -> None:
    clock = HybridClock()
    received = clock.tick() + (5000 << 16)
    clock.observe(received)
    assert clock.tick() > received


def test_clock_ignores_a_stamp_far_in_the_future() -> None:
    clock = HybridClock()
    far_stamp = clock.tick() + (10_000_000 << 16)
    clock.observe(far_stamp)
    assert clock.tick() < far_stamp
