"""Remembers the servers that have announced that they leave.

A server announces in its answers that it leaves. The platform's list may still
list it as live, or not be updated at all, and requests would be sent to it
again some seconds later. So the announcement holds until the server restarts.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from msgspec import Struct

from wagtaildale.types import InstanceId

if TYPE_CHECKING:
    from wagtaildale.membership.records import InstanceRecord

# The oldest announcements are dropped beyond this number.
MAX_LEAVING_SERVERS: Final = 1024


class LeavingServer(Struct, frozen=True, array_like=True, gc=False):
    """One run of a server that has announced that it leaves.

    Attributes:
        instance: id of the server's instance.
        born: listed start time of the run, Unix milliseconds; 0 if not known.
    """

    instance: InstanceId
    born: int = 0


class LeavingServers:
    """Servers that have announced that they leave, by instance."""

    def __init__(self) -> None:
        """Start without any."""
        self._started_ms_by_instance: dict[InstanceId, int] = {}

    def __bool__(self) -> bool:
        """Tell whether any server has announced that it leaves."""
        return bool(self._started_ms_by_instance)

    def note(self, server: LeavingServer) -> bool:
        """Note that a server has announced that it leaves.

        Args:
            server: instance and start time of the server.

        Returns:
            Whether that was not known before.
        """
        started_ms = server.born
        is_known = (
            self._started_ms_by_instance.pop(server.instance, None)
            == started_ms
        )
        self._started_ms_by_instance[server.instance] = started_ms
        if len(self._started_ms_by_instance) > MAX_LEAVING_SERVERS:
            self._started_ms_by_instance.pop(
                next(iter(self._started_ms_by_instance))
            )
        return not is_known

    def forget(self, instance: InstanceId) -> None:
        """Remove the announcement of a server that has restarted.

        Args:
            instance: id of the server's instance.
        """
        self._started_ms_by_instance.pop(instance, None)

    def has_any_run(self, instance: InstanceId) -> bool:
        """Tell whether any run of a server has announced that it leaves.

        Args:
            instance: id of the server's instance.

        Returns:
            Whether an announcement is known, whatever its start time.
        """
        return instance in self._started_ms_by_instance

    def is_leaving(self, record: InstanceRecord) -> bool:
        """Tell whether the listed run of a server has announced that it leaves.

        Args:
            record: current record of the server in the instance list.

        Returns:
            Whether an announcement with the record's start time is known.
        """
        return self._started_ms_by_instance.get(record.instance) == record.born
