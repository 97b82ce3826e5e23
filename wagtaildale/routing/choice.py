"""How the upstream of an attempt is chosen: the plug point.

Each way is a module behind ``Chooser``; ``choosers.make_chooser`` makes one.
"""

from __future__ import annotations

from abc import ABC, abstractmethod
from enum import Enum
from math import inf
from typing import TYPE_CHECKING, final

from msgspec import Struct

from wagtaildale.admission.messages import DEFAULT_RANK
from wagtaildale.types import DataCentre

if TYPE_CHECKING:
    from collections.abc import Sequence

    from wagtaildale.membership.records import InstanceRecord
    from wagtaildale.routing.statistics import FleetStatistics


@final
class ChoiceName(Enum):
    """The ways there are; the last two are baselines to measure."""

    least_loaded = 'least-loaded'
    expected_time = 'expected-time'
    round_robin = 'round-robin'
    random = 'random'


class Need(Struct, frozen=True, kw_only=True):
    """What a request needs of its upstream.

    Attributes:
        data_centre: the entry's own.
        work_class: service and class.
        slack_seconds: until the target of the class is missed.
        may_wait: whether it can wait at an upstream that was full.
        pass_rank: by which limited upstreams are drawn; see
            ``admission.shares``.
        is_spare: whether it is asked for beside an attempt that goes on.
        was_limited: whether an upstream had no token for it.
    """

    data_centre: DataCentre
    work_class: str = ''
    slack_seconds: float = inf
    may_wait: bool = False
    pass_rank: int = DEFAULT_RANK
    is_spare: bool = False
    was_limited: bool = False


class Chooser(ABC):
    """Chooses among candidates."""

    @abstractmethod
    def choose(
        self,
        candidates: Sequence[InstanceRecord],
        *,
        statistics: FleetStatistics,
        need: Need,
        now: float,
    ) -> InstanceRecord | None:
        """Choose one.

        Args:
            candidates: upstreams that may take the attempt; at least one.
            statistics: what is known of them.
            need: of the request.
            now: seconds.

        Returns:
            The one that takes it, or nothing if the request had better wait
            where it can (``need.may_wait``).
        """
