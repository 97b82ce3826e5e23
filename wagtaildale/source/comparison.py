"""Decides when what was read of a store is compared with the store again.

Watches return changes only. A change that one of them leaves out is never
returned by a later one, so that a server that leaves would be called for as
long as it lives. So the entries of the list are read again after every few
watches and after each failure, and all entries more rarely.
"""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING, Final, final

if TYPE_CHECKING:
    from collections.abc import Collection, Mapping

    from wagtaildale.source.store import StoreEntry, StoreReading

# A comparison adds one call to so many.
WATCHES_PER_COMPARISON: Final = 10
# A full read has the configuration too, which may be half a megabyte.
COMPARISONS_PER_FULL_READ: Final = 6


@final
class ReadKind(Enum):
    """What a feed asks the store for.

    Attributes:
        watch: the next changes.
        comparison: the entries of the list, to compare them.
        full_read: all entries, to compare them.
    """

    watch = 'watch'
    comparison = 'comparison'
    full_read = 'full-read'


class ReadSchedule:
    """Chooses the next read of a feed."""

    def __init__(self) -> None:
        """Start as after a full read."""
        self._watches_left = WATCHES_PER_COMPARISON
        self._comparisons_left = COMPARISONS_PER_FULL_READ
        self._has_doubts = False

    def choose(self) -> ReadKind:
        """Choose the next read.

        Returns:
            The kind of the read.
        """
        if self._has_doubts:
            return ReadKind.comparison
        if self._watches_left:
            return ReadKind.watch
        if self._comparisons_left:
            return ReadKind.comparison
        return ReadKind.full_read

    def note_doubts(self) -> None:
        """Note that changes may have been missed: compare with the next read.

        A watch that fails may have been silent for a long time, and the next
        one may be, too.
        """
        self._has_doubts = True

    def note_watch(self) -> None:
        """Note that a watch begins."""
        self._watches_left -= 1

    def note_comparison(self) -> None:
        """Note that the list was compared."""
        self._has_doubts = False
        if not self._watches_left:
            self._comparisons_left -= 1
            self._watches_left = WATCHES_PER_COMPARISON

    def note_full_read(self) -> None:
        """Note that everything was read."""
        self._has_doubts = False
        self._watches_left = WATCHES_PER_COMPARISON
        self._comparisons_left = COMPARISONS_PER_FULL_READ


def count_missing_changes(changes: StoreReading, *, after: int) -> int:
    """Count the revisions that an answer names but whose changes it lacks.

    Args:
        changes: answer to a watch over all keys.
        after: revision after which the watch asked for changes.

    Returns:
        Revisions up to that of the answer without a change; a store that
        leaves out changes which later ones replace has some as well.
    """
    told = {
        entry.revision
        for entry in changes.entries
        if after < entry.revision <= changes.revision
    }
    return max(0, changes.revision - after - len(told))


def find_differences(
    held: Mapping[str, StoreEntry],
    read: Mapping[str, StoreEntry],
    *,
    later: Collection[str] = (),
) -> tuple[str, ...]:
    """Find the keys whose entries differ.

    Args:
        held: entries as a feed has them.
        read: entries as the store has them.
        later: keys that have changed since they were read.

    Returns:
        The keys, in their order.
    """
    return tuple(
        key
        for key in sorted(held.keys() | read.keys())
        if key not in later and not _is_same(held.get(key), read.get(key))
    )


def _is_same(one: StoreEntry | None, other: StoreEntry | None) -> bool:
    if one is None or other is None:
        return one is other
    return (one.revision, one.payload) == (other.revision, other.payload)
