"""Tests of messages that the network between two nodes delays.

The doc text of a test describes the failure that it prevents.
"""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

import pytest
from msgspec import msgpack, structs

from wagtaildale.calls.tests.pairs import Pair, build_run
from wagtaildale.calls.tests.pausable_proxies import PausableProxy
from wagtaildale.calls.wire.fields import CallFields
from wagtaildale.calls.wire.frames import Cancel, Reserve, Run
from wagtaildale.calls.wire.transit import (
    MAX_CLOCK_LEAD_SECONDS,
    WINDOW_SECONDS,
    TransitDelayEstimator,
    add_send_time,
    subtract_delay,
)

if TYPE_CHECKING:
    from collections.abc import Iterator

PROXY_PORT = 8077
# Far longer than any delay on a busy machine by which a usual message may look
# delayed, or a delayed one usual.
MARGIN_SECONDS = 0.5
# Time on the owner's clock when a connection is opened.
OPENED_AT = 5000.0
TOLERANCE_SECONDS = 0.01


@pytest.fixture
def proxy(pair: Pair) -> Iterator[PausableProxy]:
    """The proxy between both nodes of the pair."""
    record = pair.owner_node.record
    created = PausableProxy(
        (record.host, PROXY_PORT),
        target=(record.host, record.owner_port),
    )
    pair.entry_node.set_instances(
        structs.replace(record, owner_port=PROXY_PORT)
    )
    yield created
    created.close()


def test_lookup_delayed_past_its_deadline_is_not_run(
    pair: Pair,
    proxy: PausableProxy,
) -> None:
    """A backend server works on a lookup whose caller already got an error.

    The connection to the owner stalls after the run message was written to it,
    and the caller's deadline passes. The message then arrives with the time
    left that it was sent with; counted from the arrival, the lookup would still
    run.
    """
    for claim in range(3):
        response, _text = pair.ask('GET', f'/files/{claim}')
        assert response.status == 200
    proxy.pause()
    late = {'wagtaildale-deadline-ms': '200', 'x-booking': 'late'}
    response, _text = pair.ask('GET', '/files/3', headers=late)
    assert response.status == 504
    time.sleep(MARGIN_SECONDS)
    proxy.resume()
    # Sent after the late one on the same connection.
    response, _text = pair.ask('GET', '/files/4')
    assert response.status == 200
    assert 'late' not in pair.backend.counts.by_key


def test_delay_of_a_message_is_measured() -> None:
    transit = TransitDelayEstimator(opened_at=OPENED_AT)
    assert transit.measure_delay(1000, now=OPENED_AT + 1) == 0
    delay = transit.measure_delay(2000, now=OPENED_AT + 5.5)
    assert delay == pytest.approx(3.5, abs=TOLERANCE_SECONDS)


def test_first_message_is_measured_by_the_opening() -> None:
    """The first call on a new connection runs after its caller gave up.

    The connection stalls between the opening and the first message. There is
    no earlier message to compare it with, so the opening is used.
    """
    transit = TransitDelayEstimator(opened_at=OPENED_AT)
    delay = transit.measure_delay(500, now=OPENED_AT + 4)
    assert delay == pytest.approx(3.5, abs=TOLERANCE_SECONDS)


def test_delayed_opening_is_corrected_by_a_later_message() -> None:
    transit = TransitDelayEstimator(opened_at=OPENED_AT)
    assert transit.measure_delay(2400, now=OPENED_AT + 2) == 0
    delay = transit.measure_delay(2500, now=OPENED_AT + 2.5)
    assert delay == pytest.approx(0.4, abs=TOLERANCE_SECONDS)


@pytest.mark.parametrize('sent_ms', [0, -1, int(-1e18), int(1e18)])
def test_invalid_send_times_count_as_unknown(sent_ms: int) -> None:
    transit = TransitDelayEstimator(opened_at=OPENED_AT)
    assert transit.measure_delay(sent_ms, now=OPENED_AT + 1) == 0
    # The invalid send time does not affect later estimates.
    assert transit.measure_delay(1000, now=OPENED_AT + 1) == 0


def test_calls_are_not_refused_after_the_owner_clock_stopped() -> None:
    """Messages are refused as late after an owner's machine slept.

    Its steady clock stopped meanwhile, so that messages seem to arrive before
    they were sent.
    """
    transit = TransitDelayEstimator(opened_at=OPENED_AT)
    for second in range(1, int(MAX_CLOCK_LEAD_SECONDS)):
        ahead_ms = 1000 * second + 5000
        assert transit.measure_delay(ahead_ms, now=OPENED_AT + second) == 0


def test_refusals_last_only_seconds_after_the_entry_clock_stopped() -> None:
    """Every later call of an entry is refused after its machine slept.

    Its steady clock stopped meanwhile, so that all it sends looks late by the
    time of the sleep.
    """
    transit = TransitDelayEstimator(opened_at=OPENED_AT)
    delays = [
        transit.measure_delay(1000 * second, now=OPENED_AT + second + 2)
        for second in range(1, int(2 * WINDOW_SECONDS) + 3)
    ]
    assert delays[0] == pytest.approx(2, abs=TOLERANCE_SECONDS)
    assert delays[-1] == 0


def test_clock_drift_causes_no_refusals() -> None:
    """Calls after hours without traffic are refused as late.

    The clocks of both machines have drifted apart by seconds meanwhile.
    """
    transit = TransitDelayEstimator(opened_at=OPENED_AT)
    assert transit.measure_delay(1000, now=OPENED_AT + 1) == 0
    idle_seconds = 36_000
    drift_seconds = 3.6
    for second in range(5):
        elapsed_seconds = idle_seconds + second
        assert (
            transit.measure_delay(
                1000 * elapsed_seconds,
                now=OPENED_AT + elapsed_seconds + drift_seconds,
            )
            == 0
        )


def test_delay_is_subtracted_from_both_times() -> None:
    fields = build_run(remaining_ms=2700).fields
    assert fields.within_ms == 100
    shortened = subtract_delay(fields, delay=0.06)
    assert (shortened.within_ms, shortened.remaining_ms) == (40, 2640)
    expired = subtract_delay(fields, delay=3.5)
    assert (expired.within_ms, expired.remaining_ms) == (0, 0)
    assert subtract_delay(fields, delay=0) is fields


def test_only_reserve_and_run_carry_a_send_time() -> None:
    run = build_run()
    stamped = add_send_time(run, elapsed_seconds=1.5)
    assert isinstance(stamped, Run)
    assert stamped.fields.sent_ms == 1500
    reserve = add_send_time(Reserve(run.call, run.fields), elapsed_seconds=0)
    assert isinstance(reserve, Reserve)
    assert reserve.fields.sent_ms == 1
    cancel = Cancel(run.call)
    assert add_send_time(cancel, elapsed_seconds=1.5) is cancel


def test_message_of_an_older_build_has_no_send_time() -> None:
    encoded = msgpack.encode(build_run().fields)
    older = msgpack.encode(msgpack.decode(encoded)[:-1])
    assert msgpack.decode(older, type=CallFields).sent_ms == 0
