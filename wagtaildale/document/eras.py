"""Versions of a document whose platform may come back from an older copy.

The platform's own count then goes back and gives out numbers again. It tells
how often that has happened; with that in front, versions still rise.
"""

from __future__ import annotations

from typing import Final, NewType

from wagtaildale.types import Version

# How often the platform came back from an older copy.
Era = NewType('Era', int)

FIRST_ERA: Final = Era(0)
# A version is eight bytes; a trillion changes in each of eight million eras.
REVISION_BITS: Final = 40
REVISION_MASK: Final = (1 << REVISION_BITS) - 1


def make_version(era: Era, *, revision: int) -> Version:
    """Make the version of a document.

    Args:
        era: in which the platform gave it.
        revision: on the platform's own count.

    Returns:
        A version that is above all of earlier eras.
    """
    return Version((era << REVISION_BITS) + revision)


def find_era(version: Version) -> Era:
    """Find the era of a version.

    Args:
        version: of a document.

    Returns:
        In which the platform gave it.
    """
    return Era(version >> REVISION_BITS)


def find_revision(version: Version) -> int:
    """Find the platform's own number of a version.

    Args:
        version: of a document.

    Returns:
        Its revision.
    """
    return version & REVISION_MASK
