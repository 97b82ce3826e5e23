"""How long messages were under way, beyond what is usual from their sender."""

from __future__ import annotations

from typing import Final

from msgspec import Struct, field

from wagtaildale.timers.clock_offsets import MinimumOffset
from wagtaildale.types import Incarnation, InstanceId

# How long a least difference counts. A sender that was suspended comes back
# with its clock behind, and all it says looks late for that long: nodes then
# read the platform though they need not.
WINDOW_SECONDS: Final = 10.0

# Under this a message waited on a slow line behind others. Were that counted,
# nodes on slow lines would read the platform, and what they read would make
# the lines slower. What a cut holds up is seconds late.
HELD_UP_SECONDS: Final = 0.5

Sender = tuple[InstanceId, Incarnation]


class Delays(Struct, kw_only=True):
    """The differences of all senders.

    Attributes:
        senders: by process, what was seen of it.
    """

    senders: dict[Sender, MinimumOffset] = field(default_factory=dict)

    def measure(self, sender: Sender, *, sent: float, now: float) -> float:
        """Measure how long a message was under way beyond the usual.

        Failure guarded here: a line is cut for some seconds, and what was
        sent meanwhile comes when it is mended: "the platform has just
        confirmed this". Whoever believes that goes by an old list and reads
        nothing itself. With the delay added the news is as old as it is.

        Args:
            sender: the process.
            sent: seconds on its steady clock.
            now: seconds on this one's.

        Returns:
            Seconds; 0 for the first message of a sender, and for one that
            was not held up.
        """
        seen = self.senders.get(sender)
        if seen is None:
            self._forget_restarted(sender)
            seen = MinimumOffset(window=WINDOW_SECONDS, since=now)
            self.senders[sender] = seen
        delay = seen.measure_excess(now - sent, now=now)
        return delay if delay > HELD_UP_SECONDS else 0

    def _forget_restarted(self, sender: Sender) -> None:
        instance = sender[0]
        earlier = [known for known in self.senders if known[0] == instance]
        for known in earlier:
            self.senders.pop(known)
