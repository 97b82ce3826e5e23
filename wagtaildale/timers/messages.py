"""Messages of the timer service to its subscribers."""

from __future__ import annotations

from enum import Enum
from typing import final

from msgspec import Struct


@final
class TimerName(Enum):
    """Name of a subscription to the timer service."""

    digest = 'digest'
    rank = 'rank'
    probe = 'probe'
    limits = 'limits'
    metrics = 'metrics'


class Tick(Struct, frozen=True, kw_only=True):
    """The interval of a subscription has passed.

    Attributes:
        name: name of the subscription.
        now: current time on the clock, seconds.
    """

    name: TimerName
    now: float


class WokeLate(Struct, frozen=True, kw_only=True):
    """The process was paused, so its earlier state may be outdated.

    Attributes:
        now: current time on the clock, seconds.
        late_by: time by which the process woke late, seconds.
    """

    now: float
    late_by: float
