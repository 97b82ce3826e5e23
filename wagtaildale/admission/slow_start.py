"""Bounds the rate of a backend server that has just started.

Load pattern: a server, or all servers of a data centre at once, come back and
are slow for some seconds. They end again if they get their usual rate. Their
owner alone sees all that reaches a server, so the bound is kept there.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from msgspec import Struct

from wagtaildale.configuration.model import LONGEST_SLOW_START_SECONDS

if TYPE_CHECKING:
    from wagtaildale.configuration.model import SlowStart
    from wagtaildale.settings.model import BoundSettings

# Part of the published slack that is used for bursts; the rest covers requests
# that are sent apart and arrive together.
SLACK_SHARE: Final = 0.5
MIN_BURST: Final = 1.0


class SlowStartBound(Struct, frozen=True, kw_only=True, gc=False):
    """Bound on what a server gets until it is warm.

    Attributes:
        per_second: requests per second.
        burst: requests that may be sent at once.
        until: time at which the server is warm, seconds.
    """

    per_second: float
    burst: float
    until: float

    @property
    def most_in_second(self) -> int:
        """Most requests that may be sent in any second; at least one."""
        return max(1, int(self.per_second + self.burst))


def build_bound(
    slow_start: SlowStart,
    *,
    bounds: BoundSettings,
    left_seconds: float,
    now: float,
) -> SlowStartBound:
    """Build the bound of a server that is cold.

    Args:
        slow_start: slow start of the service's servers.
        bounds: what the operators tolerate beyond the rate.
        left_seconds: time until the server is warm, seconds.
        now: current time, seconds.

    Returns:
        The bound.
    """
    return SlowStartBound(
        per_second=slow_start.per_second * bounds.slow_start_factor,
        burst=_find_burst(bounds),
        until=now + left_seconds,
    )


def build_unconfigured_bound(
    bounds: BoundSettings, *, now: float
) -> SlowStartBound:
    """Build the bound of a server of which no configuration is known.

    A cold server bears more than the slack alone, whatever its rate is.

    Args:
        bounds: what the operators tolerate beyond the rate.
        now: current time, seconds.

    Returns:
        The bound.
    """
    burst = _find_burst(bounds)
    return SlowStartBound(
        per_second=max(0, bounds.slow_start_slack - burst),
        burst=burst,
        until=now + LONGEST_SLOW_START_SECONDS,
    )


def _find_burst(bounds: BoundSettings) -> float:
    return max(MIN_BURST, bounds.slow_start_slack * SLACK_SHARE)
