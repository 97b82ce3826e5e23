"""Tests of the log's lines."""

from __future__ import annotations

import re
import threading
import time
from typing import TYPE_CHECKING

from wagtaildale.telemetry.clock import HybridClock, Stamp
from wagtaildale.telemetry.events import Event, EventKind
from wagtaildale.telemetry.log import (
    BUFFERED,
    LINES_PER_SECOND,
    EventLog,
    write_pairs,
)
from wagtaildale.types import Incarnation, InstanceId

if TYPE_CHECKING:
    from collections.abc import Callable


class Lines:
    """Keeps the lines of a log, once it is told to read."""

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


def test_pairs_are_on_one_line() -> None:
    line = write_pairs({'kind': 'a', 'detail': 'x "y"\nz', 'code': 0})
    assert line == r'kind=a detail="x \"y\"\nz"'


def test_storm_is_limited_and_counted() -> None:
    """Half of the fleet is gone at once, and logging takes all the time.

    Lines over the rate are left out; the next line that passes says how
    many there were.
    """
    lines = Lines()
    log = EventLog(lines)
    for _event in range(LINES_PER_SECOND + 7):
        log(build_event(1000 << 16))
    log.start()
    wait_until(lambda: len(lines.texts) == LINES_PER_SECOND)
    log(build_event(5000 << 16))
    wait_until(lambda: len(lines.texts) == LINES_PER_SECOND + 1)
    log.close()
    assert lines.count_left_out() == 7


def test_reader_that_stops_reading_holds_up_nobody() -> None:
    """The log collector hangs, and with it every call of every node.

    Only the writer's own thread waits for the reader. What does not fit the
    buffer meanwhile is left out and counted.
    """
    lines = Lines()
    lines.reading.clear()
    log = EventLog(lines)
    log.start()
    seconds = 2 * BUFFERED // LINES_PER_SECOND
    for second in range(seconds):
        for _event in range(LINES_PER_SECOND):
            log(build_event((second * 1000) << 16))
    assert log.left_out > 0
    lines.reading.set()
    wait_until(lambda: len(lines.texts) >= BUFFERED)
    log.close()
    written = len(lines.texts)
    left_out = lines.count_left_out() + log.left_out
    assert written + left_out == seconds * LINES_PER_SECOND


def test_clock_never_runs_behind_what_it_heard() -> None:
    clock = HybridClock()
    heard = clock.tick() + (5000 << 16)
    clock.observe(heard)
    assert clock.tick() > heard


def test_clock_ignores_a_broken_one() -> None:
    clock = HybridClock()
    far = clock.tick() + (10_000_000 << 16)
    clock.observe(far)
    assert clock.tick() < far
