"""Handles messages from owners to an entry that belong to no call."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from wagtaildale.calls.addresses import Address
from wagtaildale.calls.entry.call_descriptions import decode_limit
from wagtaildale.routing.leaving_servers import LeavingServer
from wagtaildale.telemetry.events import EventKind
from wagtaildale.timers.service import read_clock

if TYPE_CHECKING:
    from wagtaildale.calls.wire.frames import LoadReport
    from wagtaildale.membership.records import InstanceRecord
    from wagtaildale.routing.statistics import FleetStatistics
    from wagtaildale.routing.view import ViewHolder
    from wagtaildale.telemetry.events import EventRecorder
    from wagtaildale.types import InstanceId

PERCENT: Final = 100


class OwnerListener:
    """Records what owners report in the statistics of their upstreams."""

    def __init__(
        self,
        view: ViewHolder,
        *,
        statistics: FleetStatistics,
        recorder: EventRecorder,
    ) -> None:
        """Create the listener.

        Args:
            view: current view, which maps addresses to upstreams.
            statistics: statistics of all upstreams.
            recorder: recorder of an event when a server announces that it
                is leaving.
        """
        self._view = view
        self._statistics = statistics
        self._recorder = recorder

    def note_load(self, address: Address, load: LoadReport) -> None:
        """Record the load and speed of a backend server.

        Args:
            address: address of its owner.
            load: load message of the owner.
        """
        if load.leaving is not None:
            self.note_server_leaving(address, load.leaving)
        for instance in self._list_instances(address):
            self._note_load(instance, load)

    def note_server_leaving(
        self, address: Address, leaving_server: LeavingServer
    ) -> None:
        """Record that a backend server has announced that it is leaving.

        A node may report only its own server. Otherwise it could take the
        servers of other nodes out of use.

        Args:
            address: address of the owner that reports it.
            leaving_server: the leaving server; without a start time, the
                listed one is used.
        """
        record = self._view.current.records.get(leaving_server.instance)
        if record is not None and _get_owner_address(record) != address:
            self._recorder.record(
                EventKind.message_refused,
                subject=leaving_server.instance,
                detail=(
                    'leaving was reported by '
                    f'{address.host}:{address.port}, '
                    'which does not own this instance'
                ),
            )
            return
        if not leaving_server.born and record is not None:
            leaving_server = LeavingServer(leaving_server.instance, record.born)
        if self._statistics.leaving_servers.note(leaving_server):
            self._recorder.record(
                EventKind.upstream_leaving,
                subject=leaving_server.instance,
            )

    def note_draining(self, address: Address) -> None:
        """Record an owner that accepts no new calls.

        Args:
            address: address of the owner.
        """
        now = read_clock()
        for instance in self._list_instances(address):
            upstream = self._statistics.find(instance, now=now)
            upstream.ejection.note_leaving(now)

    def note_silent(self, address: Address) -> None:
        """Record an owner that no longer answers.

        Args:
            address: address of the owner.
        """
        now = read_clock()
        for instance in self._list_instances(address):
            upstream = self._statistics.find(instance, now=now)
            upstream.ejection.note_silent(now)

    def _note_load(self, instance: InstanceId, load: LoadReport) -> None:
        now = read_clock()
        statistics = self._statistics
        statistics.note_server_state(instance, is_up=load.is_up, now=now)
        statistics.server_limits.note(instance, decode_limit(load), now=now)
        upstream = statistics.find(instance, now=now)
        upstream.note_load(
            in_flight=load.in_flight,
            limit=load.limit,
            queued=load.queued,
            now=now,
        )
        upstream.line.note(load.line, now=now)
        upstream.slowness.note_pace(load.pace_percent, now=now)
        if load.slowness_percent > 0:
            upstream.slowness.note_reported_slowness(
                load.slowness_percent / PERCENT,
                now=now,
            )

    def _list_instances(self, address: Address) -> list[InstanceId]:
        # Looks instances up by address, because an owner does not know the
        # ids under which its backend server is listed.
        return [
            record.instance
            for record in self._view.current.records.values()
            if _get_owner_address(record) == address
        ]


def _get_owner_address(record: InstanceRecord) -> Address:
    return Address(record.host, record.owner_port)
