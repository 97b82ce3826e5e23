"""Load, speed and failures of one upstream, from the answers seen.

Uses no clock, lock or log: callers pass the current time.
"""

from __future__ import annotations

from typing import Final

from msgspec import Struct

from wagtaildale.admission.incoming_line import LineState
from wagtaildale.errors.codes import Code
from wagtaildale.routing.ejection import Ejection
from wagtaildale.routing.known_limits import ServerLimit
from wagtaildale.routing.known_lines import KnownLines
from wagtaildale.routing.slowness import Slowness, decay_linearly
from wagtaildale.types import UNKNOWN_INCARNATION, Incarnation, InstanceId

# Concurrency limit that is assumed before the first report.
INITIAL_LIMIT: Final = 10
WARM_UP_SECONDS: Final = 10.0
# Addition to the load of a new incarnation, as a fraction of its limit. It
# falls to 0 over WARM_UP_SECONDS.
COLD_LOAD: Final = 0.5
# A load report older than this is not used to estimate waits.
STALE_LOAD_SECONDS: Final = 1.0
# A reported fullness decays linearly to 0 over this time, as a server that was
# busy usually stays so for several request durations.
FULLNESS_DECAY_SECONDS: Final = 5.0
# Failures that count towards an ejection, as they are caused by the upstream
# and not by the request. A missed deadline counts, because a server that hangs
# may cause no other failure.
UPSTREAM_FAULT_CODES: Final = frozenset(
    (
        Code.backend_cut,
        Code.backend_ended,
        Code.backend_unreachable,
        Code.timed_out,
        Code.answer_mismatched,
        Code.wrong_instance,
    ),
)


# Answers with these codes do not end an ejection. An answer with any other
# code does, also if it is a refusal.
CODES_KEEPING_EJECTION: Final = UPSTREAM_FAULT_CODES | {Code.draining}


class OwnerReport(Struct, frozen=True, kw_only=True, gc=False):
    """State that an owner reports with each answer.

    Attributes:
        incarnation: incarnation of the owner's process.
        in_flight: number of requests running at its backend server.
        limit: concurrency limit of the backend server, in requests.
        queued: number of requests waiting for a slot.
        slot_seconds: smoothed seconds that a request of any class holds a
            slot at the usual pace; 0 if not known yet.
        run_seconds: seconds that the answered request took at the backend
            server; 0 if it did not run.
        class_seconds: smoothed seconds of the last few requests of the same
            class at the backend server; 0 if not known yet.
        class_usual_seconds: smoothed seconds of the class over a longer
            time, at the usual pace; 0 if not known yet.
        code: result code of the answer.
        server_limit: rate limit of the backend server; nothing if the owner
            does not know it yet.
        line: state of the line into the owner's node, if its bandwidth is
            known.
        outgoing_line: state of the line out of it, if the owner reports it.
        pace_percent: pace of the backend server; 0 if it does not report it.
    """

    incarnation: Incarnation
    in_flight: int
    limit: int
    queued: int
    slot_seconds: float = 0
    run_seconds: float = 0
    class_seconds: float = 0
    class_usual_seconds: float = 0
    code: Code = Code.ok
    server_limit: ServerLimit | None = None
    line: LineState | None = None
    outgoing_line: LineState | None = None
    pace_percent: int = 0


