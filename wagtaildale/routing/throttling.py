"""Throttles requests at the entry to what limited upstreams accept.

Upstreams may set a rate limit below the load that comes to them. For each
request an entry draws at random, by the share that each of them accepts,
which ones it may be sent to. So all entries together send each upstream no
more than it accepts, without coordination. A request that may go to none is
rejected at the entry.
"""

from __future__ import annotations

import random
from typing import TYPE_CHECKING, Final

from msgspec import Struct

from wagtaildale.admission.shares import find_pass_rank

if TYPE_CHECKING:
    from collections.abc import Sequence

    from wagtaildale.membership.records import InstanceRecord
    from wagtaildale.routing.choice import RequestContext
    from wagtaildale.routing.known_limits import KnownLimits
    from wagtaildale.routing.statistics import FleetStatistics
    from wagtaildale.types import InstanceId

# Delay before a retry if nearly all requests pass; it grows as fewer pass.
BASE_RETRY_SECONDS: Final = 0.2
MAX_RETRY_SECONDS: Final = 5.0
# Random spread of the delay, so that callers that were rejected together do
# not retry together.
RETRY_SPREAD: Final = 0.5


class Throttled(Struct, frozen=True, kw_only=True, gc=False):
    """Result if no upstream accepts more requests of a rank for now.

    Attributes:
        share: largest share of such requests that any of them accepts.
    """

    share: float

    @property
    def retry_after(self) -> float:
        """Seconds after which the caller may retry."""
        spread = 1 + RETRY_SPREAD * random.uniform(-1, 1)
        return min(MAX_RETRY_SECONDS, spread * BASE_RETRY_SECONDS / self.share)


def find_request_pass_rank(
    priority: int,
    *,
    class_name: str,
    slack_seconds: float,
    statistics: FleetStatistics,
) -> int:
    """Find the rank by which limited upstreams admit a request.

    Requests that are expected to miss their target rank lower. If a service
    accepts only a part of its load, callers retry until they are late, and
    otherwise most of the requests that pass would be answered late.

    Args:
        priority: priority of the request's class; 0 is served first.
        class_name: qualified name of the class, for example ``intake/lookup``.
        slack_seconds: seconds until the target of the class is missed.
        statistics: load, speed and failures of the upstreams.

    Returns:
        Rank as defined in ``admission.shares``.
    """
    usual = statistics.find_usual_seconds(class_name)
    return find_pass_rank(priority, is_late=slack_seconds < usual)


def draw_upstreams(
    candidates: Sequence[InstanceRecord],
    *,
    limits: KnownLimits,
    request: RequestContext,
    now: float,
) -> Sequence[InstanceRecord]:
    """Draw at random which upstreams a request may be sent to.

    Args:
        candidates: upstreams that may take the attempt.
        limits: known limits of the upstreams.
        request: properties of the request that the choice depends on.
        now: current time, in seconds.

    Returns:
        All candidates without a limit, and each limited one with a
        probability equal to the share that it accepts.
    """
    if not limits:
        return candidates
    return [
        record
        for record in candidates
        if _draw_admits(record.instance, limits, request, now)
    ]


def find_largest_share(
    candidates: Sequence[InstanceRecord],
    *,
    limits: KnownLimits,
    request: RequestContext,
    now: float,
) -> float:
    """Find the largest share of such requests that any upstream accepts.

    Args:
        candidates: upstreams that may take the attempt; at least one.
        limits: known limits of the upstreams.
        request: properties of the request that the choice depends on.
        now: current time, in seconds.

    Returns:
        Share above 0, at most 1.
    """
    return max(
        limits.find_share(record.instance, request.pass_rank, now=now)
        for record in candidates
    )


def _draw_admits(
    instance: InstanceId,
    limits: KnownLimits,
    request: RequestContext,
    now: float,
) -> bool:
    if request.is_hedge and limits.is_limited(instance):
        # The capacity of a limited server is kept for requests that have no
        # other attempt under way.
        return False
    share = limits.find_share(instance, request.pass_rank, now=now)
    if request.was_rate_limited:
        # When every server of a service is limited, a request that was refused
        # once would otherwise be refused by one after the other.
        return share >= 1
    return random.random() < share
