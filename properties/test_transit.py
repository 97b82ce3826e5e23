"""Properties of the delays that an owner estimates for messages."""

from __future__ import annotations

from hypothesis import given, settings
from hypothesis import strategies as st
from msgspec import Struct

from wagtaildale.calls.wire.transit import TransitDelayEstimator

MILLISECONDS = 1000
MINUTE_MS = 60_000
# Send times are whole milliseconds, and a double holds the owner's clock far
# more precisely.
ROUNDING_SECONDS = 0.0015

reproducible = settings(derandomize=True, deadline=None, max_examples=200)


class Connection(Struct, frozen=True, kw_only=True):
    """A connection and the messages sent on it.

    Attributes:
        offset: owner's clock when the opening began, in seconds.
        opening_ms: time that the opening took.
        drift: seconds per second by which the owner's clock gains.
        messages: pairs of the milliseconds since the previous message and of
            those for which the network delays this one.
    """

    offset: float
    opening_ms: int
    drift: float
    messages: list[tuple[int, int]]

    def list_arrivals(self) -> list[tuple[int, int]]:
        """List send and arrival times of messages by the entry's clock."""
        times: list[tuple[int, int]] = []
        sent, arrived = 0, self.opening_ms
        for gap, delay in self.messages:
            sent += gap
            # Messages on one connection arrive in the order they were sent.
            arrived = max(arrived, sent + delay)
            times.append((sent, arrived))
        return times

    def read_clock(self, elapsed_ms: int) -> float:
        """Return the owner's time, given the time since the opening began."""
        return self.offset + elapsed_ms * (1 + self.drift) / MILLISECONDS


CONNECTIONS = st.builds(
    Connection,
    offset=st.floats(0, 1e7),
    opening_ms=st.integers(0, 500),
    drift=st.floats(-0.001, 0.001),
    messages=st.lists(
        st.tuples(st.integers(1, MINUTE_MS), st.integers(0, MINUTE_MS)),
        max_size=20,
    ),
)


@reproducible
@given(connection=CONNECTIONS)
def test_delay_is_never_overestimated(connection: Connection) -> None:
    """A message that the caller still waits for is refused as too late.

    Whatever the network does and however the clocks drift, the estimated delay
    is at most the time that the message was under way.
    """
    transit = TransitDelayEstimator(
        opened_at=connection.read_clock(connection.opening_ms)
    )
    for sent, arrived in connection.list_arrivals():
        now = connection.read_clock(arrived)
        delay = transit.measure_delay(sent, now=now)
        actual_delay = now - connection.read_clock(sent)
        assert 0 <= delay <= actual_delay + ROUNDING_SECONDS


@reproducible
@given(
    messages=st.lists(
        st.tuples(st.integers(-(2**63), 2**64), st.floats(0, 100)),
        max_size=20,
    ),
)
def test_delay_is_never_negative(
    messages: list[tuple[int, float]],
) -> None:
    transit = TransitDelayEstimator(opened_at=0)
    now = float(0)
    for sent_ms, gap in messages:
        now += gap
        assert transit.measure_delay(sent_ms, now=now) >= 0
