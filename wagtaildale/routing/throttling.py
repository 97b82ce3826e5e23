"""Which limited upstreams an entry asks, by the share that passes there.

Load pattern answered: upstreams that name a rate under what comes to them.
Each entry draws for each request which of them it may ask, and all entries
together send each no more than it takes, without asking one another. What may
go to none is rejected where it comes in.
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

# Where all but few pass, a caller that comes back this soon passes as well;
# the fewer pass, the later.
RETRY_SECONDS: Final = 0.2
LONGEST_RETRY_SECONDS: Final = 5.0
# So that those who were rejected together do not come back together.
RETRY_SPREAD: Final = 0.5


class Throttled(Struct, frozen=True, kw_only=True, gc=False):
    """No upstream takes more requests of a rank for now.

    Attributes:
        share: of such requests, the part that passes at the best of them.
    """

    share: float

    @property
    def retry_after(self) -> float:
        """Seconds after which its caller may come back."""
        spread = 1 + RETRY_SPREAD * random.uniform(-1, 1)
        return min(LONGEST_RETRY_SECONDS, spread * RETRY_SECONDS / self.share)


def find_request_rank(
    rank: int,
    *,
    work_class: str,
    slack_seconds: float,
    statistics: FleetStatistics,
) -> int:
    """Find the rank by which a request goes to limited upstreams.

    Load pattern answered: a service takes a part of what comes, callers come
    back until they are late, and what passes is answered late.

    Args:
        rank: of its class; 0 goes first.
        work_class: service and class.
        slack_seconds: until its target is missed.
        statistics: of all upstreams.

    Returns:
        See ``admission.shares``.
    """
    usual = statistics.find_usual_seconds(work_class)
    return find_pass_rank(rank, is_late=slack_seconds < usual)


def draw_upstreams(
    candidates: Sequence[InstanceRecord],
    *,
    limits: KnownLimits,
    request: RequestContext,
    now: float,
) -> Sequence[InstanceRecord]:
    """Draw which upstreams a request may be sent to.

    Args:
        candidates: that may take the attempt.
        limits: that their servers name.
        request: of the request.
        now: seconds.

    Returns:
        Those without a limit, and each of the others with the share that
        passes there.
    """
    if not limits:
        return candidates
    return [
        record
        for record in candidates
        if _may_ask(record.instance, limits, request, now)
    ]


def find_best_share(
    candidates: Sequence[InstanceRecord],
    *,
    limits: KnownLimits,
    request: RequestContext,
    now: float,
) -> float:
    """Find the largest share of such requests that passes at an upstream.

    Args:
        candidates: at least one.
        limits: that their servers name.
        request: of the request.
        now: seconds.

    Returns:
        At most 1.
    """
    return max(
        limits.find_share(record.instance, request.pass_rank, now=now)
        for record in candidates
    )


def _may_ask(
    instance: InstanceId,
    limits: KnownLimits,
    request: RequestContext,
    now: float,
) -> bool:
    if request.is_hedge and limits.has(instance):
        # What a limited server takes is for requests that have no other.
        return False
    share = limits.find_share(instance, request.pass_rank, now=now)
    if request.was_limited:
        # Failure: every server of a service is limited, and each request
        # that passes is refused by one after the other.
        return share >= 1
    return random.random() < share
