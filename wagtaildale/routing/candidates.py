"""Lists the upstreams that an attempt may be sent to."""

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


def list_service_candidates(
    view: FleetView,
    *,
    service: ServiceName,
    avoided: Collection[InstanceId],
    leaving_servers: LeavingServers,
) -> list[InstanceRecord]:
    """List the upstreams that may take an attempt.

    Upstreams that only gossip reports as away are used before any upstream is
    tried a second time. In a rolling restart, gossip that an instance has
    restarted may arrive a moment after gossip that the last other one leaves,
    and a call in between would be refused although a server is ready. If the
    gossip is right, the attempt costs one refusal.

    Args:
        view: snapshot that the call is routed by.
        service: service that the upstreams run.
        avoided: ids of upstreams that earlier attempts of the call went to;
            used only if there is no other.
        leaving_servers: servers that have announced that they leave.

    Returns:
        Upstreams that are neither away nor avoided; if there are none, those
        that are not avoided and that only gossip reports as away; if there
        are none either, all. Servers that are listed as leaving or have
        announced it are never included.
    """
    staying = [
        record
        for record in view.upstreams.get(service, ())
        if not is_known_to_leave(record, leaving_servers=leaving_servers)
    ]
    untried = [record for record in staying if record.instance not in avoided]
    present = [record for record in untried if not view.is_away(record)]
    return present or untried or staying


def is_known_to_leave(
    record: InstanceRecord, *, leaving_servers: LeavingServers
) -> bool:
    """Tell whether a server is known to leave.

    Args:
        record: the server's record in the instance list.
        leaving_servers: servers that have announced that they leave.

    Returns:
        Whether it is listed as leaving or has announced it.
    """
    if record.state is ListedState.leaving:
        return True
    return leaving_servers.is_leaving(record)


def leave_out_ejected(
    candidates: Sequence[InstanceRecord],
    *,
    statistics: FleetStatistics,
    now: float,
) -> Sequence[InstanceRecord]:
    """Leave out the ejected upstreams, unless they are more than half.

    If the entry's own network fails for a moment, every call fails and it
    would eject the whole service, or put all load on the few that are left.
    So when more than half are ejected, none is left out.

    Args:
        candidates: upstreams that may take the attempt.
        statistics: load, speed and failures of the upstreams.
        now: current time, in seconds.

    Returns:
        The candidates that are not ejected, or all.
    """
    healthy = [
        record
        for record in candidates
        if not statistics.is_ejected(record.instance, now=now)
    ]
    return healthy if 2 * len(healthy) >= len(candidates) else candidates
