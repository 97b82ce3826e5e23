"""Compares the instance list that watches told with that of the store."""

from __future__ import annotations

from typing import TYPE_CHECKING

from result import Err, Ok, Result

from wagtaildale.source.comparison import (
    ReadKind,
    count_missing_changes,
    find_differences,
)
from wagtaildale.source.full_reads import (
    CopyUpdate,
    correct_list,
    read_after_gap,
    read_again,
    read_all,
)
from wagtaildale.types import DocumentKind

if TYPE_CHECKING:
    from wagtaildale.source.platform import ReadFailure
    from wagtaildale.source.store import StoreReading
    from wagtaildale.source.store_copy import StoreCopy


def compare_list(
    copy: StoreCopy, *, may_watch: bool
) -> Result[CopyUpdate, ReadFailure]:
    """Read the list from the store and compare it with the copy.

    Args:
        copy: copy of the store; updated in place.
        may_watch: whether changes since the last watch may be read by another
            one; otherwise, as it may be silent too, all is read.

    Returns:
        What has changed, or why nothing was read.
    """
    listed = copy.read_list()
    if isinstance(listed, Err):
        return listed
    reading = listed.ok_value
    if copy.is_replaced(reading):
        return read_all(copy)
    if reading.is_snapshot and reading.revision == copy.revision:
        return _compare(copy, reading, changes=())
    return _read_changes(copy, reading) if may_watch else read_again(copy)


def _read_changes(
    copy: StoreCopy, reading: StoreReading
) -> Result[CopyUpdate, ReadFailure]:
    watched = copy.watch(0)
    if isinstance(watched, Err):
        return read_again(copy)
    changes = watched.ok_value
    if copy.is_replaced(changes):
        return read_all(copy)
    copy.apply(changes)
    missing = count_missing_changes(changes, after=copy.revision or 0)
    if missing:
        return read_after_gap(copy, changes, missing=missing)
    copy.revision = changes.revision
    if changes.revision < reading.revision:
        # More changes than one answer holds: the next read compares.
        changed = copy.list_kinds(each.key for each in changes.entries)
        return Ok(CopyUpdate(kind=ReadKind.watch, changed=changed))
    return _compare(copy, reading, changes=(changes,))


def _compare(
    copy: StoreCopy,
    reading: StoreReading,
    *,
    changes: tuple[StoreReading, ...],
) -> Result[CopyUpdate, ReadFailure]:
    told = [entry for answer in changes for entry in answer.entries]
    later = {each.key for each in told if each.revision > reading.revision}
    read = copy.pick_list(reading.entries)
    differing = find_differences(copy.pick_list(), read, later=later)
    if differing:
        return correct_list(copy, read, differing=differing)
    # The list is offered even if no change was told: other nodes may have told
    # this one another list of the same version.
    changed = {
        DocumentKind.instances,
        *copy.list_kinds(each.key for each in told),
    }
    return Ok(
        CopyUpdate(
            kind=ReadKind.comparison,
            changed=tuple(kind for kind in DocumentKind if kind in changed),
            is_whole=True,
        ),
    )
