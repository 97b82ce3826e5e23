"""Where a request may run under which servers have ended.

Load pattern answered: a request comes ten times a second and ends each server
that runs it. Tried elsewhere, it takes one server after the other while the
first ones are still down. It goes back to where a server ended under it: so
it never has more than that one down.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from wagtaildale.membership.topology import rank_instances
from wagtaildale.suspects.records import Standing

if TYPE_CHECKING:
    from wagtaildale.membership.records import InstanceRecord
    from wagtaildale.routing.view import FleetView
    from wagtaildale.suspects.snapshots import Judgement
    from wagtaildale.suspects.fingerprints import Fingerprint
    from wagtaildale.types import ServiceName


def list_places(
    view: FleetView,
    service: ServiceName,
    *,
    fingerprint: Fingerprint,
    judgement: Judgement,
) -> list[InstanceRecord]:
    """List the upstreams at which a suspected request may run.

    All nodes with the same list choose alike, so that few servers end under a
    request that comes to many nodes at once.

    Args:
        view: who is listed.
        service: whose upstreams.
        fingerprint: of the request.
        judgement: what is known of it.

    Returns:
        Those where a server ended under it. If they are gone: one of the
        service for a request that is to run alone, and none for one that may
        run like others.
    """
    listed = {
        record.instance: record for record in view.upstreams.get(service, ())
    }
    ranked = rank_instances(fingerprint.hex(), instances=listed)
    places = [
        listed[name]
        for name in ranked
        if listed[name].node_id in judgement.nodes
    ]
    if places or judgement.standing is Standing.clear:
        return places
    present = [name for name in ranked if not view.is_away(listed[name])]
    return [listed[name] for name in present[:1]]
