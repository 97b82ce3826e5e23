"""The entries of backend servers, decoded into instance records."""

from __future__ import annotations

from enum import Enum
from ipaddress import IPv4Address
from typing import TYPE_CHECKING, Annotated, final

from msgspec import Meta, Struct, field, json

from wagtaildale.membership.records import LARGEST_PORT, InstanceRecord
from wagtaildale.platform.settings import split_address
from wagtaildale.types import (
    DataCentre,
    InstanceId,
    ListedState,
    Region,
    ServiceName,
)

if TYPE_CHECKING:
    from wagtaildale.calls.addresses import Address
    from wagtaildale.settings.model import Settings


@final
class StatedState(Enum):
    """What a backend server says of its state."""

    ready = 'ready'
    draining = 'draining'


class Description(Struct, frozen=True, kw_only=True):
    """What stays the same of a backend server while it runs.

    Attributes:
        service: that it runs.
        version: of its software.
        zone: the data centre it stands in.
        slots: requests that it runs at once.
    """

    service: str
    version: str
    zone: str
    slots: Annotated[int, Meta(ge=1)]


class Status(Struct, frozen=True, kw_only=True, rename='camel'):
    """What changes of a backend server.

    The last two are not used: what a cold server does to answers is
    measured. They tell an entry of a backend server from that of another
    writer.

    Attributes:
        state: whether it takes new work.
        sequence: counts its writes.
        cold_left_ms: how much longer it is slow after its start.
    """

    state: StatedState
    sequence: int
    cold_left_ms: float


class Entry(Struct, frozen=True, kw_only=True):
    """One backend server's entry.

    Attributes:
        address: where it listens; its host is also that of the node.
        description: what stays the same; the platform calls it info.
        status: what changes.
        born: Unix millisecond of its start; 0 if it does not say.
    """

    address: str
    description: Description = field(name='info')
    status: Status
    born: int = 0


_decoder = json.Decoder(Entry)


def decode_instance(
    instance: str,
    payload: bytes,
    *,
    created: int = 0,
    settings: Settings,
    regions: dict[str, str],
) -> InstanceRecord:
    """Decode the entry of a backend server.

    Args:
        instance: its id, the last part of the entry's key.
        payload: JSON.
        created: the store's revision with which the entry was written.
        settings: of this daemon: ports are alike on all machines.
        regions: by data centre.

    Returns:
        Its record.

    Raises:
        MsgspecError: when the value is no such entry.
        ValueError: when it names no id, address or data centre to use.
    """
    entry = _decoder.decode(payload)
    address = _check_address(entry.address)
    _check_names(instance, entry.description.zone, regions)
    leaving = entry.status.state is StatedState.draining
    return InstanceRecord(
        instance=InstanceId(instance),
        node=InstanceId(address.host),
        service=ServiceName(entry.description.service),
        data_centre=DataCentre(entry.description.zone),
        region=Region(regions[entry.description.zone]),
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
    )


def _check_address(text: str) -> Address:
    # Failure: another writer's entry has a name for an address, and the task
    # that carries all calls stands still while it is looked up.
    address = split_address(text)
    IPv4Address(address.host)
    if not 1 <= address.port <= LARGEST_PORT:
        raise ValueError(f'got port {address.port}, expected 1 to 65535')
    return address


def _check_names(instance: str, zone: str, regions: dict[str, str]) -> None:
    # The id goes into a header of every request to the backend server.
    if not instance.isascii() or not instance.isprintable() or not instance:
        raise ValueError(f'got id {instance!r}, expected printable text')
    if zone not in regions:
        raise ValueError(f'got data centre {zone!r}, expected a known one')
