"""What an entry knows of one upstream, from the answers that it has seen.

No clock, lock or log here: whoever asks says what time it is.
"""

from __future__ import annotations

from typing import Final

from msgspec import Struct

from wagtaildale.errors.codes import Code
from wagtaildale.routing.ejection import Ejection
from wagtaildale.routing.known_limits import NamedLimit
from wagtaildale.routing.speed import Speed, fade
from wagtaildale.types import UNKNOWN_INCARNATION, Incarnation, InstanceId

FIRST_LIMIT: Final = 10
WARM_SECONDS: Final = 10.0
COLD_LOAD: Final = 0.5
STALE_SECONDS: Final = 1.0
# Requests come and go, but a server that was busy is likely to be so some
# runs later.
FULLNESS_KEPT_SECONDS: Final = 5.0
# What speaks against an upstream itself, not against one request.
UPSTREAM_FAULTS: Final = frozenset(
    (
        Code.backend_cut,
        Code.backend_ended,
        Code.backend_unreachable,
        Code.timed_out,
        Code.answer_mismatched,
        Code.wrong_instance,
    ),
)


NO_PRAISE: Final = UPSTREAM_FAULTS | {Code.draining}


class OwnerReport(Struct, frozen=True, kw_only=True, gc=False):
    """What an owner says of itself with an answer.

    Attributes:
        incarnation: of its process.
        in_flight: requests that run at its backend server.
        limit: how many may.
        queued: requests that wait there.
        slot_seconds: that a request of any class holds a slot there; 0 if
            it does not know yet.
        run_seconds: that the answered request took at the backend server;
            0 if it did not run.
        class_seconds: that requests of its class take there now; 0 if the
            owner does not know yet.
        class_usual: the same over a longer time.
        code: of the answer.
        named: what its server takes; nothing if it has not heard that yet.
    """

    incarnation: Incarnation
    in_flight: int
    limit: int
    queued: int
    slot_seconds: float = 0
    run_seconds: float = 0
    class_seconds: float = 0
    class_usual: float = 0
    code: Code = Code.ok
    named: NamedLimit | None = None


class UpstreamStatistics:
    """What an entry knows of one upstream.

    Attributes:
        instance: the upstream.
        incarnation: of its node's process, as last answered.
        ejection: whether it is left out for its failures.
        pending: requests that this entry has under way there.
        in_flight: requests at its backend server, as last answered.
        limit: how many may be.
        queued: requests that wait there.
        slot_seconds: that a request of any class holds a slot there, as
            last answered; 0 while it is not known.
        known_since: when this entry first heard of this incarnation.
        heard_at: when it last said how full it is, seconds.
        speed: how fast it is.
    """

    __slots__ = (
        'ejection',
        'in_flight',
        'incarnation',
        'instance',
        'heard_at',
        'known_since',
        'limit',
        'pending',
        'queued',
        'slot_seconds',
        'speed',
    )

    def __init__(self, instance: InstanceId, *, now: float) -> None:
        """Begin with nothing known.

        Args:
            instance: the upstream.
            now: seconds.
        """
        self.instance = instance
        self.incarnation = UNKNOWN_INCARNATION
        self.ejection = Ejection()
        self.pending = 0
        self.in_flight = 0
        self.limit = FIRST_LIMIT
        self.queued = 0
        self.slot_seconds = float(0)
        self.known_since = now
        self.heard_at = self.known_since
        self.speed = Speed(now=now)

    def note_begun(self, now: float) -> None:
        """Count a request that goes there.

        Args:
            now: seconds.
        """
        self.ejection.note_chosen(now)
        self.pending += 1

    def note_ended(self) -> None:
        """Count a request as over."""
        self.pending -= 1

    def note_answer(self, report: OwnerReport, *, now: float) -> bool:
        """Note what an answer said of its owner.

        Args:
            report: the owner's word.
            now: seconds.

        Returns:
            Whether the upstream was left out and is back.
        """
        if report.incarnation != self.incarnation:
            self.incarnation = report.incarnation
            self.known_since = now
        self.note_load(
            in_flight=report.in_flight,
            limit=report.limit,
            queued=report.queued,
            now=now,
        )
        if report.slot_seconds:
            self.slot_seconds = report.slot_seconds
        if report.code is Code.draining:
            self.ejection.note_leaving(now)
        if report.code in NO_PRAISE:
            return False
        return self.ejection.note_answer()

    def note_load(
        self,
        *,
        in_flight: int,
        limit: int,
        queued: int,
        now: float,
    ) -> None:
        """Note how full an owner says it is.

        Args:
            in_flight: requests that run at its backend server.
            limit: how many may.
            queued: requests that wait there.
            now: seconds.
        """
        self.in_flight = in_flight
        self.limit = max(1, limit)
        self.queued = queued
        self.heard_at = now

    def note_speed(
        self,
        report: OwnerReport,
        *,
        usual: float,
        now: float,
    ) -> None:
        """Note how fast the backend server is.

        Args:
            report: the owner's word.
            usual: seconds that are usual for the class over all upstreams.
            now: seconds.
        """
        if usual <= 0:
            return
        if report.class_seconds > 0 and report.class_usual > 0:
            self.speed.note_told(
                report.class_seconds / usual,
                usual_ratio=report.class_usual / usual,
                now=now,
            )
        else:
            self.speed.note_seen(report.run_seconds / usual, now=now)

    def measure_age(self, now: float) -> float:
        """Measure how old its last word on how full it is has become.

        Args:
            now: seconds.

        Returns:
            Seconds.
        """
        return now - self.heard_at

    def measure_fullness(self, now: float) -> float:
        """Measure which part of its slots is likely to be taken.

        Args:
            now: seconds.

        Returns:
            Requests there, as a share of its limit; over 1 if some wait.
        """
        told = (self.in_flight + self.queued) / self.limit
        share = self.measure_age(now) / FULLNESS_KEPT_SECONDS
        return max(fade(told, to=0, share=share), self.pending / self.limit)

    def estimate_wait(self, usual: float, *, now: float) -> float:
        """Estimate how long a request would wait for a slot.

        What was heard over a second ago says little: requests come and go
        faster. The upstream then counts as having just room, so that it is
        asked again.

        Failure guarded here: a short call waits behind long requests, its
        wait is taken for that of as many short ones, and it stays with a
        full server while another one is idle. What is ahead holds its slots
        for as long as requests of any class do.

        Args:
            usual: seconds of a request here.
            now: seconds.

        Returns:
            Seconds.
        """
        ahead = float(self.pending)
        if self.measure_age(now) < STALE_SECONDS:
            ahead = max(ahead, self.in_flight + self.queued)
        slot_seconds = self.slot_seconds or usual
        return max(0, ahead + 1 - self.limit) * slot_seconds / self.limit

    def measure_load(self, now: float) -> float:
        """Measure how full the upstream is.

        A new one counts as half full at first and less so by the second:
        it starts cold, and is not to be drowned by everybody at once.

        Args:
            now: seconds.

        Returns:
            Requests there or on their way, as a share of its limit.
        """
        load = (self.in_flight + self.queued + self.pending) / self.limit
        age = now - self.known_since
        if age < WARM_SECONDS:
            load += COLD_LOAD * (1 - age / WARM_SECONDS)
        return load
