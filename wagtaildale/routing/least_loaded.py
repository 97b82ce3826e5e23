"""The less loaded of two drawn upstreams, the near ones first."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING, Final

from wagtaildale.routing.choice import Chooser, RequestContext

if TYPE_CHECKING:
    from collections.abc import Sequence

    from wagtaildale.membership.records import InstanceRecord
    from wagtaildale.routing.statistics import FleetStatistics

# Half full: beyond that a request may have to wait where it goes, and a
# wait costs more than the way to another data centre.
NEAR_ENOUGH: Final = 0.5


class LeastLoaded(Chooser):
    """Power of two choices on what owners report with each answer."""

    def choose(
        self,
        candidates: Sequence[InstanceRecord],
        *,
        statistics: FleetStatistics,
        request: RequestContext,
        now: float,
    ) -> InstanceRecord:
        """Choose one; see ``Chooser``.

        The entry's own data centre goes first; others come in when the
        one drawn there is more than half full.

        Args:
            candidates: at least one.
            statistics: what is known of them.
            request: of the request.
            now: seconds.

        Returns:
            The one that takes the attempt.
        """
        near = [
            record
            for record in candidates
            if record.data_centre == request.data_centre
        ]
        if not near:
            return _choose_of_two(candidates, statistics, now)
        chosen = _choose_of_two(near, statistics, now)
        if _measure(chosen, statistics, now) < NEAR_ENOUGH:
            return chosen
        other = _choose_of_two(candidates, statistics, now)
        return _find_lighter(chosen, other, statistics, now)


def _choose_of_two(
    candidates: Sequence[InstanceRecord],
    statistics: FleetStatistics,
    now: float,
) -> InstanceRecord:
    if len(candidates) == 1:
        return candidates[0]
    first, second = random.sample(candidates, 2)
    return _find_lighter(first, second, statistics, now)


def _find_lighter(
    first: InstanceRecord,
    second: InstanceRecord,
    statistics: FleetStatistics,
    now: float,
) -> InstanceRecord:
    loads = [_measure(each, statistics, now) for each in (first, second)]
    return second if loads[1] < loads[0] else first


def _measure(
    record: InstanceRecord,
    statistics: FleetStatistics,
    now: float,
) -> float:
    return statistics.find(record.instance, now=now).measure_load(now)
