"""Statistics of all upstreams, from the answers that an entry has seen.

No clock, lock or log here: whoever asks says what time it is.
"""

from __future__ import annotations

from math import inf
from typing import TYPE_CHECKING, Final

from msgspec import Struct

from wagtaildale.admission.state import ASSUMED_TARGET_SHARE
from wagtaildale.routing.down_servers import DownServers
from wagtaildale.routing.known_limits import KnownLimits
from wagtaildale.routing.leavers import Leavers
from wagtaildale.routing.upstream import UpstreamStatistics

if TYPE_CHECKING:
    from collections.abc import Container

    from wagtaildale.routing.choice import Need
    from wagtaildale.routing.upstream import OwnerReport
    from wagtaildale.types import InstanceId

# Of an answer in what is usual for its class: twenty make most of it.
USUAL_GAIN: Final = 0.05


class Estimate(Struct, frozen=True, kw_only=True, gc=False):
    """What a request may expect of an upstream.

    Attributes:
        wait: seconds until it has a slot.
        run: seconds that it then takes.
        fullness: of the upstream's slots, the part that is likely taken.
    """

    wait: float
    run: float
    fullness: float


class FleetStatistics:
    """Statistics of all upstreams.

    Attributes:
        limits: that their servers name.
        leavers: of them, those whose servers have said that they leave.
        down: of them, those whose servers take no connection.
    """

    def __init__(self) -> None:
        """Begin with none."""
        self.limits = KnownLimits()
        self.leavers = Leavers()
        self.down = DownServers()
        self._upstreams: dict[InstanceId, UpstreamStatistics] = {}
        self._usual: dict[str, float] = {}
        self._born: dict[InstanceId, int] = {}

    def note_speed(
        self,
        upstream: UpstreamStatistics,
        report: OwnerReport,
        *,
        work_class: str,
        now: float,
    ) -> None:
        """Note how fast a backend server is.

        Args:
            upstream: whose it is.
            report: its owner's word with an answer.
            work_class: service and class of the request.
            now: seconds.
        """
        if report.run_seconds <= 0:
            return
        seconds = report.class_usual or report.run_seconds
        usual = self._usual.get(work_class, seconds)
        self._usual[work_class] = usual + (seconds - usual) * USUAL_GAIN
        upstream.note_speed(report, usual=usual, now=now)

    def note_overtaken(
        self,
        upstream: UpstreamStatistics,
        *,
        work_class: str,
        seconds: float,
        now: float,
    ) -> None:
        """Note an upstream that had not answered when another one did.

        Failure guarded here: a server turns slow, every attempt there is
        overtaken by a second one, and since no answer ever comes from it the
        next request goes there too.

        Args:
            upstream: which one.
            work_class: service and class of the request.
            seconds: that were waited for it.
            now: seconds.
        """
        usual = self.find_usual_seconds(work_class)
        if usual:
            upstream.speed.note_overtaken(seconds / usual, now=now)

    def find_usual_seconds(self, work_class: str) -> float:
        """Find what is usual for a class over all upstreams.

        Args:
            work_class: service and class.

        Returns:
            Seconds at the backend server; 0 before the first answer.
        """
        return self._usual.get(work_class, 0)

    def estimate(
        self,
        instance: InstanceId,
        need: Need,
        *,
        now: float,
    ) -> Estimate:
        """Estimate when an upstream would answer.

        Args:
            instance: which one.
            need: of the request.
            now: seconds.

        Returns:
            How long the request would wait there, and run.
        """
        upstream = self.find(instance, now=now)
        usual = self.find_usual_seconds(need.work_class)
        if not usual and need.slack_seconds < inf:
            # Failure: an entry that has just started takes every upstream
            # for one that answers at once, and sends all to the same few.
            usual = max(0, need.slack_seconds) * ASSUMED_TARGET_SHARE
        usual *= upstream.speed.find_slowness(now)
        wait = upstream.estimate_wait(usual, now=now)
        return Estimate(
            wait=wait,
            run=usual,
            fullness=upstream.measure_fullness(now),
        )

    def note_start(
        self,
        instance: InstanceId,
        *,
        born: int,
        now: float,
    ) -> None:
        """Note when an upstream started, as listed.

        Failure guarded here: a server crashes and starts again under its
        id, cold and with nothing to do. It would be judged by what was
        known of it before: left out as failing, or taken for fast.

        Args:
            instance: which one.
            born: Unix millisecond of its start; 0 if not told.
            now: seconds.
        """
        known = self._born.get(instance, born)
        self._born[instance] = born
        if known != born:
            self._begin_anew(instance, now)

    def note_watched(
        self,
        instance: InstanceId,
        *,
        is_up: bool,
        now: float,
    ) -> None:
        """Note whether an upstream's server is up, by its owner's word.

        Args:
            instance: which one.
            is_up: whether it takes connections.
            now: seconds.
        """
        if self.down.note(instance, is_up=is_up, now=now):
            self._begin_anew(instance, now)

    def find(
        self,
        instance: InstanceId,
        *,
        now: float,
    ) -> UpstreamStatistics:
        """Find the statistics of an upstream.

        Args:
            instance: which.
            now: seconds.

        Returns:
            What is known of it, nothing for a new one.
        """
        upstream = self._upstreams.get(instance)
        if upstream is None:
            upstream = UpstreamStatistics(instance, now=now)
            self._upstreams[instance] = upstream
        return upstream

    def is_out(self, instance: InstanceId, *, now: float) -> bool:
        """Tell whether an upstream is left out now.

        Args:
            instance: which.
            now: seconds.

        Returns:
            Whether to choose others.
        """
        return self.find(instance, now=now).ejection.is_out(now)

    def keep_only(self, listed: Container[InstanceId]) -> None:
        """Forget the upstreams that are gone.

        Args:
            listed: who is still there.
        """
        self._upstreams = {
            instance: upstream
            for instance, upstream in self._upstreams.items()
            if instance in listed or upstream.pending
        }
        self.limits.keep_only(self._upstreams)
        self._born = {
            instance: born
            for instance, born in self._born.items()
            if instance in listed
        }

    def _begin_anew(self, instance: InstanceId, now: float) -> None:
        self._upstreams[instance] = UpstreamStatistics(instance, now=now)
        self.limits.forget(instance)
        self.leavers.forget(instance)
