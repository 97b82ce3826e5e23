"""Estimates how long the network delayed the messages of a call.

An entry writes into ``Reserve`` and ``Run`` when it sent them, by its own
steady clock. The owner estimates by how much a message took longer than others
of its connection, and subtracts that from the time left.

Without this, when a connection stalls for seconds or an owner is stopped,
messages arrive after their callers have given up. An owner that counted the
time left from the arrival would still run them at its backend server.

Delays that the estimate cannot see count as zero, as if no send time were
given:

- the usual delay itself, some milliseconds;
- a delay that affected the opening of the connection too, unless a later
  message came faster: the opening counts as the first message;
- time for which the owner's machine slept, on a clock that does not count
  sleep; ``read_clock`` counts it.

If the entry's machine slept and its clock stopped, everything it sends looks
late by that time, and calls with less time left are refused without a run for
up to twice ``WINDOW_SECONDS``.
"""

from __future__ import annotations

from functools import singledispatch
from typing import TYPE_CHECKING, Final

from msgspec import structs

from wagtaildale.calls.wire.fields import NO_START_LIMIT
from wagtaildale.calls.wire.frames import Reserve, Run
from wagtaildale.timers.clock_offsets import MinimumOffset

if TYPE_CHECKING:
    from wagtaildale.calls.wire.fields import CallFields
    from wagtaildale.calls.wire.frames import ToOwner

MILLISECONDS: Final = 1000
# Longer than a connection survives: the kernel closes it after 3 s without
# acknowledgement. Kept short, because calls of an entry whose clock stopped are
# refused for up to twice this time.
WINDOW_SECONDS: Final = 3.0
# Assumed bound on the drift of two clocks, as a ratio. A clock that is being
# adjusted runs up to 0.05% fast or slow. Without this, clocks that drift apart
# by a second while nothing is sent would make the next calls look a second
# late.
MAX_CLOCK_DRIFT: Final = 0.001
# A message cannot arrive before it is sent, but seems to if a clock stopped. A
# send time that is further ahead than this is ignored as invalid.
MAX_CLOCK_LEAD_SECONDS: Final = 60.0


class TransitDelayEstimator:
    """Estimates the delays of one connection's messages, at the owner.

    Example:
        >>> transit = TransitDelayEstimator(opened_at=100)
        >>> round(transit.measure_delay(1000, now=101), 1)
        0.0
        >>> round(transit.measure_delay(1500, now=105), 1)
        3.5
    """

    def __init__(self, *, opened_at: float) -> None:
        """Start with a new connection.

        Args:
            opened_at: time at which the owner accepted the connection, in
                seconds on the owner's clock.
        """
        self._opened_at = opened_at
        self._clock_differences = MinimumOffset(
            window=WINDOW_SECONDS,
            since=opened_at,
            drift=MAX_CLOCK_DRIFT,
        )
        # The entry counts from when it began to open the connection, so the
        # opening counts as a message sent at zero. Without it the first message
        # would never look late.
        self._clock_differences.measure_excess(opened_at, now=opened_at)

    def measure_delay(self, sent_ms: int, *, now: float) -> float:
        """Measure how long a message was delayed.

        Args:
            sent_ms: send time, as in ``CallFields``.
            now: arrival time in seconds on the owner's clock.

        Returns:
            Delay in seconds, never negative; 0 if the send time is unknown.
        """
        sent = sent_ms / MILLISECONDS
        latest_plausible = now - self._opened_at + MAX_CLOCK_LEAD_SECONDS
        if not 0 < sent < latest_plausible:
            return 0
        return self._clock_differences.measure_excess(now - sent, now=now)


def subtract_delay(fields: CallFields, *, delay: float) -> CallFields:
    """Subtract a delay from the times that a call has left.

    Args:
        fields: fields as they were sent.
        delay: delay of the message in seconds.

    Returns:
        Fields with the times that are left now.
    """
    delay_ms = int(delay * MILLISECONDS)
    if delay_ms <= 0:
        return fields
    start_within_ms = fields.start_within_ms
    if start_within_ms != NO_START_LIMIT:
        start_within_ms = max(0, start_within_ms - delay_ms)
    return structs.replace(
        fields,
        within_ms=max(0, fields.within_ms - delay_ms),
        remaining_ms=max(0, fields.remaining_ms - delay_ms),
        start_within_ms=start_within_ms,
    )


@singledispatch
def add_send_time(frame: ToOwner, *, elapsed_seconds: float) -> ToOwner:
    """Add the send time to a message that an owner measures delays by.

    Args:
        frame: message to the owner.
        elapsed_seconds: seconds since the entry began to open the connection.

    Returns:
        The message to send.
    """
    return frame


@add_send_time.register(Reserve)
@add_send_time.register(Run)
def _add_call_send_time(
    frame: Reserve | Run, *, elapsed_seconds: float
) -> ToOwner:
    # 0 would mean an unknown send time.
    sent_ms = max(1, int(elapsed_seconds * MILLISECONDS))
    fields = structs.replace(frame.fields, sent_ms=sent_ms)
    return structs.replace(frame, fields=fields)
