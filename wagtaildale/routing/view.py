"""The one snapshot by which a node routes calls."""

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
    InstanceId,
    ListedState,
    ServiceName,
    Version,
)

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

    from wagtaildale.document.model import Document


class FleetView(Struct, frozen=True, kw_only=True):
    """Routes and instances at one moment; never changed.

    Attributes:
        version: of the configuration; 0 before the first.
        parts: the configuration by service.
        table: its routes; nothing before the first version.
        list_index: of the instance list.
        upstreams: by service, the listed instances.
        records: by id, the same.
        away: instances that take no new work.
        limits: on callers, if the configuration has them.
    """

    version: Version = NO_VERSION
    parts: dict[ServiceName, Part] = {}
    table: RoutingTable | None = None
    list_index: Version = NO_VERSION
    upstreams: dict[ServiceName, tuple[InstanceRecord, ...]] = {}
    records: dict[InstanceId, InstanceRecord] = {}
    away: frozenset[InstanceId] = frozenset()
    limits: PublishedLimits | None = None

    def is_away(self, record: InstanceRecord) -> bool:
        """Tell whether an instance takes no new work.

        Args:
            record: of the instance.

        Returns:
            Whether it or the node beside it is leaving or gone.
        """
        if record.state is ListedState.leaving:
            return True
        return record.instance in self.away or record.node_id in self.away

    def count_nodes(self) -> int:
        """Count the nodes of the fleet, one beside each listed instance.

        Returns:
            How many there are.
        """
        return len({record.node_id for record in self.records.values()})

    def list_records(self) -> Iterator[InstanceRecord]:
        """List every listed instance.

        Yields:
            Its record.
        """
        for records in self.upstreams.values():
            yield from records


class ViewHolder:
    """Holds the reference that every call reads and one task swaps.

    A reader takes ``current`` once for a call and keeps to it, so that a
    call never sees half of one version and half of another.
    """

    def __init__(self) -> None:
        """Begin with the empty view."""
        self.current = FleetView()
        self._listed: dict[InstanceId, InstanceRecord] = {}
        self._lapsed: dict[InstanceId, InstanceRecord] = {}
        self._held: dict[InstanceId, InstanceRecord] = {}

    def take_configuration(self, document: Document) -> None:
        """Swap in the routes of a later configuration.

        Args:
            document: checked before.
        """
        configuration = check_parts(document.blobs).unwrap()
        self.current = structs.replace(
            self.current,
            version=document.version,
            parts=configuration.parts,
            limits=configuration.limits,
            table=RoutingTable(configuration),
        )
        self._swap_records(self.current.list_index)

    def take_instances(self, document: Document) -> None:
        """Swap in a later instance list.

        Args:
            document: checked before.
        """
        self._listed = check_records(document.blobs).unwrap()
        self._swap_records(document.version)

    def take_lapsed(
        self,
        records: Iterable[InstanceRecord],
        *,
        held: Iterable[InstanceRecord] = (),
    ) -> None:
        """Swap in where the list is not gone by.

        Args:
            records: of instances in use though the list lacks them.
            held: of listed ones, as they are taken for.
        """
        self._lapsed = {record.instance: record for record in records}
        self._held = {record.instance: record for record in held}
        self._swap_records(self.current.list_index)

    def take_away(self, away: frozenset[InstanceId]) -> None:
        """Swap in who takes no new work.

        Args:
            away: by the list and by news.
        """
        self.current = structs.replace(self.current, away=away)

    def _list_known(self) -> dict[InstanceId, InstanceRecord]:
        # Failure: another writer's entry names an address that a server has
        # and a service that nobody published, and as the later one there it
        # takes the server's place. No route leads to such a service.
        records = {**self._lapsed, **self._listed, **self._held}
        parts = self.current.parts
        if not parts:
            return records
        return {
            name: record
            for name, record in records.items()
            if record.service in parts
        }

    def _swap_records(self, index: Version) -> None:
        records = leave_out_replaced(self._list_known())
        upstreams: dict[ServiceName, tuple[InstanceRecord, ...]] = {}
        for record in records.values():
            known = upstreams.get(record.service, ())
            upstreams[record.service] = (*known, record)
        self.current = structs.replace(
            self.current,
            list_index=index,
            upstreams=upstreams,
            records=records,
        )
