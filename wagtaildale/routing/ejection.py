"""Ejects an upstream from the choice for a while, and probes it afterwards.

A server that fails at once, hangs or leaves has a low load, so the choosers
would prefer it to servers that could answer.
"""

from __future__ import annotations

from typing import Final

FAILURES_TO_EJECT: Final = 3
FIRST_EJECTION_SECONDS: Final = 1.0
MAX_EJECTION_SECONDS: Final = 30.0
# Time after which another probe is sent if one is not answered.
PROBE_TIMEOUT_SECONDS: Final = 1.0
# Duration of the ejection of an upstream that reports that it is leaving.
LEAVING_EJECTION_SECONDS: Final = 3.0
# Duration of the ejection after an unanswered ping to the owner. Each further
# unanswered ping, four a second, renews it.
UNANSWERED_PING_EJECTION_SECONDS: Final = 0.5


class Ejection:
    """Ejection state of one upstream.

    An upstream is ejected after a few failures in a row, for longer each
    time. After the ejection one call at a time is sent as a probe, and the
    first answer ends the ejection.
    """

    __slots__ = (
        '_failures',
        '_leaving_until',
        '_ejection_seconds',
        '_silent_until',
        '_ejected_until',
    )

    def __init__(self) -> None:
        """Start with an upstream that is not ejected."""
        self._failures = 0
        self._ejection_seconds = FIRST_EJECTION_SECONDS
        self._ejected_until = float(0)
        self._leaving_until = float(0)
        self._silent_until = float(0)

    def is_ejected(self, now: float) -> bool:
        """Tell whether the upstream is ejected now.

        Args:
            now: current time, in seconds.

        Returns:
            Whether requests should go to other upstreams.
        """
        until = max(
            self._ejected_until, self._leaving_until, self._silent_until
        )
        return until > now

    def is_leaving(self, now: float) -> bool:
        """Tell whether the upstream has lately reported that it is leaving.

        The entry then opens no connection to it ahead of a request.

        Args:
            now: current time, in seconds.

        Returns:
            Whether it reported so in the last ``LEAVING_EJECTION_SECONDS``.
        """
        return self._leaving_until > now

    def note_failure(self, now: float) -> bool:
        """Note a failure of the upstream.

        Args:
            now: current time, in seconds.

        Returns:
            Whether this failure ejects it.
        """
        self._failures += 1
        if self._failures < FAILURES_TO_EJECT or self.is_ejected(now):
            return False
        self._ejected_until = now + self._ejection_seconds
        self._ejection_seconds = min(
            MAX_EJECTION_SECONDS, self._ejection_seconds * 2
        )
        return True

    def note_leaving(self, now: float) -> None:
        """Note that the upstream reports that it is leaving.

        The ejection starts with its first refusal, because gossip may arrive
        seconds later. It is short, so that an instance that restarts under
        the same id is soon tried again.

        Unlike an ejection for failures, this one does not end with an answer.
        The upstream still answers its running requests; if an answer ended
        the ejection, new requests would be sent there and refused.

        Args:
            now: current time, in seconds.
        """
        self._leaving_until = now + LEAVING_EJECTION_SECONDS

    def note_silent(self, now: float) -> None:
        """Note that the upstream's owner does not answer pings.

        While a process hangs for some seconds, the kernel still accepts
        connections on its port. Every call that is sent there would wait until
        the entry's failover time, one second, has passed.

        Args:
            now: current time, in seconds.
        """
        self._silent_until = now + UNANSWERED_PING_EJECTION_SECONDS

    def note_chosen(self, now: float) -> None:
        """Note that a call goes to the upstream.

        After an ejection the call is a probe: no other call is sent until it
        is answered or ``PROBE_TIMEOUT_SECONDS`` have passed.

        Args:
            now: current time, in seconds.
        """
        if self._failures >= FAILURES_TO_EJECT and not self.is_ejected(now):
            self._ejected_until = now + PROBE_TIMEOUT_SECONDS

    def note_answer(self) -> bool:
        """Note an answer of the upstream.

        Returns:
            Whether the answer ended an ejection.
        """
        was_ejected = self._failures >= FAILURES_TO_EJECT
        self._failures = 0
        self._ejection_seconds = FIRST_EJECTION_SECONDS
        self._ejected_until = float(0)
        return was_ejected
