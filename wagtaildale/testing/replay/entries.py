"""Simulated entry, which places calls by the production code."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from msgspec import Struct

from wagtaildale.calls.entry.budgets import RetryBudget
from wagtaildale.calls.entry.hedges import HedgeDelays
from wagtaildale.routing.binding import LateBinding
from wagtaildale.routing.choice import ChooserName
from wagtaildale.routing.choosers import make_chooser
from wagtaildale.routing.placement import Placement
from wagtaildale.routing.statistics import FleetStatistics
from wagtaildale.testing.builders import build_retry_limits
from wagtaildale.testing.replay.calls import ReplayCall
from wagtaildale.testing.replay.load import LoadClass
from wagtaildale.types import DataCentre, InstanceId

if TYPE_CHECKING:
    from collections.abc import Callable

    from wagtaildale.calls.failures import CallFailed
    from wagtaildale.routing.known_limits import ServerLimit
    from wagtaildale.routing.upstream import UpstreamStatistics
    from wagtaildale.testing.replay.mesh import ReplayMesh
    from wagtaildale.testing.replay.servers import ReplayServer

# Retries that an entry may send beyond those that its requests earn.
RETRY_SLACK: Final = 1.0


class ReplayRequest(Struct, frozen=True, kw_only=True):
    """A request that an entry receives.

    Attributes:
        work_class: class of the request.
        target_at: time after which an answer misses the target of the class,
            seconds.
        deadline: time at which the caller stops waiting, seconds.
        on_answer: called with the answer; its argument is whether an
            upstream in another data centre answered.
        on_failure: called with the failure if there is no answer.
    """

    work_class: LoadClass
    target_at: float
    deadline: float
    on_answer: Callable[[bool], None]
    on_failure: Callable[[CallFailed], None]


class ReplayEntry:
    """Entry of one simulated node.

    Attributes:
        instance: instance id of the node.
        data_centre: data centre of the node.
        mesh: simulated mesh that the node belongs to.
        placement: chooses the upstream of each attempt.
        hedge_delays: delays before a hedge, by class.
        binding: decides which attempts ask for a free slot.
    """

    def __init__(
        self,
        instance: InstanceId,
        *,
        data_centre: DataCentre,
        mesh: ReplayMesh,
    ) -> None:
        """Start without statistics of upstreams.

        Args:
            instance: instance id of the node.
            data_centre: data centre of the node.
            mesh: simulated mesh that the node belongs to.
        """
        self.instance = instance
        self.data_centre = data_centre
        self.mesh = mesh
        self.hedge_delays = HedgeDelays()
        self.placement = Placement(
            instance,
            data_centre=data_centre,
            chooser=make_chooser(ChooserName.expected_time),
            statistics=FleetStatistics(),
        )
        self.binding = LateBinding(
            mesh.binding_policy, statistics=self.placement.statistics
        )
        self._budgets: dict[str, RetryBudget] = {}

    def take_request(self, request: ReplayRequest) -> None:
        """Receive a request and send its first attempt.

        Args:
            request: the request.
        """
        budget = self._find_budget(request.work_class.service)
        budget.earn(now=self.mesh.clock.now)
        ReplayCall(self, request, budget=budget).send_attempt()

    def note_slowness(self, server: ReplayServer, ratio: float) -> None:
        """Record an announced slowness, if the upstream is in the subset.

        Args:
            server: the upstream.
            ratio: its current run time divided by its usual run time.
        """
        upstream = self._find_in_subset(server)
        if upstream is not None:
            upstream.slowness.note_reported_slowness(
                ratio, now=self.mesh.clock.now
            )

    def note_pace(self, server: ReplayServer, percent: int) -> None:
        """Record an announced pace, if the upstream is in the subset.

        Args:
            server: the upstream.
            percent: its current run time in percent of its usual one.
        """
        upstream = self._find_in_subset(server)
        if upstream is not None:
            upstream.slowness.note_pace(percent, now=self.mesh.clock.now)

    def note_limit(self, server: ReplayServer, limit: ServerLimit) -> None:
        """Record an announced rate limit, if the upstream is in the subset.

        Args:
            server: the upstream.
            limit: the limit that its owner announces.
        """
        upstream = self._find_in_subset(server)
        if upstream is not None:
            self.placement.statistics.server_limits.note(
                upstream.instance,
                limit,
                now=self.mesh.clock.now,
            )

    def _find_in_subset(
        self,
        server: ReplayServer,
    ) -> UpstreamStatistics | None:
        record = server.record
        view = self.mesh.view.current
        now = self.mesh.clock.now
        placement = self.placement
        if record in placement.list_subset(view, record.service, now=now):
            return placement.statistics.find(record.instance, now=now)
        return None

    def _find_budget(self, service: str) -> RetryBudget:
        share = build_retry_limits(slack=RETRY_SLACK)
        new_budget = RetryBudget(share, now=self.mesh.clock.now)
        return self._budgets.setdefault(service, new_budget)
