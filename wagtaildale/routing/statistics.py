"""Statistics of all upstreams, from the answers that an entry has seen.

Uses no clock, lock or log: callers pass the current time.
"""

from __future__ import annotations

from math import inf
from types import MappingProxyType
from typing import TYPE_CHECKING, Final

from msgspec import Struct

from wagtaildale.admission.pace import USUAL_PERCENT
from wagtaildale.admission.state import ASSUMED_TARGET_SHARE
from wagtaildale.routing.down_servers import DownServers
from wagtaildale.routing.known_limits import KnownLimits
from wagtaildale.routing.leaving_servers import LeavingServers
from wagtaildale.routing.response_sizes import ResponseSizes
from wagtaildale.routing.upstream import UpstreamStatistics

if TYPE_CHECKING:
    from collections.abc import Container

    from wagtaildale.routing.choice import RequestContext
    from wagtaildale.routing.upstream import OwnerReport
    from wagtaildale.types import InstanceId

# Weight of one answer in the exponentially smoothed time of its class, whose
# memory is about twenty answers.
USUAL_GAIN: Final = 0.05


class Estimate(Struct, frozen=True, kw_only=True, gc=False):
    """Expected times of a request at an upstream.

    Attributes:
        wait: seconds until the request gets a slot.
        run: seconds that the request then takes.
        fullness: estimated fraction of the upstream's slots in use; above 1
            if requests wait.
    """

    wait: float
    run: float
    fullness: float


