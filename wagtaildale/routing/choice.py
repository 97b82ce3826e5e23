"""Interface of the choosers, which choose the upstream of an attempt.

Each chooser is a subclass of ``Chooser``; ``choosers.make_chooser`` creates
one by name.
"""

from __future__ import annotations

from abc import ABC, abstractmethod
from enum import Enum
from math import inf
from typing import TYPE_CHECKING, final

from msgspec import Struct

from wagtaildale.admission.incoming_line import UNSOLICITED_BYTES
from wagtaildale.admission.messages import DEFAULT_RANK
from wagtaildale.types import DataCentre

if TYPE_CHECKING:
    from collections.abc import Sequence

    from wagtaildale.membership.records import InstanceRecord
    from wagtaildale.routing.statistics import FleetStatistics


@final
class ChooserName(Enum):
    """Names of the choosers; the last two are baselines for benchmarks."""

    least_loaded = 'least-loaded'
    expected_time = 'expected-time'
    round_robin = 'round-robin'
    random = 'random'


class RequestContext(Struct, frozen=True, kw_only=True):
    """Properties of a request that the choice of its upstream depends on.

    Attributes:
        data_centre: data centre of the entry.
        class_name: name of service and class, for example ``intake/lookup``.
        slack_seconds: seconds until the target of the class is missed.
        may_wait: whether an upstream that refused the request for being full
            would queue it if it were sent there again.
        pass_rank: rank by which limited upstreams admit the request; see
            ``admission.shares.find_pass_rank``.
        is_hedge: whether the attempt runs beside another one of the request
            that has not ended.
        was_rate_limited: whether an upstream refused the request for its rate
            limit.
        body_bytes: size of the request's body; 0 if it is not known.
        is_bulk: whether responses of the class are large.
        deadline_seconds: seconds until the deadline of the call.
        may_probe: whether the request may be sent although no outgoing line
            seems able to carry its response in time; see ``line_check``.
    """

    data_centre: DataCentre
    class_name: str = ''
    slack_seconds: float = inf
    may_wait: bool = False
    pass_rank: int = DEFAULT_RANK
    is_hedge: bool = False
    was_rate_limited: bool = False
    body_bytes: int = 0
    is_bulk: bool = False
    deadline_seconds: float = inf
    may_probe: bool = False

    @property
    def has_large_body(self) -> bool:
        """Whether the body crosses the line of an upstream's node in parts."""
        return self.body_bytes > UNSOLICITED_BYTES


class Chooser(ABC):
    """Chooses one of the candidates for an attempt."""

    @abstractmethod
    def choose(
        self,
        candidates: Sequence[InstanceRecord],
        *,
        statistics: FleetStatistics,
        request: RequestContext,
        now: float,
    ) -> InstanceRecord | None:
        """Choose the upstream of an attempt.

        Args:
            candidates: upstreams that may take the attempt; at least one.
            statistics: load, speed and failures of the upstreams.
            request: properties of the request that the choice depends on.
            now: current time, in seconds.

        Returns:
            The chosen upstream; nothing if the request should rather wait at
            an upstream that refused it (see ``RequestContext.may_wait``).
        """
