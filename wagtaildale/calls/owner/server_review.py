"""Applies what the instance list states of the server beside a node."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from msgspec import Struct

from wagtaildale.admission.server_messages import (
    DataCentreEvacuated,
    SlotsPublished,
)
from wagtaildale.telemetry.events import EventKind
from wagtaildale.types import DataCentre

if TYPE_CHECKING:
    from collections.abc import Iterator

    from wagtaildale.calls.owner.owner import Owner
    from wagtaildale.membership.records import InstanceRecord
    from wagtaildale.routing.view import ViewHolder
    from wagtaildale.telemetry.events import EventRecorder

MILLISECONDS: Final = 1000


class OwnServer(Struct, frozen=True, kw_only=True):
    """Where the server beside a node is listed.

    Attributes:
        host: IP address of the node, under which its server is listed.
        port: port of the server.
        data_centre: data centre of the node.
    """

    host: str
    port: int
    data_centre: DataCentre


class ServerReview:
    """Reviews the own server's records after each change of the list."""

    def __init__(
        self,
        owner: Owner,
        *,
        own_server: OwnServer,
        view: ViewHolder,
        recorder: EventRecorder,
    ) -> None:
        """Start before the first list.

        Args:
            owner: owner of the server.
            own_server: where the server is listed.
            view: current routes and instances.
            recorder: recorder of an event when an evacuation begins or ends.
        """
        self._owner = owner
        self._view = view
        self._own_server = own_server
        self._recorder = recorder
        self._was_evacuated = False
        self._has_configuration = False

    def run(self) -> None:
        """Review the records; call it in the loop's thread."""
        self._review_start()
        self._review_evacuation()
        self._owner.targets.waiting_calls.review()
        for record in self._list_own_records():
            self._owner.gate.handle_server_message(
                SlotsPublished(slots=record.slots)
            )
            self._owner.targets.slow_start.note_listed(
                record.instance,
                record.slow_start_left_ms / MILLISECONDS,
            )

    def _review_start(self) -> None:
        if self._has_configuration:
            return
        slow_start = self._owner.targets.slow_start
        self._has_configuration = self._view.current.table is not None
        slow_start.review_configuration(is_configured=self._has_configuration)

    def _review_evacuation(self) -> None:
        is_evacuated = self._owner.targets.is_evacuated()
        if is_evacuated == self._was_evacuated:
            return
        self._was_evacuated = is_evacuated
        if is_evacuated:
            self._owner.gate.handle_server_message(DataCentreEvacuated())
            kind = EventKind.evacuation_began
        else:
            # The servers may have been restarted meanwhile.
            self._owner.targets.slow_start.note_unknown()
            kind = EventKind.evacuation_ended
        self._recorder.record(
            kind,
            subject=self._own_server.data_centre,
            version=self._view.current.instances_version,
        )

    def _list_own_records(self) -> Iterator[InstanceRecord]:
        own_server = self._own_server
        for record in self._view.current.records.values():
            if record.backend_address == (own_server.host, own_server.port):
                yield record
