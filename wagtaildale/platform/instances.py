"""Decodes the entries of backend servers into instance records."""

from __future__ import annotations

from enum import Enum
from functools import partial
from typing import TYPE_CHECKING, Annotated, Final, final

from msgspec import UNSET, Meta, Struct, UnsetType, field
from result import Err, Ok, Result

from wagtaildale.calls.addresses import Address
from wagtaildale.decoding.addresses import decode_address
from wagtaildale.decoding.failures import DecodingFailure
from wagtaildale.decoding.json_documents import decode_json
from wagtaildale.decoding.numbers import LARGEST_INTEGER
from wagtaildale.errors.codes import Code
from wagtaildale.membership.records import (
    LARGEST_SLOT_COUNT,
    InstanceRecord,
    Milliseconds,
)
from wagtaildale.settings.model import Settings
from wagtaildale.types import (
    DataCentre,
    InstanceId,
    ListedState,
    Region,
    ServiceName,
)

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable


# A longer name would take a large share of the list that every node holds.
LONGEST_SERVICE_CHARACTERS: Final = 1000
LONGEST_SHOWN_CHARACTERS: Final = 100


@final
class ReportedState(Enum):
    """State that a backend server reports of itself."""

    ready = 'ready'
    draining = 'draining'


class Description(Struct, frozen=True, kw_only=True):
    """Properties of a backend server that are fixed while it runs.

    Attributes:
        service: service that the server runs.
        version: version of the server's software.
        zone: data centre of the server.
        slots: most requests that the server runs at once.
    """

    service: Annotated[str, Meta(max_length=LONGEST_SERVICE_CHARACTERS)]
    version: str
    zone: str
    slots: Annotated[int, Meta(ge=1, le=LARGEST_SLOT_COUNT)]


class Status(Struct, frozen=True, kw_only=True, rename='camel'):
    """Properties of a backend server that change while it runs.

    The sequence is decoded only to distinguish an entry of a backend server
    from that of another writer.

    Attributes:
        state: whether the server accepts new work.
        sequence: number of the server's writes to its entry.
        cold_left_ms: time until the server is no longer slow after its
            start, milliseconds.
    """

    state: ReportedState
    sequence: int
    cold_left_ms: Annotated[float, Meta(le=LARGEST_INTEGER)]


class Entry(Struct, frozen=True, kw_only=True):
    """The entry of one backend server.

    Attributes:
        address: address of the server; its host is also that of the node.
        description: fixed properties; the platform's term is info.
        status: changing properties.
        born: start of the server, Unix milliseconds; 0 if not reported.
    """

    address: str
    description: Description = field(name='info')
    status: Status
    born: Milliseconds = 0


# A key with this prefix and the name of a data centre evacuates it.
EVACUATION_PREFIX: Final = 'op/evacuate/'


class DecodingContext(Struct, frozen=True, kw_only=True):
    """What the records of instances are built from besides their entries.

    Attributes:
        settings: settings of this daemon; all machines use the same ports.
        regions: region of each data centre.
        slow_starting: services whose cold servers have a rate limit. The time
            that a server stays cold is left out for others, so that the record
            does not change with each report.
        evacuated: evacuated data centres.
    """

    settings: Settings
    regions: dict[str, str]
    slow_starting: frozenset[str] = frozenset()
    evacuated: frozenset[str] = frozenset()


def decode_instance(
    instance: str,
    payload: bytes,
    *,
    created: int = 0,
    context: DecodingContext,
) -> Result[InstanceRecord, DecodingFailure]:
    """Decode the entry of a backend server.

    Args:
        instance: id of the instance, the last part of the entry's key.
        payload: value of the entry, JSON.
        created: revision of the store at which the entry was created.
        context: what the record is built from besides the entry.

    Returns:
        The instance record, or why the entry names no backend server to use.
    """
    decoded = decode_json(payload, Entry, code=Code.part_corrupt)
    if isinstance(decoded, Err):
        return decoded
    entry = decoded.ok_value
    checked = _check_names(instance, entry.description.zone, context.regions)
    if isinstance(checked, Err):
        return checked
    address = decode_address(entry.address, code=Code.part_corrupt)
    return address.map(
        partial(_make_record, entry, InstanceId(instance), created, context)
    )


def _make_record(
    entry: Entry,
    instance: InstanceId,
    created: int,
    context: DecodingContext,
    address: Address,
) -> InstanceRecord:
    zone = entry.description.zone
    settings = context.settings
    leaving = entry.status.state is ReportedState.draining
    return InstanceRecord(
        instance=instance,
        node=InstanceId(address.host),
        service=ServiceName(entry.description.service),
        data_centre=DataCentre(zone),
        region=Region(context.regions[zone]),
        host=address.host,
        entry_port=settings.entry_port,
        owner_port=settings.owner_port,
        control_port=settings.control_port,
        admin_port=settings.admin_port,
        backend_port=address.port,
        slots=entry.description.slots,
        state=ListedState.leaving if leaving else ListedState.live,
        since=created,
        born=entry.born,
        evacuated=zone in context.evacuated or UNSET,
        slow_start_ms=_find_slow_start_ms(entry, context.slow_starting),
    )


def list_evacuated(keys: Iterable[str]) -> frozenset[str]:
    """List the evacuated data centres.

    Args:
        keys: keys of all entries of the store.

    Returns:
        Names of the data centres; some may not exist.
    """
    return frozenset(
        key.removeprefix(EVACUATION_PREFIX)
        for key in keys
        if key.startswith(EVACUATION_PREFIX)
    )


def _find_slow_start_ms(
    entry: Entry, slow_starting: Collection[str]
) -> int | UnsetType:
    left_ms = round(entry.status.cold_left_ms)
    if left_ms <= 0 or entry.description.service not in slow_starting:
        return UNSET
    return left_ms


def _check_names(
    instance: str, zone: str, regions: dict[str, str]
) -> Result[None, DecodingFailure]:
    # The id is sent in a header of every request to the backend server.
    if not instance.isascii() or not instance.isprintable() or not instance:
        return _refuse(f'got id {instance!r}, expected printable ASCII text')
    if zone not in regions:
        return _refuse(
            f'got data centre {zone[:LONGEST_SHOWN_CHARACTERS]!r},'
            ' expected one listed in zones'
        )
    return Ok(None)


def _refuse(detail: str) -> Err[DecodingFailure]:
    return Err(DecodingFailure(code=Code.part_corrupt, detail=detail))
