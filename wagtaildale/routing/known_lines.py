"""Keeps what owners report of the lines of their nodes."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from wagtaildale.admission.incoming_line import LineState

MILLISECONDS: Final = 1000
# Owners report a change of the outgoing line within 0.25 s to connected
# entries. Up to this age a wait is used as reported: while further responses
# join the backlog it does not shrink, and an entry that assumed so would send
# requests that are refused.
OUTGOING_REPORT_SECONDS: Final = 1.0


class KnownLine:
    """One line of an upstream's node, as its owner last reported it."""

    __slots__ = ('_reported_at', '_state', '_valid_seconds')

    def __init__(self, *, valid_seconds: float = 0) -> None:
        """Start without a report.

        Args:
            valid_seconds: age up to which a reported wait is used unchanged;
                an older one is reduced by its age.
        """
        self._state: LineState | None = None
        self._reported_at = float(0)
        self._valid_seconds = valid_seconds

    @property
    def is_known(self) -> bool:
        """Whether the owner has reported the state of the line."""
        return self._state is not None

    def note(self, state: LineState | None, *, now: float) -> None:
        """Note a report.

        Args:
            state: reported state; nothing if the bandwidth is not known.
            now: current time, in seconds.
        """
        self._state = state
        self._reported_at = now

    def estimate_wait(self, now: float) -> float:
        """Estimate how long what is sent now waits until it may cross the line.

        Args:
            now: current time, in seconds.

        Returns:
            Seconds; 0 if nothing is known. A report that is older than
            ``valid_seconds`` is reduced by what has left the line since.
        """
        if self._state is None:
            return 0
        reported = self._state.wait_ms / MILLISECONDS
        age = now - self._reported_at
        if 0 <= age < self._valid_seconds:
            age = 0
        return max(0, reported - age)

    def estimate_transfer(self, body_bytes: float) -> float:
        """Estimate how long a body takes to cross the idle line.

        Args:
            body_bytes: size of the body.

        Returns:
            Seconds; 0 if nothing is known.
        """
        if self._state is None:
            return 0
        # A report of another node may have any value.
        bytes_per_ms = max(1, self._state.bytes_per_ms)
        return body_bytes / bytes_per_ms / MILLISECONDS


class KnownLines:
    """The lines of one upstream's node.

    Attributes:
        incoming: line into the node, which request bodies cross.
        outgoing: line out of the node, which large responses cross.
    """

    __slots__ = ('incoming', 'outgoing')

    def __init__(self) -> None:
        """Start without a report of either."""
        self.incoming = KnownLine()
        self.outgoing = KnownLine(valid_seconds=OUTGOING_REPORT_SECONDS)

    def note(
        self,
        *,
        incoming: LineState | None,
        outgoing: LineState | None,
        now: float,
    ) -> None:
        """Note a report on both lines.

        Args:
            incoming: reported state of the incoming line, if known.
            outgoing: reported state of the outgoing line, if known.
            now: current time, in seconds.
        """
        self.incoming.note(incoming, now=now)
        self.outgoing.note(outgoing, now=now)
