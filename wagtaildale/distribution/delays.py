"""Measures how much longer than usual messages took from their sender."""

from __future__ import annotations

from typing import Final

from msgspec import Struct, field

from wagtaildale.timers.clock_offsets import MinimumOffset
from wagtaildale.types import Incarnation, InstanceId

# How long a minimum clock offset counts. After a sender was suspended, its
# clock is behind and all its messages seem delayed for this long, so that nodes
# read from the platform unnecessarily.
WINDOW_SECONDS: Final = 10.0

# A shorter delay is taken as queueing on a slow line and counts as 0.
# Otherwise nodes on slow lines would read from the platform, and the reads
# would slow the lines further. Messages delayed by a cut are seconds late.
MIN_DELAY_SECONDS: Final = 0.5

SenderProcess = tuple[InstanceId, Incarnation]


class Delays(Struct, kw_only=True):
    """Clock offsets of all senders, from which delays are measured.

    Attributes:
        senders: minimum clock offset of each sending process.
    """

    senders: dict[SenderProcess, MinimumOffset] = field(default_factory=dict)

    def measure(
        self, sender: SenderProcess, *, sent: float, now: float
    ) -> float:
        """Measure how much longer than usual a message took.

        When a line is cut for some seconds, messages that were sent meanwhile
        arrive after it is restored. Without the delay, their confirmations
        would seem new, and the receiver would use an old list and not read
        from the platform itself.

        Args:
            sender: sending process.
            sent: time of sending, seconds on the sender's steady clock.
            now: current time, seconds on this node's steady clock.

        Returns:
            Seconds; 0 for the first message of a sender, and for a message
            that was not delayed.
        """
        offset = self.senders.get(sender)
        if offset is None:
            self._forget_restarted(sender)
            offset = MinimumOffset(window=WINDOW_SECONDS, since=now)
            self.senders[sender] = offset
        delay = offset.measure_excess(now - sent, now=now)
        return delay if delay > MIN_DELAY_SECONDS else 0

    def _forget_restarted(self, sender: SenderProcess) -> None:
        instance = sender[0]
        earlier = [known for known in self.senders if known[0] == instance]
        for known in earlier:
            self.senders.pop(known)
