"""Where an entry places an attempt: decided without input or output."""

from __future__ import annotations

from typing import TYPE_CHECKING

from msgspec import Struct

from wagtaildale.routing.candidates import leave_out_ejected, take_subset
from wagtaildale.routing.choice import Chooser, Need
from wagtaildale.routing.statistics import FleetStatistics
from wagtaildale.types import InstanceId

if TYPE_CHECKING:
    from collections.abc import Sequence

    from wagtaildale.membership.records import InstanceRecord


class Placement(Struct, frozen=True, kw_only=True):
    """Places the attempts of one entry.

    Attributes:
        entry: instance of the node that chooses.
        chooser: of upstreams.
        statistics: what is known of them.
    """

    entry: InstanceId
    chooser: Chooser
    statistics: FleetStatistics

    def narrow(
        self,
        records: Sequence[InstanceRecord],
    ) -> Sequence[InstanceRecord]:
        """Narrow the upstreams of a large service to this entry's subset.

        Args:
            records: of one service.

        Returns:
            Those that this entry calls.
        """
        return take_subset(records, entry=self.entry)

    def choose(
        self,
        candidates: Sequence[InstanceRecord],
        *,
        need: Need,
        now: float,
    ) -> InstanceRecord | None:
        """Choose the upstream of an attempt.

        Args:
            candidates: that may take it; at least one.
            need: of the request.
            now: seconds.

        Returns:
            The one that takes it, or nothing if the request had better wait
            where it can (``need.may_wait``).
        """
        good = leave_out_ejected(
            candidates,
            statistics=self.statistics,
            now=now,
        )
        return self.chooser.choose(
            self.narrow(good),
            statistics=self.statistics,
            need=need,
            now=now,
        )
