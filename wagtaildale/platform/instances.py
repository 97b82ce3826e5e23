"""Decodes the entries of backend servers into instance records."""

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

    service: str
    version: str
    zone: str
    slots: Annotated[int, Meta(ge=1)]


class Status(Struct, frozen=True, kw_only=True, rename='camel'):
    """Properties of a backend server that change while it runs.

    The last two are decoded only to distinguish an entry of a backend server
    from that of another writer: the slowness of a cold server is measured
    from its answers.

    Attributes:
        state: whether the server accepts new work.
        sequence: number of the server's writes to its entry.
        cold_left_ms: time until the server is no longer slow after its
            start, milliseconds.
    """

    state: ReportedState
    sequence: int
    cold_left_ms: float


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
        instance: id of the instance, the last part of the entry's key.
        payload: value of the entry, JSON.
        created: revision of the store at which the entry was created.
        settings: settings of this daemon; all machines use the same ports.
        regions: region of each data centre.

    Returns:
        The instance record.

    Raises:
        MsgspecError: if the value does not have the format of an entry.
        ValueError: if the id, address or data centre is not usable.
    """
    entry = _decoder.decode(payload)
    address = _check_address(entry.address)
    _check_names(instance, entry.description.zone, regions)
    leaving = entry.status.state is ReportedState.draining
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
    # Host names are rejected: an entry of another writer may have one, and
    # resolving it would block the task that carries all calls.
    address = split_address(text)
    IPv4Address(address.host)
    if not 1 <= address.port <= LARGEST_PORT:
        raise ValueError(f'got port {address.port}, expected 1 to 65535')
    return address


def _check_names(instance: str, zone: str, regions: dict[str, str]) -> None:
    # The id is sent in a header of every request to the backend server.
    if not instance.isascii() or not instance.isprintable() or not instance:
        raise ValueError(f'got id {instance!r}, expected printable ASCII text')
    if zone not in regions:
        raise ValueError(
            f'got data centre {zone!r}, expected one listed in zones'
        )
