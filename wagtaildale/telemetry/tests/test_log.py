"""Tests of the log's lines."""

from __future__ import annotations

import logging

from wagtaildale.telemetry.clock import HybridClock, Stamp
from wagtaildale.telemetry.events import Event, EventKind
from wagtaildale.telemetry.log import (
    LINES_PER_SECOND,
    EventLog,
    write_pairs,
)
from wagtaildale.types import Incarnation, InstanceId


class Lines(logging.Handler):
    """Keeps the records."""

    def __init__(self) -> None:
        super().__init__()
        self.records: list[logging.LogRecord] = []

    def emit(self, record: logging.LogRecord) -> None:
        self.records.append(record)


def build_event(stamp: int, detail: str = '') -> Event:
    return Event(
        stamp=Stamp(stamp),
        node=InstanceId('a'),
        incarnation=Incarnation(1),
        kind=EventKind.call_failed,
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
    logger = logging.Logger('test')
    lines = Lines()
    logger.addHandler(lines)
    log = EventLog(logger)
    for _event in range(LINES_PER_SECOND + 7):
        log.write(build_event(1000 << 16))
    log.write(build_event(5000 << 16))
    assert len(lines.records) == LINES_PER_SECOND + 1
    assert vars(lines.records[-1])['left_out'] == 7


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
