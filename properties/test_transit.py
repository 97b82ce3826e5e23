"""Properties of what an owner takes for held up by the line."""

from __future__ import annotations

from hypothesis import given, settings
from hypothesis import strategies as st
from msgspec import Struct

from wagtaildale.calls.transit import TransitDelayEstimator

MILLISECONDS = 1000
MINUTE_MS = 60_000
# Times of sending are told in whole milliseconds, and a double holds the
# owner's clock to far less.
ROUNDING = 0.0015

steady = settings(derandomize=True, deadline=None, max_examples=200)


class Line(Struct, frozen=True, kw_only=True):
    """A connection and what is sent on it.

    Attributes:
        offset: seconds on the owner's clock when the opening began.
        opening_ms: that the opening took.
        apart: seconds by which the owner's clock gains in a second.
        messages: milliseconds after the one before, and those that the
            line holds it up.
    """

    offset: float
    opening_ms: int
    apart: float
    messages: list[tuple[int, int]]

    def list_arrivals(self) -> list[tuple[int, int]]:
        """List when each message is sent and comes, by the entry's clock."""
        times: list[tuple[int, int]] = []
        sent, arrived = 0, self.opening_ms
        for gap, held in self.messages:
            sent += gap
            # Nothing overtakes what was sent before on one connection.
            arrived = max(arrived, sent + held)
            times.append((sent, arrived))
        return times

    def read_clock(self, passed_ms: int) -> float:
        """Give the owner's time so long after the opening began."""
        return self.offset + passed_ms * (1 + self.apart) / MILLISECONDS


LINES = st.builds(
    Line,
    offset=st.floats(0, 1e7),
    opening_ms=st.integers(0, 500),
    apart=st.floats(-0.001, 0.001),
    messages=st.lists(
        st.tuples(st.integers(1, MINUTE_MS), st.integers(0, MINUTE_MS)),
        max_size=20,
    ),
)


@steady
@given(line=LINES)
def test_nothing_counts_as_later_than_it_is(line: Line) -> None:
    """A message that the caller still waits for is refused as too late.

    Whatever the line does and however the clocks run apart, a message is
    taken for late by no more than it was under way.
    """
    transit = TransitDelayEstimator(opened_at=line.read_clock(line.opening_ms))
    for sent, arrived in line.list_arrivals():
        now = line.read_clock(arrived)
        delay = transit.measure_delay(sent, now=now)
        most = now - line.read_clock(sent)
        assert 0 <= delay <= most + ROUNDING


@steady
@given(
    told=st.lists(
        st.tuples(st.integers(-(2**63), 2**64), st.floats(0, 100)),
        max_size=20,
    ),
)
def test_no_time_told_gives_more_time(
    told: list[tuple[int, float]],
) -> None:
    transit = TransitDelayEstimator(opened_at=0)
    now = float(0)
    for sent_ms, gap in told:
        now += gap
        assert transit.measure_delay(sent_ms, now=now) >= 0
