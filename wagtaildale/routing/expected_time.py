"""Chooses the upstream that is expected to answer first, near ones preferred.

Data centres may have fewer servers than their callers need, servers of one
service differ in speed, and bytes between data centres cost more than a short
wait. A request stays in its own data centre as long as it does not have to
wait there for long. Otherwise the queue there would grow while servers
elsewhere have room, so the request goes where it is expected to be answered
first, with a handicap on other data centres for the distance and the bytes.
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

# Multiple of the usual time that is reserved for a slower answer. Nine in ten
# answers take less if times spread by a third of their mean, as they do in
# users' services.
SAFETY_FACTOR: Final = 1.5
# Longest wait that counts as short, as a fraction of the time left until the
# target. Upstreams whose costs differ by less count as equal.
SHORT_WAIT_SHARE: Final = 0.1
# How much sooner an upstream in another data centre must answer, as a fraction
# of the time left until the target. It is small enough to leave a slow or
# overloaded server for an idle one elsewhere, and large enough to stay in the
# data centre if the service is full everywhere, when queues differ by less and
# a change would only cost bytes between data centres.
FAR_HANDICAP_SHARE: Final = 0.3


class ScoredUpstream(Struct, frozen=True, kw_only=True, gc=False):
    """A candidate with the times that are expected of it.

    Attributes:
        record: the candidate's record in the instance list.
        wait: seconds until the request would get a slot.
        total: seconds until the answer, with a safety margin.
        cost: ``total`` plus the handicap of another data centre, seconds.
        fullness_penalty: addition to the cost for slots in use, seconds.
    """

    record: InstanceRecord
    wait: float
    total: float
    cost: float
    fullness_penalty: float


class ExpectedTimeChooser(Chooser):
    """Chooses the upstream with the shortest expected time to an answer."""

    def choose(
        self,
        candidates: Sequence[InstanceRecord],
        *,
        statistics: FleetStatistics,
        request: RequestContext,
        now: float,
    ) -> InstanceRecord | None:
        """Choose an upstream; see ``Chooser``.

        Args:
            candidates: upstreams that may take the attempt; at least one.
            statistics: load, speed and failures of the upstreams.
            request: properties of the request that the choice depends on.
            now: current time, in seconds.

        Returns:
            The chosen upstream; nothing if no candidate can answer in time
            and the request may wait at an upstream that refused it.
        """
        near = [
            _score(record, statistics, request, now)
            for record in candidates
            if record.data_centre == request.data_centre
        ]
        short_wait = SHORT_WAIT_SHARE * request.slack_seconds
        in_time = [
            option
            for option in near
            if option.wait <= short_wait
            and option.total <= request.slack_seconds
        ]
        if in_time:
            return _choose_similar(in_time, short_wait).record
        far = [
            _score(record, statistics, request, now)
            for record in candidates
            if record.data_centre != request.data_centre
        ]
        best = _find_best([*near, *far])
        if request.may_wait and best.total > request.slack_seconds:
            # When a service is full everywhere, trying more servers only
            # collects more refusals.
            return None
        return best.record


def _find_best(options: list[ScoredUpstream]) -> ScoredUpstream:
    # The shuffle keeps all entries from choosing the same of several equal
    # upstreams.
    random.shuffle(options)
    return min(options, key=_read_cost)


def _choose_similar(
    options: list[ScoredUpstream], short_wait: float
) -> ScoredUpstream:
    # The penalty spreads requests over servers by fullness, as reports are
    # always a little old: the fuller a server was, the more likely its slots
    # are in use when the request arrives. Without it, all entries would choose
    # the fastest server with free slots until it has none. The penalty is not
    # used for far servers: their load is reported too seldom, and compared to
    # them every near one would look full.
    lowest_cost = min(map(_read_penalised_cost, options))
    # One of the similar servers is chosen at random. Otherwise all requests
    # would go to the one that was minimally faster, and the statistics of the
    # others would not be updated for a minute.
    similar = [
        option
        for option in options
        if _read_penalised_cost(option) <= lowest_cost + short_wait
    ]
    return random.choice(similar)


def _score(
    record: InstanceRecord,
    statistics: FleetStatistics,
    request: RequestContext,
    now: float,
) -> ScoredUpstream:
    estimate = statistics.estimate(record.instance, request, now=now)
    usual = statistics.find_usual_seconds(request.class_name)
    safety_margin = (SAFETY_FACTOR - 1) * usual
    total = estimate.wait + estimate.run + safety_margin
    is_near = record.data_centre == request.data_centre
    handicap = (
        0 if is_near else FAR_HANDICAP_SHARE * max(0, request.slack_seconds)
    )
    return ScoredUpstream(
        record=record,
        wait=estimate.wait,
        total=total,
        cost=total + handicap,
        fullness_penalty=estimate.run * estimate.fullness**2,
    )


def _read_cost(option: ScoredUpstream) -> float:
    return option.cost


def _read_penalised_cost(option: ScoredUpstream) -> float:
    return option.cost + option.fullness_penalty