class UpstreamStatistics:
    """Statistics that an entry keeps of one upstream.

    Attributes:
        instance: id of the upstream.
        incarnation: incarnation of its node's process, as last reported.
        ejection: ejection for failures, for leaving or for unanswered pings.
        pending: number of this entry's requests that are under way there.
        in_flight: number of requests running at its backend server, as last
            reported.
        limit: concurrency limit of the backend server, in requests.
        queued: number of requests waiting for a slot, as last reported.
        slot_seconds: smoothed seconds that a request of any class holds a
            slot, as last reported; 0 while unknown.
        incarnation_known_since: time when this entry first learned of the
            incarnation, seconds.
        load_reported_at: time of the last load report, seconds.
        slowness: time of its answers over the usual time in the fleet.
        lines: what is known of the lines of its node.
    """

    __slots__ = (
        'ejection',
        'in_flight',
        'incarnation',
        'instance',
        'load_reported_at',
        'incarnation_known_since',
        'limit',
        'lines',
        'pending',
        'queued',
        'slot_seconds',
        'slowness',
    )

    def __init__(self, instance: InstanceId, *, now: float) -> None:
        """Start without any report.

        Args:
            instance: id of the upstream.
            now: current time, in seconds.
        """
        self.instance = instance
        self.incarnation = UNKNOWN_INCARNATION
        self.ejection = Ejection()
        self.pending = 0
        self.in_flight = 0
        self.limit = INITIAL_LIMIT
        self.queued = 0
        self.slot_seconds = float(0)
        self.incarnation_known_since = now
        self.load_reported_at = self.incarnation_known_since
        self.slowness = Slowness(now=now)
        self.lines = KnownLines()

    def note_begun(self, now: float) -> None:
        """Count a request that is sent to the upstream.

        Args:
            now: current time, in seconds.
        """
        self.ejection.note_chosen(now)
        self.pending += 1

    def note_ended(self) -> None:
        """Count a request as ended."""
        self.pending -= 1

    def note_answer(self, report: OwnerReport, *, now: float) -> bool:
        """Update load and ejection from the report of an answer.

        Args:
            report: the owner's report.
            now: current time, in seconds.

        Returns:
            Whether the answer ended an ejection.
        """
        if report.incarnation != self.incarnation:
            self.incarnation = report.incarnation
            self.incarnation_known_since = now
        self.note_load(
            in_flight=report.in_flight,
            limit=report.limit,
            queued=report.queued,
            now=now,
        )
        self.lines.note(
            incoming=report.line, outgoing=report.outgoing_line, now=now
        )
        self.slowness.note_pace(report.pace_percent, now=now)
        if report.slot_seconds:
            self.slot_seconds = report.slot_seconds
        if report.code is Code.draining:
            self.ejection.note_leaving(now)
        if report.code in CODES_KEEPING_EJECTION:
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
        """Update the load that the owner reports.

        Args:
            in_flight: number of requests running at its backend server.
            limit: concurrency limit of the backend server, in requests.
            queued: number of requests waiting for a slot.
            now: current time, in seconds.
        """
        self.in_flight = in_flight
        self.limit = max(1, limit)
        self.queued = queued
        self.load_reported_at = now

    def note_run_time(
        self,
        report: OwnerReport,
        *,
        usual_seconds: float,
        now: float,
    ) -> None:
        """Update the slowness of the backend server.

        Args:
            report: the owner's report.
            usual_seconds: usual seconds of the class over all upstreams.
            now: current time, in seconds.
        """
        if usual_seconds <= 0:
            return
        if report.class_seconds > 0 and report.class_usual_seconds > 0:
            self.slowness.note_reported_times(
                report.class_seconds / usual_seconds,
                usual_ratio=report.class_usual_seconds / usual_seconds,
                now=now,
            )
        else:
            self.slowness.note_measured_time(
                report.run_seconds / usual_seconds, now=now
            )

    def measure_load_age(self, now: float) -> float:
        """Measure the age of the last load report.

        Args:
            now: current time, in seconds.

        Returns:
            Age in seconds.
        """
        return now - self.load_reported_at

    def estimate_fullness(self, now: float) -> float:
        """Estimate the fraction of the upstream's slots that are in use.

        Args:
            now: current time, in seconds.

        Returns:
            The larger of the requests that were last reported, which decay
            with the age of the report, and the entry's own pending ones, over
            the limit; above 1 if some wait.
        """
        reported = (self.in_flight + self.queued) / self.limit
        share = self.measure_load_age(now) / FULLNESS_DECAY_SECONDS
        return max(
            decay_linearly(reported, to=0, share=share),
            self.pending / self.limit,
        )

    def estimate_wait(self, run_seconds: float, *, now: float) -> float:
        """Estimate how long a request would wait for a slot.

        A load report older than a second is ignored, as requests change
        faster than that, and an upstream that gets no requests would stay
        avoided. Only the entry's own pending requests count then.

        The requests ahead are assumed to hold their slots for the smoothed
        time of all classes. With the time of the request's own class, a short
        call behind long requests would expect a short wait, and stay with a
        full server while another one is idle.

        Args:
            run_seconds: expected seconds of the request at this upstream;
                used if ``slot_seconds`` is not known.
            now: current time, in seconds.

        Returns:
            Expected wait in seconds.
        """
        ahead = float(self.pending)
        if self.measure_load_age(now) < STALE_LOAD_SECONDS:
            ahead = max(ahead, self.in_flight + self.queued)
        slot_seconds = self.slot_seconds * self.slowness.estimate_pace(now)
        slot_seconds = slot_seconds or run_seconds
        return max(0, ahead + 1 - self.limit) * slot_seconds / self.limit

    def measure_load(self, now: float) -> float:
        """Measure the load of the upstream.

        ``COLD_LOAD`` is added to the load of a new incarnation, and less of it
        with each second of its warm-up. Otherwise all entries would send their
        requests at once to a server that starts cold.

        Args:
            now: current time, in seconds.

        Returns:
            Sum of the requests that were last reported and the entry's own
            pending ones, over the limit, plus the addition for a cold start.
        """
        load = (self.in_flight + self.queued + self.pending) / self.limit
        age = now - self.incarnation_known_since
        if age < WARM_UP_SECONDS:
            load += COLD_LOAD * (1 - age / WARM_UP_SECONDS)
        return load
