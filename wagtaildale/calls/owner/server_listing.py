"""How the instance list of an owner has the server of a call."""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING, final

from msgspec import Struct

from wagtaildale.types import NO_VERSION, ListedState, Version

if TYPE_CHECKING:
    from wagtaildale.membership.records import InstanceRecord
    from wagtaildale.telemetry.events import Inputs


@final
class Listed(Enum):
    """How the list has an instance.

    Attributes:
        live: it accepts new work.
        leaving: it has reported that it leaves.
        absent: it is not in the list.
    """

    live = 'live'
    leaving = 'leaving'
    absent = 'absent'


class ServerListing(Struct, frozen=True, kw_only=True):
    """How a list has the server of a call.

    Attributes:
        listed: how the list has the instance.
        version: version of the list.
    """

    listed: Listed
    version: Version

    def shows_removal(self, seen_version: Version) -> bool:
        """Tell whether this list shows that the instance was removed.

        The instance may also be missing because it is new and this list is
        older than the entry's.

        Args:
            seen_version: version of a list that has the instance; 0 if
                unknown.

        Returns:
            Whether the instance is missing from a later list.
        """
        if self.listed is not Listed.absent or seen_version == NO_VERSION:
            return False
        return self.version > seen_version

    def describe(self) -> Inputs:
        """Build the log inputs.

        Returns:
            How the server is listed, and the version of the list.
        """
        return {'listed': self.listed.value, 'list': self.version}


def find_listing(
    record: InstanceRecord | None, *, version: Version
) -> ServerListing:
    """Find how a list has an instance.

    Args:
        record: record of the instance in the list; None if there is none.
        version: version of the list.

    Returns:
        The listing.
    """
    listed = Listed.absent
    if record is not None:
        is_live = record.state is ListedState.live
        listed = Listed.live if is_live else Listed.leaving
    return ServerListing(listed=listed, version=version)
