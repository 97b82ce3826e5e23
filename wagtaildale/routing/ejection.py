"""Whether an upstream is left out for a while, and when it comes back.

Load pattern answered: a server that fails at once, stands still or leaves
looks idle, and draws the calls that others could answer.
"""

from __future__ import annotations

from typing import Final

FAILURES_TO_EJECT: Final = 3
FIRST_EJECTION: Final = 1.0
LONGEST_EJECTION: Final = 30.0
PROBE_SECONDS: Final = 1.0
LEAVING_SECONDS: Final = 3.0
# Told anew with each ping to a silent owner, four a second.
SILENCE_SECONDS: Final = 0.5


class Ejection:
    """Whether an upstream is left out for its failures.

    Failure guarded here: a server that fails quickly looks idle and draws
    ever more calls. After a few failures in a row it is left out, for
    longer each time, and comes back by a probe: one call at a time until
    one is answered.
    """

    __slots__ = (
        '_failures',
        '_leaves_until',
        '_seconds',
        '_silent_until',
        '_until',
    )

    def __init__(self) -> None:
        """Begin in good standing."""
        self._failures = 0
        self._seconds = FIRST_EJECTION
        self._until = float(0)
        self._leaves_until = float(0)
        self._silent_until = float(0)

    def is_ejected(self, now: float) -> bool:
        """Tell whether the upstream is left out now.

        Args:
            now: seconds.

        Returns:
            Whether to choose others.
        """
        until = max(self._until, self._leaves_until, self._silent_until)
        return until > now

    def is_leaving(self, now: float) -> bool:
        """Tell whether the upstream has said of late that it is leaving.

        Args:
            now: seconds.

        Returns:
            Whether to open no connection before one is needed.
        """
        return self._leaves_until > now

    def note_failure(self, now: float) -> bool:
        """Note a failure of the upstream.

        Args:
            now: seconds.

        Returns:
            Whether it is left out from now on.
        """
        self._failures += 1
        if self._failures < FAILURES_TO_EJECT or self.is_ejected(now):
            return False
        self._until = now + self._seconds
        self._seconds = min(LONGEST_EJECTION, self._seconds * 2)
        return True

    def note_leaving(self, now: float) -> None:
        """Note that the upstream says it is leaving.

        News of it may take seconds to come round; its own refusal is as
        good. Should it come back under the same id, it is asked again soon.

        Failure guarded here: it finishes what it has, and each answer to
        that work would bring it back as well, to refuse new work. Answers
        end an ejection for failures, and not this.

        Args:
            now: seconds.
        """
        self._leaves_until = now + LEAVING_SECONDS

    def note_silent(self, now: float) -> None:
        """Note that nothing is heard of the upstream's owner.

        Failure guarded here: a process stands still for some seconds, its
        port takes connections all the same, and every call that is sent on
        one waits for a second.

        Args:
            now: seconds.
        """
        self._silent_until = now + SILENCE_SECONDS

    def note_chosen(self, now: float) -> None:
        """Note that the upstream gets a call; a probe if it was out.

        Args:
            now: seconds.
        """
        if self._failures >= FAILURES_TO_EJECT and not self.is_ejected(now):
            self._until = now + PROBE_SECONDS

    def note_answer(self) -> bool:
        """Note an answer of the upstream.

        Returns:
            Whether it was left out and is back.
        """
        was_out = self._failures >= FAILURES_TO_EJECT
        self._failures = 0
        self._seconds = FIRST_EJECTION
        self._until = float(0)
        return was_out
