"""How fast an upstream is, by its owner's word.

Load pattern answered: servers of one service on machines of unlike speed, in
a fleet so large that an entry visits each of them every few seconds. By its
own visits it would need a minute to learn that one takes twice as long, and
a slow server with an equal share of the requests is full while half of the
slots of the service are free. Its owner sees every run: one word of it
counts at once.
"""

from __future__ import annotations

from typing import Final

# One answer in a hundred takes several times the usual time on any server;
# it is to count as slow, not as a sign that the server stands still.
SLOWEST: Final = 4.0
FASTEST: Final = 0.25
# A server that has just started takes about twice its usual time.
COLD_SLOWNESS: Final = 2.0
# Of one answer's time, where its owner does not tell how long answers take.
SEEN_GAIN: Final = 0.1
# What makes a server slower than it usually is (a pause, a full disk, a cold
# start) passes, and who avoids it does not see it end. Its owner tells that;
# should its word be lost, the server is asked again after this long. With a
# dozen near servers an entry that asks a few times a second would spend a
# third of its requests on such questions after four seconds.
SLOWNESS_KEPT_SECONDS: Final = 15.0
# A server of which nothing was heard may have started a moment ago.
COLD_SECONDS: Final = 4.0
# A server's usual speed is that of its machine. Should the word on it be
# wrong, a detour of a minute is all that it costs.
SPEED_KEPT_SECONDS: Final = 60.0


class Speed:
    """The time of one upstream's answers, over what is usual for the class.

    Example:
        >>> speed = Speed(now=0)
        >>> speed.note_told(0.6, usual_ratio=0.5, now=10)
        >>> round(speed.find_slowness(10), 2), round(speed.find_slowness(12), 2)
        (0.6, 0.56)
    """

    __slots__ = ('_kept_seconds', '_noted_at', '_slowness', '_usual')

    def __init__(self, *, now: float) -> None:
        """Begin with an upstream that may be cold.

        Args:
            now: seconds.
        """
        self._slowness = COLD_SLOWNESS
        self._usual = float(1)
        self._noted_at = now
        self._kept_seconds = COLD_SECONDS

    def note_told(
        self,
        ratio: float,
        *,
        usual_ratio: float,
        now: float,
    ) -> None:
        """Note what the owner says.

        Args:
            ratio: its answers' time now over what is usual in the fleet.
            usual_ratio: the same over a longer time.
            now: seconds.
        """
        self._usual = _bound(usual_ratio)
        self._keep(_bound(ratio), now)

    def note_seen(self, ratio: float, *, now: float) -> None:
        """Note the time of one answer, where the owner says nothing.

        Args:
            ratio: of that time over what is usual in the fleet.
            now: seconds.
        """
        self._slowness += (_bound(ratio) - self._slowness) * SEEN_GAIN
        self._noted_at = now

    def note_condition(self, ratio: float, *, now: float) -> None:
        """Note that the upstream has turned slow, or well again.

        Args:
            ratio: of its answers' time now over its own usual time.
            now: seconds.
        """
        self._keep(_bound(ratio * self._usual), now)

    def note_overtaken(self, ratio: float, *, now: float) -> None:
        """Note an answer that did not come before another one's.

        Args:
            ratio: of the time waited for it over what is usual.
            now: seconds.
        """
        if _bound(ratio) > self.find_slowness(now):
            self._keep(_bound(ratio), now)

    def find_slowness(self, now: float) -> float:
        """Find how slow the upstream is taken to be.

        Failure guarded here: a few slow answers in a row, an upstream that
        is then asked no more, and nothing that would ever show it well
        again. What was heard counts for less by the second.

        Args:
            now: seconds.

        Returns:
            Its time as a multiple of what is usual.
        """
        age = now - self._noted_at
        usual = fade(self._usual, to=1, share=age / SPEED_KEPT_SECONDS)
        if age >= self._kept_seconds:
            return usual
        share = age / self._kept_seconds
        return fade(self._slowness, to=usual, share=share)

    def _keep(self, slowness: float, now: float) -> None:
        self._slowness = slowness
        self._noted_at = now
        self._kept_seconds = SLOWNESS_KEPT_SECONDS


def fade(figure: float, *, to: float, share: float) -> float:
    """Let a figure go towards another one, in a straight line.

    Args:
        figure: as it was heard.
        to: where it ends.
        share: of the way, over 1 at its end.

    Returns:
        The figure on its way.
    """
    return to if share >= 1 else to + (figure - to) * (1 - share)


def _bound(ratio: float) -> float:
    return min(SLOWEST, max(FASTEST, ratio))
