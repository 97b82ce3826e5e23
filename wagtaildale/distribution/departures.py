"""Who has left, where an older copy of the platform names it as live.

An instance that has said that it leaves, or was taken off the list, does not
come back as the same one. A copy from before that names it as ready, and it
still answers for a while.
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

# Copies are some seconds old.
REMEMBERED_SECONDS: Final = 60.0


def note_departures(
    lapses: Lapses,
    before: Mapping[InstanceId, InstanceRecord],
    after: Mapping[InstanceId, InstanceRecord],
    *,
    now: float,
) -> None:
    """Note who is listed as leaving, or is in use no more.

    Args:
        lapses: what this node knows; moved forward in place.
        before: who was known until now.
        after: who is known from now on.
        now: seconds.
    """
    if lapses.era is None:
        return
    for name, record in before.items():
        said = record.state is ListedState.leaving
        if said or name not in after:
            lapses.departures[name] = Departure(
                born=record.born,
                era=lapses.era,
                said=said,
                noted_at=now,
            )
    _forget_old(lapses, now=now)


def hold_departed(
    lapses: Lapses,
    *,
    seconds: float,
    now: float,
) -> dict[InstanceId, InstanceRecord]:
    """Hold from new work whom a copy names that had left before.

    Failure guarded here: a server says that it leaves, the platform comes
    back from a copy that calls it ready, and callers are sent there until it
    is gone. One that was only taken off the list may live, and have been cut
    off from the platform: it is taken at its word once its entry has
    outlived the time after which entries lapse.

    Args:
        lapses: what this node knows; moved forward in place.
        seconds: after the platform's return, after which an entry that is
            still there is its instance's own.
        now: seconds.

    Returns:
        Those held, as leaving.
    """
    held: dict[InstanceId, InstanceRecord] = {}
    for name, departure in lapses.departures.items():
        record = lapses.listed.get(name)
        if record is None or not _is_of_copy(lapses, record, departure):
            continue
        if departure.said or now < lapses.returned_at + seconds:
            held[name] = structs.replace(record, state=ListedState.leaving)
            lapses.departures[name] = structs.replace(departure, noted_at=now)
    return held


def _forget_old(lapses: Lapses, *, now: float) -> None:
    lapses.departures = {
        name: departure
        for name, departure in lapses.departures.items()
        if now - departure.noted_at <= REMEMBERED_SECONDS
    }


def _is_of_copy(
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