class FleetStatistics:
    """Statistics of all upstreams.

    Attributes:
        server_limits: rate limits that the backend servers have set.
        leaving_servers: servers that have announced that they leave.
        down_servers: upstreams whose backend servers accept no connections.
        response_sizes: mean response sizes of the bulk classes.
        known: read-only view of the statistics by upstream. Unlike ``find``,
            it creates none, which would count the upstream as cold from then
            on.
    """

    def __init__(self) -> None:
        """Start without any upstream."""
        self.server_limits = KnownLimits()
        self.leaving_servers = LeavingServers()
        self.down_servers = DownServers()
        self.response_sizes = ResponseSizes()
        self._upstreams: dict[InstanceId, UpstreamStatistics] = {}
        self.known = MappingProxyType(self._upstreams)
        self._usual_seconds_by_class: dict[str, float] = {}
        self._started_ms: dict[InstanceId, int] = {}

    def note_run_time(
        self,
        upstream: UpstreamStatistics,
        report: OwnerReport,
        *,
        class_name: str,
        now: float,
    ) -> None:
        """Update the usual time of a class and the slowness of an upstream.

        Args:
            upstream: statistics of the upstream that answered.
            report: the owner's report with the answer.
            class_name: name of service and class, for example
                ``intake/lookup``.
            now: current time, in seconds.
        """
        if report.run_seconds <= 0:
            return
        # Measured times take precedence: the product is near the time that
        # the owner measures, whatever pace the server reports.
        pace = report.pace_percent / USUAL_PERCENT or 1
        seconds = report.class_usual_seconds * pace or report.run_seconds
        usual = self._usual_seconds_by_class.get(class_name, seconds)
        self._usual_seconds_by_class[class_name] = (
            usual + (seconds - usual) * USUAL_GAIN
        )
        upstream.note_run_time(report, usual_seconds=usual, now=now)

    def note_unfinished_attempt(
        self,
        upstream: UpstreamStatistics,
        *,
        class_name: str,
        seconds: float,
        now: float,
    ) -> None:
        """Note an attempt that was unfinished when another one was answered.

        If a server becomes slow, its attempts are cancelled each time because
        a hedge is answered first, so no answer shows that it is slow. Counting
        the wait as a slow answer keeps the next requests away from it.

        Args:
            upstream: statistics of the upstream that did not answer.
            class_name: name of service and class, for example
                ``intake/lookup``.
            seconds: seconds that its answer was waited for.
            now: current time, in seconds.
        """
        usual = self.find_usual_seconds(class_name)
        if usual:
            upstream.slowness.note_unfinished_attempt(seconds / usual, now=now)

    def find_usual_seconds(self, class_name: str) -> float:
        """Find the usual time of a class over all upstreams.

        Args:
            class_name: name of service and class, for example
                ``intake/lookup``.

        Returns:
            Smoothed seconds at the backend server; 0 before the first answer.
        """
        return self._usual_seconds_by_class.get(class_name, 0)

    def estimate(
        self,
        instance: InstanceId,
        request: RequestContext,
        *,
        now: float,
    ) -> Estimate:
        """Estimate when an upstream would answer.

        Args:
            instance: id of the upstream.
            request: properties of the request that the choice depends on.
            now: current time, in seconds.

        Returns:
            The expected wait and run time of the request there.
        """
        upstream = self.find(instance, now=now)
        usual = self.find_usual_seconds(request.class_name)
        if not usual and request.slack_seconds < inf:
            # Without this guess, an entry that has just started would expect
            # an immediate answer from every upstream, and send all requests
            # to the same few.
            usual = max(0, request.slack_seconds) * ASSUMED_TARGET_SHARE
        usual *= upstream.slowness.estimate(now)
        wait = upstream.estimate_wait(usual, now=now)
        if request.has_large_body:
            line = upstream.lines.incoming
            wait += line.estimate_wait(now)
            usual += line.estimate_transfer(request.body_bytes)
        if request.is_bulk:
            # The backlog of the line shrinks while the request waits for a
            # slot, so the two waits are not added.
            line = upstream.lines.outgoing
            wait = max(wait, line.estimate_wait(now))
            usual += line.estimate_transfer(
                self.response_sizes.find_mean(request.class_name)
            )
        return Estimate(
            wait=wait,
            run=usual,
            fullness=upstream.estimate_fullness(now),
        )

    def note_start_time(
        self,
        instance: InstanceId,
        *,
        started_ms: int,
        now: float,
    ) -> None:
        """Note the start time of an upstream, as listed.

        A new start time resets the statistics of the upstream. A server that
        crashed and restarted under its id is cold and idle. With the old
        statistics it would stay ejected for its failures, or be expected to
        answer as fast as before the crash.

        Args:
            instance: id of the upstream.
            started_ms: listed start time, Unix milliseconds; 0 if not listed.
            now: current time, in seconds.
        """
        known = self._started_ms.get(instance, started_ms)
        self._started_ms[instance] = started_ms
        if known != started_ms:
            self._reset_upstream(instance, now)

    def note_server_state(
        self,
        instance: InstanceId,
        *,
        is_up: bool,
        now: float,
    ) -> None:
        """Note whether an upstream's backend server is up.

        Args:
            instance: id of the upstream.
            is_up: whether the server accepts connections, as its owner
                reports.
            now: current time, in seconds.
        """
        if self.down_servers.note(instance, is_up=is_up, now=now):
            self._reset_upstream(instance, now)

    def find(
        self,
        instance: InstanceId,
        *,
        now: float,
    ) -> UpstreamStatistics:
        """Find the statistics of an upstream.

        Args:
            instance: id of the upstream.
            now: current time, in seconds.

        Returns:
            Its statistics, created empty on first use.
        """
        upstream = self._upstreams.get(instance)
        if upstream is None:
            upstream = UpstreamStatistics(instance, now=now)
            self._upstreams[instance] = upstream
        return upstream

    def is_ejected(self, instance: InstanceId, *, now: float) -> bool:
        """Tell whether an upstream is ejected now.

        Args:
            instance: id of the upstream.
            now: current time, in seconds.

        Returns:
            Whether requests should go to other upstreams.
        """
        return self.find(instance, now=now).ejection.is_ejected(now)

    def keep_only(self, listed: Container[InstanceId]) -> None:
        """Remove the statistics of upstreams that are no longer listed.

        Args:
            listed: instances that are still listed.
        """
        for known in tuple(self._upstreams.values()):
            if known.instance not in listed and not known.pending:
                self._upstreams.pop(known.instance)
        self.server_limits.keep_only(self._upstreams)
        self._started_ms = {
            instance: started_ms
            for instance, started_ms in self._started_ms.items()
            if instance in listed
        }

    def _reset_upstream(self, instance: InstanceId, now: float) -> None:
        self._upstreams[instance] = UpstreamStatistics(instance, now=now)
        self.server_limits.forget(instance)
        self.leaving_servers.forget(instance)
