"""Finds the instances that a new list shows as leaving or no longer has.

Calls still go to a server that leaves as long as a node does not know it. The
log of each departure says by which word, version and reader a node knows.
"""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING, final

from msgspec import Struct

from wagtaildale.membership.records import decode_record
from wagtaildale.types import InstanceId, ListedState

if TYPE_CHECKING:
    from collections.abc import Iterator

    from wagtaildale.document.model import Document


@final
class DepartureWord(Enum):
    """How a list shows that an instance leaves."""

    reported = 'reported'
    removed = 'removed'


class ListedDeparture(Struct, frozen=True, kw_only=True):
    """An instance that leaves according to a new list.

    Attributes:
        instance: the instance.
        word: how the list shows it.
    """

    instance: InstanceId
    word: DepartureWord


def list_departures(
    before: Document, after: Document
) -> Iterator[ListedDeparture]:
    """List the instances that leave according to a new list only.

    Args:
        before: list in force until now.
        after: list in force from now on.

    Yields:
        Instances that the new list lacks, or has as leaving unlike the old one.
    """
    for name, digest in before.entries.items():
        if after.entries.get(name) == digest:
            continue
        word = _find_word(before.blobs[name], after.blobs.get(name))
        if word is not None:
            yield ListedDeparture(instance=InstanceId(name), word=word)


def _find_word(before: bytes, after: bytes | None) -> DepartureWord | None:
    if after is None:
        return DepartureWord.removed
    if _is_live(before) and not _is_live(after):
        return DepartureWord.reported
    return None


def _is_live(blob: bytes) -> bool:
    return decode_record(blob).unwrap().state is ListedState.live
