"""Document versions that keep rising if the platform is restored from a copy.

After a restore the platform's revision goes back and repeats earlier numbers.
The platform also reports its era, the number of restores so far. A version has
the era in its high bits and the revision in its low bits, so it still rises.
"""

from __future__ import annotations

from typing import Final, NewType

from wagtaildale.types import Version

# Number of times that the platform was restored from an older copy.
Era = NewType('Era', int)

FIRST_ERA: Final = Era(0)
# A version fits into eight bytes, also as a signed integer: of 63 bits, 40 are
# for the revision (a trillion in each era) and 23 for the era (eight million).
REVISION_BITS: Final = 40
REVISION_MASK: Final = (1 << REVISION_BITS) - 1


def make_version(era: Era, *, revision: int) -> Version:
    """Make the version of a document.

    Args:
        era: era of the platform.
        revision: revision of the platform within the era.

    Returns:
        A version above all versions of earlier eras.
    """
    return Version((era << REVISION_BITS) + revision)


def find_era(version: Version) -> Era:
    """Find the era of a version.

    Args:
        version: version of a document.

    Returns:
        Era of the platform that issued it.
    """
    return Era(version >> REVISION_BITS)


def find_revision(version: Version) -> int:
    """Find the platform's revision in a version.

    Args:
        version: version of a document.

    Returns:
        Revision within the era.
    """
    return version & REVISION_MASK
