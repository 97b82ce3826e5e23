"""Chooses the less loaded of two random upstreams, near ones first."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING, Final

from wagtaildale.routing.choice import Chooser, RequestContext

if TYPE_CHECKING:
    from collections.abc import Sequence

    from wagtaildale.membership.records import InstanceRecord
    from wagtaildale.routing.statistics import FleetStatistics

# Load from which upstreams in other data centres are considered. Above half
# load a request may have to wait, and a wait costs more than the round trip to
# another data centre.
MIN_LOAD_FOR_FAR_CHOICE: Final = 0.5


class LeastLoadedChooser(Chooser):
    """Power of two choices, by the load that owners report with answers."""

    def choose(
        self,
        candidates: Sequence[InstanceRecord],
        *,
        statistics: FleetStatistics,
        request: RequestContext,
        now: float,
    ) -> InstanceRecord:
        """Choose an upstream; see ``Chooser``.

        The entry's own data centre is preferred; others are considered when
        the upstream chosen there is at least half full.

        Args:
            candidates: upstreams that may take the attempt; at least one.
            statistics: load, speed and failures of the upstreams.
            request: properties of the request that the choice depends on.
            now: current time, in seconds.

        Returns:
            The chosen upstream.
        """
        near = [
            record
            for record in candidates
            if record.data_centre == request.data_centre
        ]
        if not near:
            return _choose_of_two(candidates, statistics, now)
        chosen = _choose_of_two(near, statistics, now)
        if _measure_load(chosen, statistics, now) < MIN_LOAD_FOR_FAR_CHOICE:
            return chosen
        other = _choose_of_two(candidates, statistics, now)
        return _find_less_loaded(chosen, other, statistics, now)


def _choose_of_two(
    candidates: Sequence[InstanceRecord],
    statistics: FleetStatistics,
    now: float,
) -> InstanceRecord:
    if len(candidates) == 1:
        return candidates[0]
    first, second = random.sample(candidates, 2)
    return _find_less_loaded(first, second, statistics, now)


def _find_less_loaded(
    first: InstanceRecord,
    second: InstanceRecord,
    statistics: FleetStatistics,
    now: float,
) -> InstanceRecord:
    loads = [_measure_load(each, statistics, now) for each in (first, second)]
    return second if loads[1] < loads[0] else first


def _measure_load(
    record: InstanceRecord,
    statistics: FleetStatistics,
    now: float,
) -> float:
    return statistics.find(record.instance, now=now).measure_load(now)
