"""Whether the backend server beside a node leaves."""

from __future__ import annotations

from typing import TYPE_CHECKING

from wagtaildale.routing.leaving_servers import LeavingServer, LeavingServers
from wagtaildale.telemetry.events import EventKind
from wagtaildale.types import ListedState

if TYPE_CHECKING:
    from collections.abc import Callable

    from wagtaildale.membership.records import InstanceRecord
    from wagtaildale.telemetry.events import EventRecorder
    from wagtaildale.types import InstanceId


class ServerLeaving:
    """Knows it by the list, and by the server's own word.

    Attributes:
        listeners: are told who has said that it leaves.
    """

    def __init__(
        self,
        *,
        find_record: Callable[[InstanceId], InstanceRecord | None],
        recorder: EventRecorder,
    ) -> None:
        """Begin with nothing heard of the server.

        Args:
            find_record: gives what is listed of an instance.
            recorder: gets an event when the server says that it leaves.
        """
        self.listeners: list[Callable[[LeavingServer], None]] = []
        self._find_record = find_record
        self._recorder = recorder
        self._leavers = LeavingServers()

    def is_leaving(self, instance: InstanceId) -> bool:
        """Tell whether an instance leaves.

        Args:
            instance: any.

        Returns:
            Whether it is listed so, or has said so itself.
        """
        record = self._find_record(instance)
        if record is not None and record.state is ListedState.leaving:
            return True
        return self.find_leaver(instance) is not None

    def find_leaver(self, instance: InstanceId) -> LeavingServer | None:
        """Find whether an instance has said itself that it leaves.

        Args:
            instance: any.

        Returns:
            The start of it that did, as it is listed; nothing if none has.
        """
        if not self._leavers:
            return None
        record = self._find_record(instance)
        if record is None:
            return (
                LeavingServer(instance)
                if self._leavers.knows(instance)
                else None
            )
        if self._leavers.has(record):
            return LeavingServer(instance, record.born)
        return None

    def note_started(self) -> None:
        """Learn that the server has ended; the next one has said nothing."""
        self._leavers = LeavingServers()

    def note_said(self, instance: InstanceId) -> None:
        """Note that the server has said that it leaves.

        Args:
            instance: that answered.
        """
        record = self._find_record(instance)
        leaver = LeavingServer(instance, 0 if record is None else record.born)
        if self._leavers.note(leaver):
            self._recorder.record(EventKind.server_leaving, subject=instance)
            for tell in self.listeners:
                tell(leaver)
