"""Tracks departed instances that an older platform copy lists as live.

An instance that announced that it leaves, or was removed from the list, does
not return under the same start time. If the platform comes back from an older
copy, that copy lists the instance as ready, and it still answers for a while.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from msgspec import structs

from wagtaildale.distribution.state import Departure, Lapses
from wagtaildale.types import ListedState

if TYPE_CHECKING:
    from collections.abc import Mapping

    from wagtaildale.membership.records import InstanceRecord
    from wagtaildale.types import InstanceId

# Far longer than the age of a copy, which is some seconds.
DEPARTURE_RETENTION_SECONDS: Final = 60.0


def note_departures(
    lapses: Lapses,
    before: Mapping[InstanceId, InstanceRecord],
    after: Mapping[InstanceId, InstanceRecord],
    *,
    now: float,
) -> None:
    """Record instances that are listed as leaving or are no longer in use.

    Args:
        lapses: exceptions to the instance list; updated in place.
        before: records in use until now.
        after: records in use from now on.
        now: current time, seconds.
    """
    if lapses.era is None:
        return
    for name, record in before.items():
        was_leaving = record.state is ListedState.leaving
        if was_leaving or name not in after:
            lapses.departures[name] = Departure(
                born=record.born,
                era=lapses.era,
                was_leaving=was_leaving,
                noted_at=now,
            )
    _forget_old(lapses, now=now)


def find_departed(
    lapses: Lapses,
    *,
    seconds: float,
    now: float,
) -> dict[InstanceId, InstanceRecord]:
    """Find departed instances that an older copy lists as live.

    Without this, a server that announced that it leaves would receive calls
    until it ends, since the platform came back from a copy that lists it as
    ready. An instance that was only removed from the list may be live and may
    have been cut off from the platform. It is used again if its entry is still
    there after the time in which entries lapse, since then the instance itself
    has renewed it.

    Args:
        lapses: exceptions to the instance list; updated in place.
        seconds: time after the platform's return during which a removed
            instance counts as departed.
        now: current time, seconds.

    Returns:
        Their records, marked as leaving.
    """
    departed: dict[InstanceId, InstanceRecord] = {}
    for name, departure in lapses.departures.items():
        record = lapses.listed.get(name)
        if record is None or not _comes_from_older_copy(
            lapses, record, departure
        ):
            continue
        if departure.was_leaving or now < lapses.returned_at + seconds:
            departed[name] = structs.replace(record, state=ListedState.leaving)
            lapses.departures[name] = structs.replace(departure, noted_at=now)
    return departed


def _forget_old(lapses: Lapses, *, now: float) -> None:
    lapses.departures = {
        name: departure
        for name, departure in lapses.departures.items()
        if now - departure.noted_at <= DEPARTURE_RETENTION_SECONDS
    }


def _comes_from_older_copy(
    lapses: Lapses,
    record: InstanceRecord,
    departure: Departure,
) -> bool:
    assert lapses.era is not None
    return (
        record.state is ListedState.live
        and record.born == departure.born
        and departure.era < lapses.era
    )
