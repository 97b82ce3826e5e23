"""Reads all entries of a store, and tells what watches had not told."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from msgspec import Struct
from result import Err, Ok, Result

from wagtaildale.source.comparison import ReadKind, find_differences
from wagtaildale.types import DocumentKind

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from wagtaildale.source.platform import ReadFailure
    from wagtaildale.source.store import StoreEntry, StoreReading
    from wagtaildale.source.store_copy import StoreCopy

# Of the keys that differ, so many are named in the log.
MAX_SHOWN_KEYS: Final = 8


class CopyUpdate(Struct, frozen=True, kw_only=True):
    """What a read has changed in the copy of a store.

    Attributes:
        kind: how the store was read in the end.
        changed: kinds of documents that have changed.
        contradiction: what the store's answers differ in; empty if nothing.
        is_whole: whether the list was read as a whole; see ``Outline``.
    """

    kind: ReadKind
    changed: tuple[DocumentKind, ...]
    contradiction: str = ''
    is_whole: bool = False


def read_all(copy: StoreCopy) -> Result[CopyUpdate, ReadFailure]:
    """Read all entries, whatever was read before.

    Args:
        copy: copy of the store; updated in place.

    Returns:
        All documents as changed, or why nothing was read.
    """
    return copy.load().map(lambda _loaded: _update_all())


def read_again(copy: StoreCopy) -> Result[CopyUpdate, ReadFailure]:
    """Read all entries to compare them with what is known.

    Args:
        copy: copy of the store; updated in place.

    Returns:
        The documents that have changed, or why nothing was read.
    """
    before, revision = copy.entries, copy.revision
    loaded = copy.load()
    if isinstance(loaded, Err):
        return loaded
    differing = find_differences(before, copy.entries)
    if differing and copy.revision == revision:
        detail = f'a full read at {revision} is not as watches told'
        return Ok(_update_all(describe_keys(detail, differing)))
    changed = copy.list_kinds(differing)
    return Ok(CopyUpdate(kind=ReadKind.full_read, changed=changed))


def read_after_gap(
    copy: StoreCopy, changes: StoreReading, *, missing: int
) -> Result[CopyUpdate, ReadFailure]:
    """Read all entries after an answer that lacks changes.

    Args:
        copy: copy of the store with the changes applied; updated in place.
        changes: the answer.
        missing: number of revisions without a change.

    Returns:
        The documents that have changed, with a contradiction unless the store
        just leaves out changes that later ones replace; or why nothing was
        read.
    """
    told = copy.entries
    loaded = copy.load()
    if isinstance(loaded, Err):
        # The copy has changes that no document has: all is to be offered.
        copy.revision = None
        return loaded
    differing = find_differences(told, copy.entries)
    if differing:
        detail = f'a watch up to {changes.revision} lacks {missing} changes'
        return Ok(_update_all(describe_keys(detail, differing)))
    changed = copy.list_kinds(each.key for each in changes.entries)
    return Ok(CopyUpdate(kind=ReadKind.full_read, changed=changed))


def correct_list(
    copy: StoreCopy,
    read: Mapping[str, StoreEntry],
    *,
    differing: Iterable[str],
) -> Result[CopyUpdate, ReadFailure]:
    """Read all entries after the list was found to differ.

    Two reads that agree are trusted more than the changes: the list may have
    to replace another one of the same version.

    Args:
        copy: copy of the store; updated in place.
        read: the list as it was read for the comparison.
        differing: keys that differ.

    Returns:
        All documents as changed, or why nothing was read.
    """
    detail = f'the list at {copy.revision} is not as watches told'
    loaded = copy.load()
    if isinstance(loaded, Err):
        copy.revision = None
        return loaded
    is_whole = not find_differences(read, copy.pick_list())
    return Ok(_update_all(describe_keys(detail, differing), is_whole=is_whole))


def describe_keys(detail: str, keys: Iterable[str]) -> str:
    """Describe a contradiction for the log.

    Args:
        detail: what contradicts what.
        keys: keys whose entries differ.

    Returns:
        The description, with the number of keys and the first ones.
    """
    known = tuple(keys)
    shown = ' '.join(known[:MAX_SHOWN_KEYS])
    return f'{detail}: {len(known)} keys, {shown}'


def _update_all(
    contradiction: str = '', *, is_whole: bool = False
) -> CopyUpdate:
    return CopyUpdate(
        kind=ReadKind.full_read,
        changed=tuple(DocumentKind),
        contradiction=contradiction,
        is_whole=is_whole,
    )
