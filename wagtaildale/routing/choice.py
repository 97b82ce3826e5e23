"""Chooses the upstream of an attempt: the less loaded of two drawn ones."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from collections.abc import Collection, Sequence

    from wagtaildale.membership.records import InstanceRecord
    from wagtaildale.routing.book import UpstreamBook
    from wagtaildale.routing.view import FleetView
    from wagtaildale.types import DataCentre, InstanceId, ServiceName

FULL: Final = 1.0


def list_candidates(
    view: FleetView,
    *,
    service: ServiceName,
    tried: Collection[InstanceId],
) -> list[InstanceRecord]:
    """List the upstreams that may take an attempt.

    Args:
        view: the snapshot that the call goes by.
        service: whose upstreams.
        tried: instances that earlier attempts of the call went to.

    Returns:
        Those that are not away; those tried before only if no other is.
    """
    present = [
        record
        for record in view.upstreams.get(service, ())
        if record.instance not in view.away
    ]
    fresh = [record for record in present if record.instance not in tried]
    return fresh or present


def choose_upstream(
    candidates: Sequence[InstanceRecord],
    *,
    book: UpstreamBook,
    data_centre: DataCentre,
) -> InstanceRecord | None:
    """Choose among candidates.

    The entry's own data centre goes first; others come in when both drawn
    ones there are full.

    Args:
        candidates: upstreams that may take the attempt.
        book: what is known of them.
        data_centre: the entry's own.

    Returns:
        One of them, or nothing if there is none.
    """
    near = [
        record for record in candidates if record.data_centre == data_centre
    ]
    chosen = _choose_of_two(near, book)
    if chosen is not None and _measure(chosen, book) < FULL:
        return chosen
    return _choose_of_two(candidates, book) or chosen


def _choose_of_two(
    candidates: Sequence[InstanceRecord],
    book: UpstreamBook,
) -> InstanceRecord | None:
    if len(candidates) < 2:
        return candidates[0] if candidates else None
    first = random.choice(candidates)
    second = random.choice(candidates)
    if _measure(second, book) < _measure(first, book):
        return second
    return first


def _measure(record: InstanceRecord, book: UpstreamBook) -> float:
    return book.find(record.instance).measure_load()
