"""What an entry knows of each upstream, from the answers it has seen."""

from __future__ import annotations

from math import inf
from typing import TYPE_CHECKING, Final

from msgspec import Struct

from wagtaildale.admission.state import UNKNOWN_SHARE
from wagtaildale.calls.fields import ANY_INCARNATION
from wagtaildale.errors.codes import Code
from wagtaildale.timers.service import read_clock

if TYPE_CHECKING:
    from wagtaildale.calls.fields import AnswerFields
    from wagtaildale.calls.frames import Load
    from wagtaildale.routing.choice import Need
    from wagtaildale.types import InstanceId

MICROSECONDS: Final = 1_000_000
FIRST_LIMIT: Final = 10
WARM_SECONDS: Final = 10.0
COLD_LOAD: Final = 0.5
FAILURES_TO_EJECT: Final = 3
FIRST_EJECTION: Final = 1.0
LONGEST_EJECTION: Final = 30.0
PROBE_SECONDS: Final = 1.0
LEAVING_SECONDS: Final = 3.0
# Told anew with each ping to a silent owner, four a second.
SILENCE_SECONDS: Final = 0.5
# A server that has just started takes about twice its usual time.
COLD_SLOWNESS: Final = 2.0
SLOWNESS_GAIN: Final = 0.1
# One answer in a hundred takes several times the usual time on any server;
# it is to count as slow, not as a sign that the server stands still.
SLOWEST: Final = 4.0
# A server that was slow for a while (five seconds in the users' days) is
# asked again about as soon as it may be well.
SLOWNESS_KEPT_SECONDS: Final = 4.0
STALE_SECONDS: Final = 1.0
USUAL_GAIN: Final = 0.05
# What speaks against an upstream itself, not against one request.
UPSTREAM_FAULTS: Final = frozenset(
    (
        Code.backend_cut,
        Code.backend_unreachable,
        Code.timed_out,
        Code.answer_mismatched,
        Code.wrong_instance,
    ),
)


NO_PRAISE: Final = UPSTREAM_FAULTS | {Code.draining}


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

    def is_out(self, now: float) -> bool:
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
        if self._failures < FAILURES_TO_EJECT or self.is_out(now):
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
        if self._failures >= FAILURES_TO_EJECT and not self.is_out(now):
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


class UpstreamNotes:
    """What is known of one upstream.

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
        slowness: its time for an answer, as a multiple of what is usual for
            the class over all upstreams.
        timed_at: when that was last seen, seconds.
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
        'slowness',
        'timed_at',
    )

    def __init__(self, instance: InstanceId) -> None:
        """Begin with nothing known.

        Args:
            instance: the upstream.
        """
        self.instance = instance
        self.incarnation = ANY_INCARNATION
        self.ejection = Ejection()
        self.pending = 0
        self.in_flight = 0
        self.limit = FIRST_LIMIT
        self.queued = 0
        self.slot_seconds = float(0)
        self.known_since = read_clock()
        self.heard_at = self.known_since
        self.slowness = COLD_SLOWNESS
        self.timed_at = self.known_since

    def note_begun(self) -> None:
        """Count a request that goes there."""
        self.ejection.note_chosen(read_clock())
        self.pending += 1

    def note_ended(self) -> None:
        """Count a request as over."""
        self.pending -= 1

    def note_answer(self, fields: AnswerFields) -> bool:
        """Note what an answer said of its owner.

        Args:
            fields: the answer's.

        Returns:
            Whether the upstream was left out and is back.
        """
        if fields.incarnation != self.incarnation:
            self.incarnation = fields.incarnation
            self.known_since = read_clock()
        self._note_load(fields.in_flight, fields.limit, fields.queued)
        if fields.slot_us:
            self.slot_seconds = fields.slot_us / MICROSECONDS
        if fields.code is Code.draining:
            self.ejection.note_leaving(read_clock())
        if fields.code in NO_PRAISE:
            return False
        return self.ejection.note_answer()

    def note_load(self, load: Load) -> None:
        """Note what an owner tells of itself unasked.

        Args:
            load: its word.
        """
        self._note_load(load.in_flight, load.limit, load.queued)

    def note_time(self, seconds: float, *, usual: float) -> None:
        """Note how long the backend server took for an answer.

        Args:
            seconds: it took.
            usual: what is usual for the class over all upstreams.
        """
        if usual > 0:
            ratio = min(SLOWEST, seconds / usual)
            self.slowness += (ratio - self.slowness) * SLOWNESS_GAIN
            self.timed_at = read_clock()

    @property
    def age(self) -> float:
        """Seconds since it last said how full it is."""
        return read_clock() - self.heard_at

    def find_slowness(self) -> float:
        """Find how slow the upstream is taken to be.

        Failure guarded here: a few slow answers in a row, an upstream that
        is then asked no more, and nothing that would ever show it well
        again. What was seen counts for less by the second.

        Returns:
            Its time as a multiple of what is usual.
        """
        age = read_clock() - self.timed_at
        kept = max(0, 1 - age / SLOWNESS_KEPT_SECONDS)
        return 1 + (self.slowness - 1) * kept

    def estimate_wait(self, usual: float) -> float:
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

        Returns:
            Seconds.
        """
        ahead = float(self.pending)
        if self.age < STALE_SECONDS:
            ahead = max(ahead, self.in_flight + self.queued)
        slot_seconds = self.slot_seconds or usual
        return max(0, ahead + 1 - self.limit) * slot_seconds / self.limit

    def measure_load(self) -> float:
        """Measure how full the upstream is.

        A new one counts as half full at first and less so by the second:
        it starts cold, and is not to be drowned by everybody at once.

        Returns:
            Requests there or on their way, as a share of its limit.
        """
        load = (self.in_flight + self.queued + self.pending) / self.limit
        age = read_clock() - self.known_since
        if age < WARM_SECONDS:
            load += COLD_LOAD * (1 - age / WARM_SECONDS)
        return load

    def _note_load(self, in_flight: int, limit: int, queued: int) -> None:
        self.in_flight = in_flight
        self.limit = max(1, limit)
        self.queued = queued
        self.heard_at = read_clock()


