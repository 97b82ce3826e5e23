"""Immutable snapshots of routes and instances that calls are routed by."""

from __future__ import annotations

from typing import TYPE_CHECKING

from msgspec import Struct, structs

from wagtaildale.configuration.model import Part, PublishedLimits
from wagtaildale.configuration.validation import check_parts
from wagtaildale.membership.records import (
    InstanceRecord,
    check_records,
    leave_out_replaced,
)
from wagtaildale.routing.table import RoutingTable
from wagtaildale.types import (
    NO_VERSION,
    DataCentre,
    InstanceId,
    ListedState,
    ServiceName,
    Version,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Iterator

    from wagtaildale.document.model import Document


class FleetView(Struct, frozen=True, kw_only=True):
    """Immutable snapshot of the routes and instances at one moment.

    Attributes:
        version: version of the configuration; 0 before the first.
        parts: parts of the configuration, by service.
        table: routing table of the configuration; nothing before the first
            version.
        instances_version: version of the instance list.
        upstreams: records of the instances in use, by service: the listed ones
            with the overrides of ``ViewHolder.replace_overrides``, without
            those whose address a later instance uses, those of services
            without configuration and those in evacuated data centres.
        records: the same records, by instance id, also those in evacuated data
            centres.
        away: ids of instances and nodes that accept no new work.
        caller_limits: rate limits on callers, if the configuration has them.
        evacuated: data centres whose backend servers get no requests, by order
            of the operators.
    """

    version: Version = NO_VERSION
    parts: dict[ServiceName, Part] = {}
    table: RoutingTable | None = None
    instances_version: Version = NO_VERSION
    upstreams: dict[ServiceName, tuple[InstanceRecord, ...]] = {}
    records: dict[InstanceId, InstanceRecord] = {}
    away: frozenset[InstanceId] = frozenset()
    caller_limits: PublishedLimits | None = None
    evacuated: frozenset[DataCentre] = frozenset()

    def is_away(self, record: InstanceRecord) -> bool:
        """Tell whether an instance accepts no new work.

        Args:
            record: the instance's record in the list.

        Returns:
            Whether the instance or the node beside it is leaving, suspected
            or dead.
        """
        if record.state is ListedState.leaving:
            return True
        return record.instance in self.away or record.node_id in self.away

    def count_nodes(self) -> int:
        """Count the nodes that are beside listed instances.

        Returns:
            Number of nodes.
        """
        return len({record.node_id for record in self.records.values()})

    def list_records(self) -> Iterator[InstanceRecord]:
        """List the records of the instances of all services.

        Yields:
            The record of each instance, also in evacuated data centres.
        """
        yield from self.records.values()


class ViewHolder:
    """Holds the current snapshot, which one task replaces and calls read.

    A call reads ``current`` once and uses that snapshot throughout, so that
    it never mixes two versions.

    Attributes:
        current: the current snapshot.
        listeners: callbacks for each change of the records, in the thread that
            makes the change.
    """

    def __init__(self) -> None:
        """Start with the empty view."""
        self.current = FleetView()
        self.listeners: list[Callable[[], None]] = []
        self._listed: dict[InstanceId, InstanceRecord] = {}
        self._retained: dict[InstanceId, InstanceRecord] = {}
        self._departed: dict[InstanceId, InstanceRecord] = {}

    def replace_configuration(self, document: Document) -> None:
        """Replace the routes by those of a later configuration.

        Args:
            document: configuration document that was already validated.
        """
        configuration = check_parts(document.blobs).unwrap()
        self.current = structs.replace(
            self.current,
            version=document.version,
            parts=configuration.parts,
            caller_limits=configuration.limits,
            table=RoutingTable(configuration),
        )
        self._swap_records(self.current.instances_version)

    def replace_instances(self, document: Document) -> None:
        """Replace the instance list by a later one.

        Args:
            document: instance document that was already validated.
        """
        self._listed = check_records(document.blobs).unwrap()
        self._swap_records(document.version)

    def replace_overrides(
        self,
        retained: Iterable[InstanceRecord],
        *,
        departed: Iterable[InstanceRecord] = (),
    ) -> None:
        """Replace the records that differ from the platform's list.

        Args:
            retained: records of instances that stay in use although the list
                no longer has them.
            departed: records of instances that have left although the list
                still shows them as live; used in place of the listed ones.
        """
        self._retained = {record.instance: record for record in retained}
        self._departed = {record.instance: record for record in departed}
        self._swap_records(self.current.instances_version)

    def replace_away(self, away: frozenset[InstanceId]) -> None:
        """Replace the set of instances and nodes that accept no new work.

        Args:
            away: ids of instances and nodes that the list or gossip reports as
                leaving, suspected or dead.
        """
        self.current = structs.replace(self.current, away=away)

    def _merge_records(self) -> dict[InstanceId, InstanceRecord]:
        # Another program that writes to the platform's list may add a record
        # with the address of a running server and a service that is not
        # published. As the later record at that address it would replace the
        # server. So records of services without configuration are dropped; no
        # route leads to them anyway.
        records = {**self._retained, **self._listed, **self._departed}
        parts = self.current.parts
        if not parts:
            return records
        return {
            name: record
            for name, record in records.items()
            if record.service in parts
        }

    def _swap_records(self, index: Version) -> None:
        records = leave_out_replaced(self._merge_records())
        # An instance that the list has lost for a moment has no mark of its
        # own, so the marks count for the whole data centre.
        evacuated = frozenset(
            record.data_centre
            for record in self._listed.values()
            if record.is_evacuated
        )
        upstreams: dict[ServiceName, tuple[InstanceRecord, ...]] = {}
        for record in records.values():
            if record.data_centre in evacuated:
                continue
            known = upstreams.get(record.service, ())
            upstreams[record.service] = (*known, record)
        self.current = structs.replace(
            self.current,
            instances_version=index,
            upstreams=upstreams,
            records=records,
            evacuated=evacuated,
        )
        for notify in self.listeners:
            notify()
