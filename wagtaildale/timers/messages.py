"""What the timer service tells its subscribers."""

from __future__ import annotations

from enum import Enum
from typing import final

from msgspec import Struct


@final
class TimerName(Enum):
    """Which subscription a tick belongs to."""

    digest = 'digest'
    rank = 'rank'
    probe = 'probe'
    limits = 'limits'
    metrics = 'metrics'


class Tick(Struct, frozen=True, kw_only=True):
    """The time of a subscription has come.

    Attributes:
        name: the subscription.
        now: monotonic seconds.
    """

    name: TimerName
    now: float


class WokeLate(Struct, frozen=True, kw_only=True):
    """The process was paused: what was prepared before is suspect.

    Attributes:
        now: monotonic seconds.
        late_by: seconds that passed unseen.
    """

    now: float
    late_by: float