class Estimate(Struct, frozen=True, kw_only=True, gc=False):
    """What a request may expect of an upstream.

    Attributes:
        wait: seconds until it has a slot.
        run: seconds that it then takes.
    """

    wait: float
    run: float


class UpstreamBook:
    """Notes on all upstreams."""

    def __init__(self) -> None:
        """Begin with none."""
        self._notes: dict[InstanceId, UpstreamNotes] = {}
        self._usual: dict[str, float] = {}
        self._born: dict[InstanceId, int] = {}

    def note_time(
        self,
        instance: InstanceId,
        *,
        work_class: str,
        seconds: float,
    ) -> None:
        """Note how long a backend server took for an answer.

        Args:
            instance: which one.
            work_class: service and class.
            seconds: it took.
        """
        usual = self._usual.get(work_class, seconds)
        self._usual[work_class] = usual + (seconds - usual) * USUAL_GAIN
        self.find(instance).note_time(seconds, usual=usual)

    def find_usual_seconds(self, work_class: str) -> float:
        """Find what is usual for a class over all upstreams.

        Args:
            work_class: service and class.

        Returns:
            Seconds at the backend server; 0 before the first answer.
        """
        return self._usual.get(work_class, 0)

    def estimate(self, instance: InstanceId, need: Need) -> Estimate:
        """Estimate when an upstream would answer.

        Args:
            instance: which one.
            need: of the request.

        Returns:
            How long the request would wait there, and run.
        """
        notes = self.find(instance)
        usual = self.find_usual_seconds(need.work_class)
        if not usual and need.slack_seconds < inf:
            # Failure: an entry that has just started takes every upstream
            # for one that answers at once, and sends all to the same few.
            usual = max(0, need.slack_seconds) * UNKNOWN_SHARE
        usual *= notes.find_slowness()
        return Estimate(wait=notes.estimate_wait(usual), run=usual)

    def note_start(self, instance: InstanceId, *, born: int) -> None:
        """Note when an upstream started, as listed.

        Failure guarded here: a server crashes and starts again under its
        id, cold and with nothing to do. It would be judged by what was
        known of it before: left out as failing, or taken for fast.

        Args:
            instance: which one.
            born: Unix millisecond of its start; 0 if not told.
        """
        known = self._born.get(instance, born)
        self._born[instance] = born
        if known != born:
            self._notes[instance] = UpstreamNotes(instance)

    def find(self, instance: InstanceId) -> UpstreamNotes:
        """Find the notes on an upstream.

        Args:
            instance: which.

        Returns:
            Its notes, empty ones for a new upstream.
        """
        notes = self._notes.get(instance)
        if notes is None:
            notes = self._notes.setdefault(instance, UpstreamNotes(instance))
        return notes
