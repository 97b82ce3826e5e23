"""Tests of messages that the line between two nodes held up."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

import pytest
from msgspec import msgpack, structs

from wagtaildale.calls.fields import CallFields
from wagtaildale.calls.frames import Cancel, Reserve, Run
from wagtaildale.calls.tests.pausable_proxies import PausableProxy
from wagtaildale.calls.tests.pairs import Pair, build_run
from wagtaildale.calls.transit import (
    MAX_CLOCK_LEAD_SECONDS,
    WINDOW_SECONDS,
    TransitDelayEstimator,
    subtract_delay,
    add_send_time,
)

if TYPE_CHECKING:
    from collections.abc import Iterator

LINE_PORT = 8077
# Far longer than any delay of a busy machine by which a message that was
# usual may seem held up, or the other way about.
MARGIN_SECONDS = 0.5
# The owner's clock when a connection is opened.
OPENED_AT = 5000.0
NEARLY = 0.01


@pytest.fixture
def line(pair: Pair) -> Iterator[PausableProxy]:
    """The line between both nodes of the pair."""
    record = pair.far.record
    made = PausableProxy(
        (record.host, LINE_PORT),
        beyond=(record.host, record.owner_port),
    )
    pair.near.show(structs.replace(record, owner_port=LINE_PORT))
    yield made
    made.close()


def test_lookup_that_the_line_held_up_is_run_for_nobody(
    pair: Pair,
    line: PausableProxy,
) -> None:
    """A server works on a lookup whose caller was given an error long ago.

    The line to the server's node stands still after the run message was
    written to it. The caller's deadline passes, the line moves again, and
    the message comes with the time left that it was sent with: the node
    counts that from the arrival, and has the server run the lookup.
    """
    for claim in range(3):
        response, _text = pair.ask('GET', f'/files/{claim}')
        assert response.status == 200
    line.pause()
    late = {'wagtaildale-deadline-ms': '200', 'x-booking': 'late'}
    response, _text = pair.ask('GET', '/files/3', headers=late)
    assert response.status == 504
    time.sleep(MARGIN_SECONDS)
    line.resume()
    # It comes after the late one, on the same connection.
    response, _text = pair.ask('GET', '/files/4')
    assert response.status == 200
    assert 'late' not in pair.backend.counts.by_key


def test_message_that_is_held_up_is_late() -> None:
    transit = TransitDelayEstimator(opened_at=OPENED_AT)
    assert transit.measure_delay(1000, now=OPENED_AT + 1) == 0
    delay = transit.measure_delay(2000, now=OPENED_AT + 5.5)
    assert delay == pytest.approx(3.5, abs=NEARLY)


def test_first_message_is_measured_by_the_opening() -> None:
    """The first call on a new connection is run for nobody.

    The line stands still between the opening and the first message. There
    is no message before it to compare it with, but there is the opening.
    """
    transit = TransitDelayEstimator(opened_at=OPENED_AT)
    delay = transit.measure_delay(500, now=OPENED_AT + 4)
    assert delay == pytest.approx(3.5, abs=NEARLY)


def test_opening_that_was_held_up_is_corrected_by_a_later_message() -> None:
    transit = TransitDelayEstimator(opened_at=OPENED_AT)
    assert transit.measure_delay(2400, now=OPENED_AT + 2) == 0
    delay = transit.measure_delay(2500, now=OPENED_AT + 2.5)
    assert delay == pytest.approx(0.4, abs=NEARLY)


@pytest.mark.parametrize('sent_ms', [0, -1, int(-1e18), int(1e18)])
def test_what_is_no_time_of_sending_counts_as_not_told(sent_ms: int) -> None:
    transit = TransitDelayEstimator(opened_at=OPENED_AT)
    assert transit.measure_delay(sent_ms, now=OPENED_AT + 1) == 0
    # Nothing is learnt from it either.
    assert transit.measure_delay(1000, now=OPENED_AT + 1) == 0


def test_clock_that_jumps_ahead_makes_nothing_late() -> None:
    """An owner's machine sleeps, and its steady clock stands still meanwhile.

    What an entry sends then seems to come before it was sent.
    """
    transit = TransitDelayEstimator(opened_at=OPENED_AT)
    for second in range(1, int(MAX_CLOCK_LEAD_SECONDS)):
        ahead_ms = 1000 * second + 5000
        assert transit.measure_delay(ahead_ms, now=OPENED_AT + second) == 0


def test_entry_whose_clock_stood_still_is_late_for_some_seconds_only() -> None:
    """An entry's machine sleeps, and every later call of it is refused.

    Its steady clock stood still meanwhile, so that all it sends looks late
    by its sleep.
    """
    transit = TransitDelayEstimator(opened_at=OPENED_AT)
    delays = [
        transit.measure_delay(1000 * second, now=OPENED_AT + second + 2)
        for second in range(1, int(2 * WINDOW_SECONDS) + 3)
    ]
    assert delays[0] == pytest.approx(2, abs=NEARLY)
    assert delays[-1] == 0


def test_clocks_that_ran_apart_overnight_make_nothing_late() -> None:
    """The first calls of the morning are refused as late.

    Nothing was sent on a connection for hours, and the clocks of both
    machines have run apart by seconds.
    """
    transit = TransitDelayEstimator(opened_at=OPENED_AT)
    assert transit.measure_delay(1000, now=OPENED_AT + 1) == 0
    night = 36_000
    apart = 3.6
    for second in range(5):
        morning = night + second
        assert (
            transit.measure_delay(
                1000 * morning,
                now=OPENED_AT + morning + apart,
            )
            == 0
        )


def test_delay_is_taken_off_both_times() -> None:
    fields = build_run(remaining_ms=2700).fields
    assert fields.within_ms == 100
    shortened = subtract_delay(fields, delay=0.06)
    assert (shortened.within_ms, shortened.remaining_ms) == (40, 2640)
    over = subtract_delay(fields, delay=3.5)
    assert (over.within_ms, over.remaining_ms) == (0, 0)
    assert subtract_delay(fields, delay=0) is fields


def test_only_what_asks_an_owner_to_work_tells_when_it_was_sent() -> None:
    run = build_run()
    stamped = add_send_time(run, elapsed_seconds=1.5)
    assert isinstance(stamped, Run)
    assert stamped.fields.sent_ms == 1500
    reserve = add_send_time(Reserve(run.call, run.fields), elapsed_seconds=0)
    assert isinstance(reserve, Reserve)
    assert reserve.fields.sent_ms == 1
    cancel = Cancel(run.call)
    assert add_send_time(cancel, elapsed_seconds=1.5) is cancel


def test_entry_of_an_older_build_tells_nothing() -> None:
    encoded = msgpack.encode(build_run().fields)
    older = msgpack.encode(msgpack.decode(encoded)[:-1])
    assert msgpack.decode(older, type=CallFields).sent_ms == 0
