"""Finds the upstreams whose outgoing lines can carry a large response in time.

Load pattern: downloads demand more than the lines of a service carry, while
slots are free. Each request would be sent to an owner that refuses it, or
whose line delivers the response after its target. The entry refuses such a
request before it sends anything, by what owners report of their lines.

Uses no clock and no socket: callers pass the current time.
"""

from __future__ import annotations

import random
from math import inf
from typing import TYPE_CHECKING, Final

from msgspec import Struct

from wagtaildale.admission.retry_delays import spread_retry_delay

if TYPE_CHECKING:
    from collections.abc import Sequence

    from wagtaildale.membership.records import InstanceRecord
    from wagtaildale.routing.choice import RequestContext
    from wagtaildale.routing.statistics import FleetStatistics

# Fraction of the requests that would be refused and are sent nevertheless.
# Their answers carry new reports, so an entry whose reports are old notices
# the end of a backlog.
PROBE_SHARE: Final = 0.05


class LinesOverdue(Struct, frozen=True, kw_only=True, gc=False):
    """Result if no outgoing line can carry the response in time.

    Attributes:
        seconds: by how much the response would be late on the best line.
        upstreams: number of upstreams that were considered.
    """

    seconds: float
    upstreams: int

    @property
    def retry_after(self) -> float:
        """Seconds after which the caller may retry."""
        return spread_retry_delay(self.seconds)


def select_by_line(
    candidates: Sequence[InstanceRecord],
    *,
    statistics: FleetStatistics,
    request: RequestContext,
    now: float,
) -> Sequence[InstanceRecord] | LinesOverdue:
    """Select the upstreams whose outgoing lines can carry the response.

    Args:
        candidates: upstreams that may take the attempt; at least one.
        statistics: load, speed and failures of the upstreams.
        request: properties of the request that the choice depends on.
        now: current time, in seconds.

    Returns:
        The upstreams that can; all if the class is not bulk; the best one if
        none can and the request is sent as a probe; else how late the
        response would be.
    """
    if not request.is_bulk:
        return candidates
    overdue = [
        find_overdue_seconds(record, statistics, request, now=now)
        for record in candidates
    ]
    in_time = [
        record
        for record, seconds in zip(candidates, overdue, strict=True)
        if seconds <= 0
    ]
    if in_time:
        return in_time
    least = min(overdue)
    if request.may_probe and random.random() < PROBE_SHARE:
        return [candidates[overdue.index(least)]]
    return LinesOverdue(seconds=least, upstreams=len(candidates))


def find_overdue_seconds(
    record: InstanceRecord,
    statistics: FleetStatistics,
    request: RequestContext,
    *,
    now: float,
) -> float:
    """Estimate by how much a response would be late because of the line.

    A response that would miss its target even on an idle line is measured by
    the deadline, as owners do for requests that are patient.

    Args:
        record: the upstream.
        statistics: load, speed and failures of the upstreams.
        request: properties of the request.
        now: current time, in seconds.

    Returns:
        Seconds; not above 0 if the line does not make it late. A line whose
        backlog leaves while the request runs adds no delay, and one that the
        owner does not report is never the cause.
    """
    line = statistics.find(record.instance, now=now).lines.outgoing
    wait = line.estimate_wait(now)
    run = statistics.find_usual_seconds(request.class_name)
    if not line.is_known or wait <= run:
        return -inf
    transfer = line.estimate_transfer(
        statistics.response_sizes.find_mean(request.class_name)
    )
    is_hopeless = run + transfer > request.slack_seconds
    limit = request.deadline_seconds if is_hopeless else request.slack_seconds
    return wait + transfer - limit
