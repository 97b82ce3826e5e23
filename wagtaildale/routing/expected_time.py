"""The upstream that is expected to answer first, the near ones preferred.

Load pattern answered: data centres with fewer servers than their callers
need, servers of one service that differ in speed, and bytes between data
centres that cost more than a short wait. A request stays in its own data
centre as long as it need not wait there for long. Where it would, the queue
there only grows while servers elsewhere have room: it goes where it is
answered first, with a handicap for the way and its bytes.
"""

from __future__ import annotations

import random
from typing import TYPE_CHECKING, Final

from msgspec import Struct

from wagtaildale.membership.records import InstanceRecord
from wagtaildale.routing.choice import Chooser, RequestContext

if TYPE_CHECKING:
    from collections.abc import Sequence

    from wagtaildale.routing.statistics import FleetStatistics

# Of the usual time of an answer: what one that takes longer than usual may
# need. With times spread as those of the users' services (a third of the
# mean), nine in ten answers are inside it.
SAFETY: Final = 1.5
# Of the time that is left of the target: a wait up to this is a short one, and
# servers that differ by less are alike.
SHORT_WAIT_SHARE: Final = 0.1
# Of the same: how much sooner another data centre must answer. Where a
# service is full everywhere, the queues differ by less than that, and bytes
# between data centres are not spent on it; a slow or overloaded server beside
# idle ones elsewhere differs by more.
FAR_SHARE: Final = 0.3


class Option(Struct, frozen=True, kw_only=True, gc=False):
    """An upstream that may take a request.

    Attributes:
        record: the upstream.
        wait: seconds until the request would have a slot.
        total: seconds until it would be answered, with a margin.
        cost: the same with the handicap of another data centre.
        crowd: what speaks against it for being full, seconds.
    """

    record: InstanceRecord
    wait: float
    total: float
    cost: float
    crowd: float


class ExpectedTime(Chooser):
    """Chooses by the time until an answer is expected."""

    def choose(
        self,
        candidates: Sequence[InstanceRecord],
        *,
        statistics: FleetStatistics,
        request: RequestContext,
        now: float,
    ) -> InstanceRecord | None:
        """Choose one; see ``Chooser``.

        Args:
            candidates: at least one.
            statistics: what is known of them.
            request: of the request.
            now: seconds.

        Returns:
            The one that takes the attempt; nothing if no other can answer
            in time, and the request may wait where it was.
        """
        near = [
            _weigh(record, statistics, request, now)
            for record in candidates
            if record.data_centre == request.data_centre
        ]
        margin = SHORT_WAIT_SHARE * request.slack_seconds
        in_time = [
            option
            for option in near
            if option.wait <= margin and option.total <= request.slack_seconds
        ]
        if in_time:
            return _choose_alike(in_time, margin).record
        far = [
            _weigh(record, statistics, request, now)
            for record in candidates
            if record.data_centre != request.data_centre
        ]
        best = _find_best([*near, *far])
        if request.may_wait and best.total > request.slack_seconds:
            # Failure: a service is full everywhere, and each request is sent
            # to several servers only to be refused by each of them.
            return None
        return best.record


def _find_best(options: list[Option]) -> Option:
    # Of several alike each entry is to take another one.
    random.shuffle(options)
    return min(options, key=_read_cost)


def _choose_alike(options: list[Option], margin: float) -> Option:
    # Failure: of several servers that have room by what was last heard, all
    # entries take the fastest, until it has none. The fuller a server was,
    # the likelier its slots are taken when the request comes. Far servers are
    # not judged by that: how full they are is heard too seldom, and next to
    # them every near one would look full.
    least = min(map(_read_crowded, options))
    # Failure: of servers that are alike all requests go to the one that was
    # faster by a hair, and nothing is learned of the others for a minute.
    alike = [
        option for option in options if _read_crowded(option) <= least + margin
    ]
    return random.choice(alike)


def _weigh(
    record: InstanceRecord,
    statistics: FleetStatistics,
    request: RequestContext,
    now: float,
) -> Option:
    estimate = statistics.estimate(record.instance, request, now=now)
    usual = statistics.find_usual_seconds(request.work_class)
    margin = (SAFETY - 1) * usual
    total = estimate.wait + estimate.run + margin
    is_near = record.data_centre == request.data_centre
    handicap = 0 if is_near else FAR_SHARE * max(0, request.slack_seconds)
    return Option(
        record=record,
        wait=estimate.wait,
        total=total,
        cost=total + handicap,
        crowd=estimate.run * estimate.fullness**2,
    )


def _read_cost(option: Option) -> float:
    return option.cost


def _read_crowded(option: Option) -> float:
    return option.cost + option.crowd
