"""Tracks whether the backend server beside a node is leaving."""

from __future__ import annotations

from typing import TYPE_CHECKING

from wagtaildale.routing.leaving_servers import LeavingServer, LeavingServers
from wagtaildale.telemetry.events import EventKind
from wagtaildale.types import InstanceId, ListedState

if TYPE_CHECKING:
    from collections.abc import Callable

    from wagtaildale.membership.records import InstanceRecord
    from wagtaildale.telemetry.events import EventRecorder


class LeavingTracker:
    """Tracks leaving servers from the list and from their announcements.

    Attributes:
        listeners: callbacks for each announcement by a server.
    """

    def __init__(
        self,
        *,
        find_record: Callable[[InstanceId], InstanceRecord | None],
        recorder: EventRecorder,
    ) -> None:
        """Start without announcements.

        Args:
            find_record: lookup of an instance's record in the list.
            recorder: recorder of an event when the server announces that it
                is leaving.
        """
        self.listeners: list[Callable[[LeavingServer], None]] = []
        self._find_record = find_record
        self._recorder = recorder
        self._announcements = LeavingServers()
        self._last_announced = InstanceId('')

    def is_leaving(self, instance: InstanceId) -> bool:
        """Tell whether an instance is leaving.

        Args:
            instance: instance to look up.

        Returns:
            Whether it is listed as leaving or has announced it.
        """
        record = self._find_record(instance)
        if record is not None and record.state is ListedState.leaving:
            return True
        return self.find_announcement(instance) is not None

    def find_announcement(self, instance: InstanceId) -> LeavingServer | None:
        """Find the announcement of an instance that it is leaving.

        Args:
            instance: instance to look up.

        Returns:
            The leaving server, with its listed start time if it has one; None
            if the instance has not announced that it leaves, or has started
            again since.
        """
        if not self._announcements:
            return None
        record = self._find_record(instance)
        if record is None:
            return (
                LeavingServer(instance)
                if self._announcements.has_any_run(instance)
                else None
            )
        if self._announcements.is_leaving(record):
            return LeavingServer(instance, record.born)
        return None

    def find_last_announcement(self) -> LeavingServer | None:
        """Find the latest announcement, if it is still in force.

        Returns:
            As ``find_announcement`` for the last instance that announced it.
        """
        return self.find_announcement(self._last_announced)

    def note_started(self) -> None:
        """Clear the announcements, because a new server process started."""
        self._announcements = LeavingServers()

    def note_announced(self, instance: InstanceId) -> None:
        """Record the server's announcement that it is leaving.

        Args:
            instance: instance that answered.
        """
        self._last_announced = instance
        record = self._find_record(instance)
        leaving_server = LeavingServer(
            instance, 0 if record is None else record.born
        )
        if self._announcements.note(leaving_server):
            self._recorder.record(EventKind.server_leaving, subject=instance)
            for notify in self.listeners:
                notify(leaving_server)
