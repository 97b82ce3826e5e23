"""Which upstreams may take an attempt."""

from __future__ import annotations

from typing import TYPE_CHECKING

from wagtaildale.types import ListedState

if TYPE_CHECKING:
    from collections.abc import Collection, Sequence

    from wagtaildale.membership.records import InstanceRecord
    from wagtaildale.routing.leaving_servers import LeavingServers
    from wagtaildale.routing.statistics import FleetStatistics
    from wagtaildale.routing.view import FleetView
    from wagtaildale.types import InstanceId, ServiceName


def list_candidates(
    view: FleetView,
    *,
    service: ServiceName,
    tried: Collection[InstanceId],
    leaving_servers: LeavingServers,
) -> list[InstanceRecord]:
    """List the upstreams that may take an attempt.

    Args:
        view: the snapshot that the call goes by.
        service: whose upstreams.
        tried: instances that earlier attempts of the call went to.
        leaving_servers: servers that have said that they leave.

    Failure guarded here: in a rolling restart the news that an instance is
    back comes a moment after that the last other one leaves, and a call is
    refused though a server is there. Who is away by news alone is asked
    before any is asked a second time: a wrong guess costs a refusal.

    Returns:
        Those not away and not tried; else those away by news and not tried;
        else all. Those that have said that they leave are never among them.
    """
    listed = [
        record
        for record in view.upstreams.get(service, ())
        if not leaving_servers.has(record)
    ]
    fresh = [record for record in listed if record.instance not in tried]
    present = [record for record in fresh if not view.is_away(record)]
    back = [record for record in fresh if record.state is ListedState.live]
    return present or back or listed


def leave_out_ejected(
    candidates: Sequence[InstanceRecord],
    *,
    statistics: FleetStatistics,
    now: float,
) -> Sequence[InstanceRecord]:
    """Leave out the upstreams that failed of late, at most half of all.

    Failure guarded here: everything fails for a moment (a cut line at this
    entry) and it leaves out the whole service, or puts all load on what is
    left. When more than half are out, none is left out.

    Args:
        candidates: that may take the attempt.
        statistics: what is known of them.
        now: seconds.

    Returns:
        Those in good standing.
    """
    good = [
        record
        for record in candidates
        if not statistics.is_ejected(record.instance, now=now)
    ]
    return good if 2 * len(good) >= len(candidates) else candidates
