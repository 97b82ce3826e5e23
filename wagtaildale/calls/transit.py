"""How long the line between two nodes held a call's messages up.

An entry tells with ``Reserve`` and ``Run`` when it handed them to the
connection, by its own steady clock, and the owner takes off the time left
what a message was under way longer than others of its connection.

Failure guarded here: a line stands still for seconds, or an owner is
stopped, and what was sent meanwhile comes when nobody waits for it. An owner
that counted the time left from the arrival would have its backend server
run it for nobody.

What the estimate cannot see counts as no delay, as if nothing were told:

- the usual way itself, some milliseconds;
- what held up the opening of the connection too, unless a later message
  came faster: the opening counts as the first message;
- what a machine slept through, where the clock does not count that
  (``read_clock`` does), if it is the owner's. If it is the entry's, all it
  sends looks late by its sleep, and what has less time left is refused,
  unrun, until the window is over.
"""

from __future__ import annotations

from functools import singledispatch
from typing import TYPE_CHECKING, Final

from msgspec import structs

from wagtaildale.calls.frames import Reserve, Run
from wagtaildale.timers.clock_offsets import MinimumOffset

if TYPE_CHECKING:
    from wagtaildale.calls.fields import CallFields
    from wagtaildale.calls.frames import ToOwner

MILLISECONDS: Final = 1000
# Outlasts what a connection survives: the kernel gives up on bytes that are
# not acknowledged for 3 s. Short, since the calls of an entry whose clock
# stood still are refused for up to twice as long.
WINDOW_SECONDS: Final = 3.0
# Clocks that are being set right run up to 0.05% fast or slow. Without this,
# two that run apart by a second over a night would make the first calls of
# the morning look a second late.
DRIFT: Final = 0.001
# Nothing comes before it is sent. By a clock that stood still it may look so;
# what seems to come more than this too early does not tell when it was sent.
FURTHEST_SECONDS: Final = 60.0


class Transit:
    """The messages of one connection on their way, as its owner sees it.

    Example:
        >>> transit = Transit(opened_at=100)
        >>> round(transit.measure_delay(1000, now=101), 1)
        0.0
        >>> round(transit.measure_delay(1500, now=105), 1)
        3.5
    """

    def __init__(self, *, opened_at: float) -> None:
        """Begin with a connection.

        Args:
            opened_at: when the owner took it, seconds on the owner's clock.
        """
        self._opened_at = opened_at
        self._seen = MinimumOffset(
            window=WINDOW_SECONDS,
            since=opened_at,
            drift=DRIFT,
        )
        # The entry counts from when it began to open the connection, so the
        # opening came like a message that was sent at zero. Without it the
        # first message would look prompt however late it is.
        self._seen.measure_excess(opened_at, now=opened_at)

    def measure_delay(self, sent_ms: int, *, now: float) -> float:
        """Measure how long a message was held up.

        Args:
            sent_ms: when it was sent, as ``CallFields`` tells it.
            now: when it came, seconds on the owner's clock.

        Returns:
            Seconds, never negative; 0 if it is not told when it was sent.
        """
        sent = sent_ms / MILLISECONDS
        furthest = now - self._opened_at + FURTHEST_SECONDS
        if not 0 < sent < furthest:
            return 0
        return self._seen.measure_excess(now - sent, now=now)


def shorten(fields: CallFields, *, delay: float) -> CallFields:
    """Take a delay off the times that a call has left.

    Args:
        fields: as they were sent.
        delay: of the message that brought them, seconds.

    Returns:
        The fields as they are now.
    """
    delay_ms = int(delay * MILLISECONDS)
    if delay_ms <= 0:
        return fields
    return structs.replace(
        fields,
        within_ms=max(0, fields.within_ms - delay_ms),
        remaining_ms=max(0, fields.remaining_ms - delay_ms),
    )


@singledispatch
def stamp(frame: ToOwner, *, passed: float) -> ToOwner:
    """Write into a message when it is sent, if an owner goes by that.

    Args:
        frame: the message.
        passed: seconds since the entry began to open the connection.

    Returns:
        The message as it is to be sent.
    """
    return frame


@stamp.register(Reserve)
@stamp.register(Run)
def _stamp_call(frame: Reserve | Run, *, passed: float) -> ToOwner:
    # 0 would mean that it is not told.
    sent_ms = max(1, int(passed * MILLISECONDS))
    fields = structs.replace(frame.fields, sent_ms=sent_ms)
    return structs.replace(frame, fields=fields)
