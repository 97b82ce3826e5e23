"""Restricts where a request that has crashed servers may run.

Such a request runs again only at servers that it has crashed, so that it takes
down no others. A request that arrives ten times a second and is retried
elsewhere would crash one server after the other while the first ones are still
down.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from wagtaildale.membership.topology import rank_instances
from wagtaildale.suspects.records import Standing

if TYPE_CHECKING:
    from wagtaildale.membership.records import InstanceRecord
    from wagtaildale.routing.view import FleetView
    from wagtaildale.suspects.fingerprints import Fingerprint
    from wagtaildale.suspects.snapshots import Judgement
    from wagtaildale.types import ServiceName


def list_allowed_upstreams(
    view: FleetView,
    service: ServiceName,
    *,
    fingerprint: Fingerprint,
    judgement: Judgement,
) -> list[InstanceRecord]:
    """List the upstreams at which a suspected request may run.

    All nodes with the same list choose the same upstreams, so that a request
    that reaches many nodes at once crashes few servers.

    Args:
        view: snapshot of routes and instances.
        service: service that the upstreams run.
        fingerprint: fingerprint of the request.
        judgement: whether the request may run, and the nodes beside the
            servers that ended while they ran it.

    Returns:
        The upstreams whose servers ended while they ran the request. If none
        of them is listed: one upstream of the service for a request that has
        to run alone, and none for a request that may run like others.
    """
    listed = {
        record.instance: record for record in view.upstreams.get(service, ())
    }
    ranked = rank_instances(fingerprint.hex(), instances=listed)
    allowed = [
        listed[name]
        for name in ranked
        if listed[name].node_id in judgement.nodes
    ]
    if allowed or judgement.standing is Standing.clear:
        return allowed
    present = [name for name in ranked if not view.is_away(listed[name])]
    return [listed[name] for name in present[:1]]
