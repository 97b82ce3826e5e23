"""Where a request is tried under which servers have ended."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from wagtaildale.membership.topology import rank_instances
from wagtaildale.suspects.records import HARMFUL_ENDS

if TYPE_CHECKING:
    from wagtaildale.membership.records import InstanceRecord
    from wagtaildale.routing.view import FleetView
    from wagtaildale.suspects.fingerprints import Fingerprint
    from wagtaildale.types import ServiceName

# While it is not known which of those that ran together ended the server,
# most are innocent, and one of these servers may be down.
PLACES: Final = 3


def list_places(
    view: FleetView,
    service: ServiceName,
    *,
    fingerprint: Fingerprint,
    ends: int,
) -> list[InstanceRecord]:
    """List the upstreams at which a suspected request may be tried.

    All nodes with the same list choose the same, so that few servers end
    under a request that comes to many nodes at once.

    Args:
        view: who is listed.
        service: whose upstreams.
        fingerprint: of the request.
        ends: servers that ended under it, one after the other.

    Returns:
        Some upstreams; one alone for a request that is held harmful.
    """
    records = {
        record.instance: record
        for record in view.upstreams.get(service, ())
        if not view.is_away(record)
    }
    ranked = rank_instances(fingerprint.hex(), instances=records)
    count = 1 if ends >= HARMFUL_ENDS else PLACES
    return [records[name] for name in ranked[:count]]
