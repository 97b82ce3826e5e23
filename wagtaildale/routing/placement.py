"""Where an entry places an attempt: decided without input or output."""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING

from msgspec import Struct

from wagtaildale.membership.records import InstanceRecord
from wagtaildale.membership.topology import rank_instances
from wagtaildale.routing.candidates import leave_out_ejected, list_candidates
from wagtaildale.routing.subsets import RankedUpstreams, rank_upstreams
from wagtaildale.routing.throttling import (
    Throttled,
    draw_upstreams,
    find_best_share,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Collection, Sequence

    from wagtaildale.routing.choice import Chooser, RequestContext
    from wagtaildale.routing.statistics import FleetStatistics
    from wagtaildale.routing.view import FleetView
    from wagtaildale.types import DataCentre, InstanceId, ServiceName


class ChosenUpstream(Struct, frozen=True, kw_only=True, gc=False):
    """Where an attempt goes.

    Attributes:
        record: of the upstream.
        is_only_candidate: whether no other one may take it.
        share: of such requests, the part that may go there.
    """

    record: InstanceRecord
    is_only_candidate: bool
    share: float = 1


class Placement:
    """Places the attempts of one entry.

    Attributes:
        statistics: what is known of upstreams.
    """

    def __init__(
        self,
        entry: InstanceId,
        *,
        data_centre: DataCentre,
        chooser: Chooser,
        statistics: FleetStatistics,
    ) -> None:
        """Prepare.

        Args:
            entry: instance of the node that chooses.
            data_centre: its own.
            chooser: of upstreams.
            statistics: what is known of them.
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
            view: who is listed.
            service: whose upstreams.
            now: seconds.

        Returns:
            Those to keep connections to.
        """
        ranked = self._rank(view, service)
        return ranked.take(
            partial(self._takes_work, view=view, excluded=()),
            weigh=partial(self._weigh, now=now),
        )

    def choose(
        self,
        view: FleetView,
        service: ServiceName,
        *,
        excluded: Collection[InstanceId],
        request: RequestContext,
        now: float,
    ) -> ChosenUpstream | Throttled | None:
        """Choose the upstream of an attempt.

        Args:
            view: the snapshot that the call goes by.
            service: whose upstreams.
            excluded: upstreams that need not be asked again.
            request: of the request.
            now: seconds.

        Returns:
            Where it goes; ``Throttled`` if no upstream takes more requests
            of its rank for now; nothing if there is no upstream, or if the
            request had better wait where it can (``need.may_wait``).
        """
        candidates = self._list(view, service, excluded=excluded, now=now)
        if not candidates:
            return None
        drawn = draw_upstreams(
            candidates,
            limits=self.statistics.limits,
            request=request,
            now=now,
        )
        if not drawn:
            return Throttled(
                share=find_best_share(
                    candidates,
                    limits=self.statistics.limits,
                    request=request,
                    now=now,
                ),
            )
        record = self._chooser.choose(
            drawn,
            statistics=self.statistics,
            request=request,
            now=now,
        )
        if record is None:
            return None
        limits = self.statistics.limits
        return ChosenUpstream(
            record=record,
            is_only_candidate=len(candidates) == 1,
            share=limits.find_share(
                record.instance, request.pass_rank, now=now
            ),
        )

    def choose_by_key(
        self,
        view: FleetView,
        service: ServiceName,
        *,
        key: str,
        excluded: Collection[InstanceId],
    ) -> ChosenUpstream | None:
        """Choose the upstream of a request that a caller may repeat by key.

        A repeat of the same key goes to the owner that saw it first, from
        whichever entry, as long as the list of those present has not changed
        in its favour.

        Args:
            view: the snapshot that the call goes by.
            service: whose upstreams.
            key: the caller's own.
            excluded: upstreams that need not be asked again.

        Returns:
            Where it goes; nothing if there is no upstream.
        """
        candidates = {
            record.instance: record
            for record in list_candidates(
                view,
                service=service,
                tried=excluded,
                leaving_servers=self.statistics.leaving_servers,
            )
        }
        if not candidates:
            return None
        first = rank_instances(key, instances=candidates)[0]
        return ChosenUpstream(
            record=candidates[first], is_only_candidate=len(candidates) == 1
        )

    def _list(
        self,
        view: FleetView,
        service: ServiceName,
        *,
        excluded: Collection[InstanceId],
        now: float,
    ) -> Sequence[InstanceRecord]:
        ranked = self._rank(view, service)
        takes_work = partial(self._takes_work, view=view, excluded=excluded)
        weigh = partial(self._weigh, now=now)
        subset = ranked.take(
            partial(self._is_up, takes_work=takes_work, now=now),
            weigh=weigh,
        )
        # Where all are said to be down, one may just be back.
        subset = subset or ranked.take(takes_work, weigh=weigh)
        if not subset:
            candidates = list_candidates(
                view,
                service=service,
                tried=excluded,
                leaving_servers=self.statistics.leaving_servers,
            )
            subset = ranked.take(candidates.__contains__)
        good = leave_out_ejected(subset, statistics=self.statistics, now=now)
        if len(good) == len(subset):
            return subset
        # Others of the service take the places of those left out.
        in_place = ranked.take(
            lambda record: (
                takes_work(record)
                and not self.statistics.is_ejected(record.instance, now=now)
            ),
            weigh=weigh,
        )
        return in_place or good

    def _takes_work(
        self,
        record: InstanceRecord,
        *,
        view: FleetView,
        excluded: Collection[InstanceId],
    ) -> bool:
        if record.instance in excluded or view.is_away(record):
            return False
        return not self.statistics.leaving_servers.has(record)

    def _is_up(
        self,
        record: InstanceRecord,
        *,
        takes_work: Callable[[InstanceRecord], bool],
        now: float,
    ) -> bool:
        if not takes_work(record):
            return False
        return not self.statistics.down.has(record.instance, now=now)

    def _weigh(self, record: InstanceRecord, *, now: float) -> float:
        return self.statistics.limits.find_accepted_share(
            record.instance, now=now
        )

    def _rank(self, view: FleetView, service: ServiceName) -> RankedUpstreams:
        # Ranking a hundred upstreams takes longer than choosing among a
        # dozen: it is done once for each list, not for each attempt.
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
