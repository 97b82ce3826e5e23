"""Decides whether a short request asks for a free slot before it queues.

An entry gets a report about any one server only every few seconds. If a
request queues at the first owner that expects to be in time, it never learns
of a slot that becomes free at another server a few milliseconds later. With
few slots per server, most waits are then at the wrong server.

Uses no clock, lock or log: callers pass the current time.
"""

from __future__ import annotations

from abc import ABC, abstractmethod
from math import inf
from typing import TYPE_CHECKING, Final, final

from msgspec import Struct

from wagtaildale.routing.placement import ChosenUpstream

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from wagtaildale.membership.records import InstanceRecord
    from wagtaildale.routing.line_check import LinesOverdue
    from wagtaildale.routing.statistics import FleetStatistics
    from wagtaildale.routing.throttling import Throttled
    from wagtaildale.types import DataCentre, InstanceId

# A request is short if its target is less than this many usual run times. One
# with a longer target can wait in a queue and still be in time.
MAX_TARGET_RUN_TIMES: Final = 10
# A refusal costs a round trip, which has to be small against the target.
MIN_TARGET_ROUND_TRIPS: Final = 10
# Weight of a round trip that is longer than the known one. A shorter one
# replaces it at once: measured times include pauses of either process, which
# only ever lengthen them.
ROUND_TRIP_GAIN: Final = 0.05
# Interval at which the reports of a service are searched for a pace. A search
# covers all upstreams, which would take too long for every request.
CHECK_SECONDS: Final = 0.1
# Time for which requests of a class queue at once after an upstream refused one
# of them for overload. Where all servers are full, asking only adds messages.
# A longer pause would suspend asking at moderate load as well, where single
# servers refuse requests now and then.
OVERLOAD_PAUSE_SECONDS: Final = 0.1


class BindingPolicy(ABC):
    """Decides when a request is bound to the queue of one server."""

    @abstractmethod
    def asks_free_slot(self, *, refusals: int) -> bool:
        """Tell whether the next attempt asks for a free slot.

        Args:
            refusals: number of upstreams that had no free slot for the
                request.

        Returns:
            Whether the upstream is asked for a free slot. Otherwise the
            request queues there.
        """


@final
class QueueAtOnce(BindingPolicy):
    """The request queues at the first upstream."""

    def asks_free_slot(self, *, refusals: int) -> bool:
        """Never ask for a free slot; see ``BindingPolicy``.

        Args:
            refusals: number of upstreams that had no free slot.

        Returns:
            False.
        """
        return False


@final
class FreeSlotFirst(BindingPolicy):
    """The request queues only after some upstreams had no free slot.

    Example:
        >>> policy = FreeSlotFirst(max_refusals=1)
        >>> policy.asks_free_slot(refusals=0), policy.asks_free_slot(refusals=1)
        (True, False)
    """

    def __init__(self, *, max_refusals: int) -> None:
        """Create the policy.

        Args:
            max_refusals: number of upstreams that are asked at most.
        """
        self._max_refusals = max_refusals

    def asks_free_slot(self, *, refusals: int) -> bool:
        """Ask until enough upstreams have refused; see ``BindingPolicy``.

        Args:
            refusals: number of upstreams that had no free slot.

        Returns:
            Whether fewer than ``max_refusals`` have refused.
        """
        return refusals < self._max_refusals


DEFAULT_MAX_REFUSALS: Final = 1
DEFAULT_POLICY: Final = FreeSlotFirst(max_refusals=DEFAULT_MAX_REFUSALS)


class BindingRequest(Struct, frozen=True, kw_only=True):
    """Properties of a request that its binding depends on.

    Attributes:
        class_name: name of service and class, for example ``intake/lookup``.
        target_seconds: target of the class, seconds.
        upstreams: upstreams of the service.
        refused: upstreams that had no free slot for the request.
        may_ask_free_slot: whether an attempt that is refused can be followed
            by another one without a retry, and its upstream is free to choose.
    """

    class_name: str
    target_seconds: float
    upstreams: Sequence[InstanceRecord]
    refused: Sequence[InstanceId] = ()
    may_ask_free_slot: bool = True


class LateBinding:
    """Applies a binding policy to the requests of one entry."""

    def __init__(
        self, policy: BindingPolicy, *, statistics: FleetStatistics
    ) -> None:
        """Start without any known round trip.

        Args:
            policy: policy for services whose servers report a pace.
            statistics: load and speed of the upstreams.
        """
        self._policy = policy
        self._statistics = statistics
        self._round_trips: dict[DataCentre, float] = {}
        self._checks: dict[str, tuple[float, bool]] = {}
        self._overloaded_at: dict[str, float] = {}

    def note_round_trip(self, data_centre: DataCentre, seconds: float) -> None:
        """Note the time that an answer took, less the time at its owner.

        Args:
            data_centre: data centre of the owner.
            seconds: time on the way there and back.
        """
        known = self._round_trips.get(data_centre, seconds)
        longer = max(0, seconds - known)
        self._round_trips[data_centre] = (
            min(known, seconds) + longer * ROUND_TRIP_GAIN
        )

    def note_overload(self, class_name: str, *, now: float) -> None:
        """Note that an upstream refused a request for overload.

        Args:
            class_name: name of service and class of the request, which did
                not ask for a free slot.
            now: current time, in seconds.
        """
        self._overloaded_at[class_name] = now

    def place(
        self,
        request: BindingRequest,
        choose: Callable[[], ChosenUpstream | Throttled | LinesOverdue | None],
        *,
        now: float,
    ) -> ChosenUpstream | None:
        """Choose the upstream that is asked for a free slot, if one is.

        Args:
            request: the request.
            choose: chooses the upstream of an attempt that asks for a free
                slot.
            now: current time, in seconds.

        Returns:
            The upstream to ask; nothing if the request queues.
        """
        if not self._is_in_effect(request, now):
            return None
        placed = choose()
        if isinstance(placed, ChosenUpstream) and self._may_ask_upstream(
            request, placed
        ):
            return placed
        return None

    def _is_in_effect(self, request: BindingRequest, now: float) -> bool:
        refusals = len(request.refused)
        if not request.may_ask_free_slot or not self._policy.asks_free_slot(
            refusals=refusals
        ):
            return False
        usual = self._statistics.find_usual_seconds(request.class_name)
        overloaded_at = self._overloaded_at.get(request.class_name, -inf)
        if (
            request.target_seconds >= MAX_TARGET_RUN_TIMES * usual
            or now - overloaded_at < OVERLOAD_PAUSE_SECONDS
        ):
            return False
        return self._has_fresh_pace(request, now)

    def _has_fresh_pace(self, request: BindingRequest, now: float) -> bool:
        checked_at, is_fresh = self._checks.get(
            request.class_name, (-inf, False)
        )
        if now - checked_at < CHECK_SECONDS:
            return is_fresh
        known = self._statistics.known
        is_fresh = any(
            known[record.instance].slowness.has_fresh_pace(now)
            for record in request.upstreams
            if record.instance in known
        )
        self._checks[request.class_name] = (now, is_fresh)
        return is_fresh

    def _may_ask_upstream(
        self, request: BindingRequest, placed: ChosenUpstream
    ) -> bool:
        record = placed.record
        # With a single upstream, the request would be sent to it twice.
        is_alone = placed.is_only_candidate and not request.refused
        if is_alone or record.instance in request.refused:
            return False
        if self._statistics.server_limits.is_limited(record.instance):
            return False
        round_trip = self._round_trips.get(record.data_centre, inf)
        return request.target_seconds >= MIN_TARGET_ROUND_TRIPS * round_trip
