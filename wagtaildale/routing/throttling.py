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

# Delay before a retry if all requests are accepted; it is divided by the share
# that is accepted.
BASE_RETRY_SECONDS: Final = 0.2
MAX_RETRY_SECONDS: Final = 5.0
# Random spread of the delay, so that callers that were rejected together do
# not retry together.
RETRY_SPREAD: Final = 0.5


class Throttled(Struct, frozen=True, kw_only=True, gc=False):
    """Result if the random draw admits a request to no upstream.

    Attributes:
        share: largest share of the requests of its pass rank that any
            upstream accepts.
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
    """Find the pass rank by which limited upstreams admit a request.

    A request that will probably miss its target gets a lower rank. Otherwise,
    while a service rejects a part of its load, most of the requests that pass
    would be late retries.

    Args:
        priority: priority of the request's class; 0 is served first.
        class_name: name of service and class, for example ``intake/lookup``.
        slack_seconds: seconds until the target of the class is missed.
        statistics: load, speed and failures of the upstreams.

    Returns:
        Pass rank as defined in ``admission.shares``.
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
    """Find the largest share of a request's pass rank that is accepted.

    Args:
        candidates: upstreams that may take the attempt; at least one.
        limits: known limits of the upstreams.
        request: properties of the request that the choice depends on.
        now: current time, in seconds.

    Returns:
        Largest share that any candidate accepts, above 0 and at most 1.
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
        # A request that was refused for a rate limit is sent only to servers
        # without a limit for its rank. Otherwise, if every server of a service
        # is limited, one after the other would refuse it.
        return share >= 1
    return random.random() < share
