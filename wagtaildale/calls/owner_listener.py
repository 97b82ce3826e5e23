"""What an entry hears from owners without a call."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from wagtaildale.calls.addresses import Address
from wagtaildale.calls.descriptions import read_limit
from wagtaildale.routing.leaving_servers import LeavingServer
from wagtaildale.telemetry.events import EventKind
from wagtaildale.timers.service import read_clock

if TYPE_CHECKING:
    from wagtaildale.calls.frames import Load
    from wagtaildale.membership.records import InstanceRecord
    from wagtaildale.routing.statistics import FleetStatistics
    from wagtaildale.routing.view import ViewHolder
    from wagtaildale.telemetry.events import EventRecorder
    from wagtaildale.types import InstanceId

PERCENT: Final = 100


class OwnerListener:
    """Notes owners' word in the statistics of their upstreams."""

    def __init__(
        self,
        view: ViewHolder,
        *,
        statistics: FleetStatistics,
        recorder: EventRecorder,
    ) -> None:
        """Prepare.

        Args:
            view: tells which upstreams stand at an address.
            statistics: of all upstreams.
            recorder: gets an event when a server says that it leaves.
        """
        self._view = view
        self._statistics = statistics
        self._recorder = recorder

    def note_load(self, address: Address, load: Load) -> None:
        """Note how full and how fast a backend server is.

        Args:
            address: of its owner.
            load: the owner's word.
        """
        if load.leaving is not None:
            self.note_leaver(address, load.leaving)
        for instance in self._list_instances(address):
            self._note_load(instance, load)

    def note_leaver(self, address: Address, leaver: LeavingServer) -> None:
        """Note that a backend server has said that it leaves.

        Failure guarded here: a node says so of servers that are not its own,
        and nobody asks them any more.

        Args:
            address: of whoever tells.
            leaver: the server; its start is that listed here if its owner
                does not tell.
        """
        record = self._view.current.records.get(leaver.instance)
        if record is not None and _find_address(record) != address:
            self._recorder.record(
                EventKind.message_refused,
                subject=leaver.instance,
                detail=f'told by {address.host}:{address.port}',
            )
            return
        if not leaver.born and record is not None:
            leaver = LeavingServer(leaver.instance, record.born)
        if self._statistics.leaving_servers.note(leaver):
            self._recorder.record(
                EventKind.upstream_leaving,
                subject=leaver.instance,
            )

    def note_leaving(self, address: Address) -> None:
        """Note an owner that takes no new calls.

        Args:
            address: of the owner.
        """
        now = read_clock()
        for instance in self._list_instances(address):
            upstream = self._statistics.find(instance, now=now)
            upstream.ejection.note_leaving(now)

    def note_silent(self, address: Address) -> None:
        """Note an owner of whom nothing is heard.

        Args:
            address: of the owner.
        """
        now = read_clock()
        for instance in self._list_instances(address):
            upstream = self._statistics.find(instance, now=now)
            upstream.ejection.note_silent(now)

    def _note_load(self, instance: InstanceId, load: Load) -> None:
        now = read_clock()
        statistics = self._statistics
        statistics.note_server_state(instance, is_up=load.is_up, now=now)
        statistics.limits.note(instance, read_limit(load), now=now)
        upstream = statistics.find(instance, now=now)
        upstream.note_load(
            in_flight=load.in_flight,
            limit=load.limit,
            queued=load.queued,
            now=now,
        )
        if load.slowness_percent > 0:
            upstream.speed.note_condition(
                load.slowness_percent / PERCENT,
                now=now,
            )

    def _list_instances(self, address: Address) -> list[InstanceId]:
        # An owner does not know under which ids it is listed.
        return [
            record.instance
            for record in self._view.current.records.values()
            if _find_address(record) == address
        ]


def _find_address(record: InstanceRecord) -> Address:
    return Address(record.host, record.owner_port)
