"""Chooses the upstream of each attempt, without any input or output."""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING

from msgspec import Struct

from wagtaildale.membership.records import InstanceRecord
from wagtaildale.membership.topology import rank_instances
from wagtaildale.routing.candidates import (
    leave_out_ejected,
    list_service_candidates,
)
from wagtaildale.routing.line_check import LinesOverdue, select_by_line
from wagtaildale.routing.subsets import RankedUpstreams, rank_upstreams
from wagtaildale.routing.throttling import (
    Throttled,
    draw_upstreams,
    find_largest_share,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Collection, Sequence

    from wagtaildale.routing.choice import Chooser, RequestContext
    from wagtaildale.routing.statistics import FleetStatistics
    from wagtaildale.routing.view import FleetView
    from wagtaildale.types import DataCentre, InstanceId, ServiceName


class ChosenUpstream(Struct, frozen=True, kw_only=True, gc=False):
    """The upstream that an attempt is sent to.

    Attributes:
        record: the upstream's record in the instance list.
        is_only_candidate: whether no other upstream may take the attempt.
        pass_share: fraction of the requests of the attempt's pass rank that
            may be sent to the upstream, from 0 to 1.
    """

    record: InstanceRecord
    is_only_candidate: bool
    pass_share: float = 1


class Placement:
    """Chooses the upstreams of one entry's attempts.

    Attributes:
        statistics: load, speed and failures of the upstreams.
    """

    def __init__(
        self,
        entry: InstanceId,
        *,
        data_centre: DataCentre,
        chooser: Chooser,
        statistics: FleetStatistics,
    ) -> None:
        """Start with no ranking computed.

        Args:
            entry: instance of the entry's node.
            data_centre: data centre of the entry.
            chooser: chooses one of the candidates.
            statistics: load, speed and failures of the upstreams.
        """
        self.statistics = statistics
        self._entry = entry
        self._data_centre = data_centre
        self._chooser = chooser
        self._ranked: dict[ServiceName, RankedUpstreams] = {}

    def list_subset(
        self,
        view: FleetView,
        service: ServiceName,
        *,
        now: float,
    ) -> Sequence[InstanceRecord]:
        """List the upstreams of a service that this entry calls.

        Args:
            view: snapshot of routes and instances.
            service: service that the upstreams run.
            now: current time, in seconds.

        Returns:
            The upstreams to keep connections to.
        """
        ranked = self._rank(view, service)
        return ranked.select(
            partial(self._accepts_work, view=view, avoided=()),
            find_weight=partial(self._find_subset_weight, now=now),
        )

    def choose(
        self,
        view: FleetView,
        service: ServiceName,
        *,
        avoided: Collection[InstanceId],
        request: RequestContext,
        now: float,
    ) -> ChosenUpstream | Throttled | LinesOverdue | None:
        """Choose the upstream of an attempt.

        Args:
            view: snapshot that the call is routed by.
            service: service that the upstreams run.
            avoided: ids of upstreams that earlier attempts went to; chosen
                again only if there is no other.
            request: properties of the request that the choice depends on.
            now: current time, in seconds.

        Returns:
            The upstream; ``Throttled`` if no upstream accepts more requests
            of this pass rank for now; ``LinesOverdue`` if no outgoing line
            can carry the response in time; nothing if there is no upstream,
            or if the request should rather wait at an upstream that refused
            it (``request.may_wait``).
        """
        candidates = self._list_subset_candidates(
            view, service, avoided=avoided, now=now
        )
        if not candidates:
            return None
        admitted = draw_upstreams(
            candidates,
            limits=self.statistics.server_limits,
            request=request,
            now=now,
        )
        if not admitted:
            return Throttled(
                share=find_largest_share(
                    candidates,
                    limits=self.statistics.server_limits,
                    request=request,
                    now=now,
                ),
            )
        in_time = select_by_line(
            admitted, statistics=self.statistics, request=request, now=now
        )
        if isinstance(in_time, LinesOverdue):
            return in_time
        record = self._chooser.choose(
            in_time,
            statistics=self.statistics,
            request=request,
            now=now,
        )
        if record is None:
            return None
        limits = self.statistics.server_limits
        return ChosenUpstream(
            record=record,
            is_only_candidate=len(candidates) == 1,
            pass_share=limits.find_share(
                record.instance, request.pass_rank, now=now
            ),
        )

    def choose_by_key(
        self,
        view: FleetView,
        service: ServiceName,
        *,
        key: str,
        avoided: Collection[InstanceId],
    ) -> ChosenUpstream | None:
        """Choose the upstream of a request that has an idempotency key.

        Rendezvous hashing sends repeats of a key to the owner that received
        it first, from whichever entry they come, unless an instance that
        ranks higher for the key has appeared in the list since.

        Args:
            view: snapshot that the call is routed by.
            service: service that the upstreams run.
            key: idempotency key set by the caller.
            avoided: ids of upstreams that earlier attempts went to; chosen
                again only if there is no other.

        Returns:
            The upstream; nothing if there is none.
        """
        candidates = {
            record.instance: record
            for record in list_service_candidates(
                view,
                service=service,
                avoided=avoided,
                leaving_servers=self.statistics.leaving_servers,
            )
        }
        if not candidates:
            return None
        first = rank_instances(key, instances=candidates)[0]
        return ChosenUpstream(
            record=candidates[first], is_only_candidate=len(candidates) == 1
        )

    def _list_subset_candidates(
        self,
        view: FleetView,
        service: ServiceName,
        *,
        avoided: Collection[InstanceId],
        now: float,
    ) -> Sequence[InstanceRecord]:
        ranked = self._rank(view, service)
        accepts_work = partial(self._accepts_work, view=view, avoided=avoided)
        # A limited upstream weighs the share of its requests that it accepts.
        find_weight = partial(self._find_subset_weight, now=now)
        subset = ranked.select(
            partial(
                self._accepts_work_and_is_up, accepts_work=accepts_work, now=now
            ),
            find_weight=find_weight,
        )
        # If every server is reported down, these reports are ignored: a server
        # may have restarted since the last one.
        subset = subset or ranked.select(accepts_work, find_weight=find_weight)
        if not subset:
            candidates = list_service_candidates(
                view,
                service=service,
                avoided=avoided,
                leaving_servers=self.statistics.leaving_servers,
            )
            subset = ranked.select(candidates.__contains__)
        healthy = leave_out_ejected(subset, statistics=self.statistics, now=now)
        if len(healthy) == len(subset):
            return subset
        # Other upstreams of the service replace the ejected ones.
        replacements = ranked.select(
            lambda record: (
                accepts_work(record)
                and not self.statistics.is_ejected(record.instance, now=now)
            ),
            find_weight=find_weight,
        )
        return replacements or healthy

    def _accepts_work(
        self,
        record: InstanceRecord,
        *,
        view: FleetView,
        avoided: Collection[InstanceId],
    ) -> bool:
        if record.instance in avoided or view.is_away(record):
            return False
        return not self.statistics.leaving_servers.is_leaving(record)

    def _accepts_work_and_is_up(
        self,
        record: InstanceRecord,
        *,
        accepts_work: Callable[[InstanceRecord], bool],
        now: float,
    ) -> bool:
        if not accepts_work(record):
            return False
        return not self.statistics.down_servers.is_down(
            record.instance, now=now
        )

    def _find_subset_weight(
        self, record: InstanceRecord, *, now: float
    ) -> float:
        return self.statistics.server_limits.find_limited_rank_share(
            record.instance, now=now
        )

    def _rank(self, view: FleetView, service: ServiceName) -> RankedUpstreams:
        # Ranking a hundred upstreams takes longer than choosing among a
        # dozen, so it is cached until the list changes.
        listed = view.upstreams.get(service, ())
        ranked = self._ranked.get(service)
        if ranked is None or ranked.listed is not listed:
            ranked = rank_upstreams(
                listed,
                entry=self._entry,
                data_centre=self._data_centre,
            )
            self._ranked[service] = ranked
        return ranked
