"""Records of the platform's instance list."""

from __future__ import annotations

from functools import lru_cache
from typing import TYPE_CHECKING, Annotated, Final

from msgspec import UNSET, Meta, Struct, UnsetType, json
from result import Err, Ok, Result

from wagtaildale.decoding.addresses import LARGEST_PORT
from wagtaildale.decoding.json_documents import decode_json
from wagtaildale.decoding.numbers import Natural
from wagtaildale.errors.codes import Code
from wagtaildale.errors.faults import Fault
from wagtaildale.types import (
    DataCentre,
    InstanceId,
    ListedState,
    Region,
    ServiceName,
)

if TYPE_CHECKING:
    from collections.abc import Mapping

    from wagtaildale.decoding.failures import DecodingFailure

RECORD_CACHE_SIZE: Final = 8192

LARGEST_SLOT_COUNT: Final = 1_000_000

Port = Annotated[int, Meta(ge=1, le=LARGEST_PORT)]
SlotCount = Annotated[int, Meta(ge=0, le=LARGEST_SLOT_COUNT)]
Milliseconds = Natural


class InstanceRecord(Struct, frozen=True, kw_only=True):
    """One backend server instance and the node beside it.

    Attributes:
        instance: id of the instance; a replacement has another id.
        service: service that the instance runs.
        data_centre: data centre of the instance.
        region: region of the data centre.
        host: IP address of instance and node.
        entry_port: port of the node for callers' requests.
        owner_port: port of the node for calls from other nodes.
        control_port: port of the node for control messages.
        admin_port: port of the node's administration API.
        state: live or leaving, as the platform lists it.
        node: id of the node beside the instance; empty if the node has the id
            of the instance. A platform lists it if instance ids change while a
            node runs.
        slots: number of requests that its backend server runs at once; 0 if
            not listed.
        backend_port: port of the backend server; 0 if not listed.
        since: revision of the platform at which it was first listed; 0 if not
            listed.
        born: start time in Unix milliseconds; 0 if not listed. An instance
            that restarts may keep its id.
        evacuated: true if operators have evacuated the data centre. Left out
            otherwise, so that lists without evacuations read the same for
            nodes of an earlier build.
        slow_start_ms: time until the server is warm, milliseconds, as of its
            last report; left out if it is warm.
    """

    instance: InstanceId
    service: ServiceName
    data_centre: DataCentre
    region: Region
    host: str
    entry_port: Port
    owner_port: Port
    control_port: Port
    admin_port: Port
    state: ListedState = ListedState.live
    node: InstanceId = InstanceId('')
    slots: SlotCount = 0
    backend_port: int = 0
    since: int = 0
    born: Milliseconds = 0
    evacuated: bool | UnsetType = UNSET
    slow_start_ms: Milliseconds | UnsetType = UNSET

    @property
    def is_evacuated(self) -> bool:
        """Whether operators have evacuated the data centre."""
        return self.evacuated is True

    @property
    def slow_start_left_ms(self) -> int:
        """Time until the server is warm, milliseconds; 0 if it is."""
        return 0 if self.slow_start_ms is UNSET else self.slow_start_ms

    @property
    def start_order(self) -> tuple[int, int]:
        """Sort key of the instances at one address; greatest for the latest."""
        return self.born, self.since

    @property
    def node_id(self) -> InstanceId:
        """Id of the node beside the instance."""
        return self.node or self.instance

    @property
    def backend_address(self) -> tuple[str, int]:
        """Host and port of the backend server."""
        return self.host, self.backend_port

    @property
    def control_address(self) -> str:
        """ZeroMQ endpoint for control messages."""
        return f'tcp://{self.host}:{self.control_port}'


class InstanceList(Struct, frozen=True, kw_only=True):
    """The platform's instance list.

    Attributes:
        index: version of the list (see ``document.eras``), which only
            increases.
        instances: all instances that are live or leaving.
    """

    index: Annotated[int, Meta(ge=1)]
    instances: tuple[InstanceRecord, ...]


@lru_cache(maxsize=RECORD_CACHE_SIZE)
def decode_record(blob: bytes) -> Result[InstanceRecord, DecodingFailure]:
    """Decode a record; results are cached by content.

    Args:
        blob: record as JSON.

    Returns:
        The record, or why the bytes are not a valid record.
    """
    return decode_json(blob, InstanceRecord, code=Code.part_corrupt)


def encode_list(listing: InstanceList) -> dict[str, bytes]:
    """Encode the instance list as entries of the instance document.

    Args:
        listing: the platform's list.

    Returns:
        Records as JSON, by instance id.
    """
    return {
        str(record.instance): json.encode(record)
        for record in listing.instances
    }


def leave_out_replaced(
    records: Mapping[InstanceId, InstanceRecord],
) -> dict[InstanceId, InstanceRecord]:
    """Leave out instances whose address is used by a later one.

    If a server crashes and another one starts at its address, the list has
    both until the record of the first one lapses. Requests for the first one
    would reach the second one, which refuses them, and use up the attempts of
    their callers.

    Args:
        records: listed records, by instance.

    Returns:
        The records without those that were replaced. Records without a
        backend port are all kept.
    """
    latest: dict[tuple[str, int], tuple[int, int]] = {}
    for record in records.values():
        known = latest.get(record.backend_address, record.start_order)
        latest[record.backend_address] = max(known, record.start_order)
    return {
        name: listed
        for name, listed in records.items()
        if not listed.backend_port
        or latest[listed.backend_address] == listed.start_order
    }


def check_records(
    blobs: Mapping[str, bytes],
) -> Result[dict[InstanceId, InstanceRecord], Fault]:
    """Validate the entries of an instance document.

    Args:
        blobs: records as JSON, by instance id.

    Returns:
        The records, or the first fault.
    """
    records: dict[InstanceId, InstanceRecord] = {}
    for name, blob in blobs.items():
        decoded = decode_record(blob)
        if isinstance(decoded, Err):
            return Err(_make_fault(name, decoded.err_value.detail))
        record = decoded.ok_value
        if record.instance != name:
            return Err(_make_fault(name, record.instance))
        records[record.instance] = record
    return Ok(records)


def _make_fault(name: str, got: str) -> Fault:
    return Fault(
        code=Code.part_corrupt,
        where=f'instance {name}',
        got=got,
        expected=f'the record of {name}',
    )
