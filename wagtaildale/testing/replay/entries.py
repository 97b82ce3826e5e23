"""An entry with its calls, as the product decides them."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from msgspec import Struct

from wagtaildale.calls.budgets import RetryBudget
from wagtaildale.calls.hedges import HedgeDelays
from wagtaildale.routing.choice import ChooserName
from wagtaildale.routing.choosers import make_chooser
from wagtaildale.routing.placement import Placement
from wagtaildale.routing.statistics import FleetStatistics
from wagtaildale.testing.builders import build_retry_share
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

# Repeats of an entry beyond those that its requests earn.
REPEATS_SLACK: Final = 1.0


class Asked(Struct, frozen=True, kw_only=True):
    """A request as it comes to an entry.

    Attributes:
        work_class: of the request.
        due: when its target is missed, seconds.
        deadline: when its caller gives up, seconds.
        on_answer: is told whether another data centre answered.
        on_failure: is told why there is no answer.
    """

    work_class: LoadClass
    due: float
    deadline: float
    on_answer: Callable[[bool], None]
    on_failure: Callable[[CallFailed], None]


class ReplayEntry:
    """One node as an entry.

    Attributes:
        instance: of the node.
        data_centre: where it stands.
        mesh: that it is in.
        placement: chooses upstreams.
        hedge_delays: say when a second attempt is due.
    """

    def __init__(
        self,
        instance: InstanceId,
        *,
        data_centre: DataCentre,
        mesh: ReplayMesh,
    ) -> None:
        """Start with nothing known.

        Args:
            instance: of the node.
            data_centre: where it stands.
            mesh: that it is in.
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
        self._budgets: dict[str, RetryBudget] = {}

    def ask(self, asked: Asked) -> None:
        """Take a request.

        Args:
            asked: the request.
        """
        budget = self._find_budget(asked.work_class.service)
        budget.earn(now=self.mesh.clock.now)
        ReplayCall(self, asked, budget=budget).attempt()

    def note_condition(self, server: ReplayServer, ratio: float) -> None:
        """Hear that an upstream has turned slow or well, if connected to it.

        Args:
            server: the upstream.
            ratio: of its answers' time over its usual time.
        """
        upstream = self._find_connected(server)
        if upstream is not None:
            upstream.slowness.note_reported_slowness(
                ratio, now=self.mesh.clock.now
            )

    def note_limit(self, server: ReplayServer, named: ServerLimit) -> None:
        """Hear how many requests an upstream takes, if connected to it.

        Args:
            server: the upstream.
            named: its owner's word.
        """
        upstream = self._find_connected(server)
        if upstream is not None:
            self.placement.statistics.server_limits.note(
                upstream.instance,
                named,
                now=self.mesh.clock.now,
            )

    def _find_connected(
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
        share = build_retry_share(slack=REPEATS_SLACK)
        new = RetryBudget(share, now=self.mesh.clock.now)
        return self._budgets.setdefault(service, new)
