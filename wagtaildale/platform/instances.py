"""The entries of backend servers, decoded into instance records."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from msgspec import Struct, field, json

from wagtaildale.membership.records import InstanceRecord
from wagtaildale.platform.settings import split_address
from wagtaildale.types import (
    DataCentre,
    InstanceId,
    ListedState,
    Region,
    ServiceName,
)

if TYPE_CHECKING:
    from wagtaildale.settings.model import Settings

DRAINING: Final = 'draining'


class Description(Struct, frozen=True, kw_only=True):
    """What stays the same of a backend server while it runs.

    Attributes:
        service: that it runs.
        zone: the data centre it stands in.
        slots: requests that it runs at once.
    """

    service: str
    zone: str
    slots: int


class Status(Struct, frozen=True, kw_only=True):
    """What changes of a backend server.

    Attributes:
        state: ``ready`` or ``draining``. How cold the server is stands
            here too and is left out: what it does to answers is measured.
    """

    state: str


class Entry(Struct, frozen=True, kw_only=True):
    """One backend server's entry.

    Attributes:
        address: where it listens; its host is also that of the node.
        description: what stays the same; the platform calls it info.
        status: what changes.
    """

    address: str
    description: Description = field(name='info')
    status: Status


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
        ValueError: when its address has no port.
    """
    entry = _decoder.decode(payload)
    address = split_address(entry.address)
    leaving = entry.status.state == DRAINING
    return InstanceRecord(
        instance=InstanceId(instance),
        node=InstanceId(address.host),
        service=ServiceName(entry.description.service),
        data_centre=DataCentre(entry.description.zone),
        region=Region(regions.get(entry.description.zone, '')),
        host=address.host,
        entry_port=settings.entry_port,
        owner_port=settings.owner_port,
        control_port=settings.control_port,
        admin_port=settings.admin_port,
        backend_port=address.port,
        slots=entry.description.slots,
        state=ListedState.leaving if leaving else ListedState.live,
        since=created,
    )
