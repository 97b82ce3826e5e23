"""An instance as the platform's list gives it."""

from __future__ import annotations

from functools import lru_cache
from typing import TYPE_CHECKING, Annotated, Final

from msgspec import Meta, MsgspecError, Struct, json
from result import Err, Ok, Result

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

RECORD_CACHE_SIZE: Final = 8192
LARGEST_PORT: Final = 65535

Port = Annotated[int, Meta(ge=1, le=LARGEST_PORT)]


class InstanceRecord(Struct, frozen=True, kw_only=True):
    """One backend server instance and the node beside it.

    Attributes:
        instance: its id; a replacement has another one.
        service: which service it runs.
        data_centre: where it stands.
        region: of which region that is.
        host: IP number of instance and node.
        entry_port: where the node takes callers' requests.
        owner_port: where the node takes calls from other nodes.
        control_port: where the node takes control messages.
        admin_port: where the node's administration API answers.
        state: live or leaving, as the platform sees it.
        node: by which nodes know the one beside it; the instance's own id
            where that stays the same while the node runs.
        slots: requests that its backend server runs at once; 0 if it is
            not told.
        backend_port: where its backend server listens; 0 if not told.
        since: when it was first listed, on the platform's own count; 0 if
            not told.
        born: Unix millisecond of its start; 0 if not told. An instance that
            starts again may keep its id.
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
    slots: Annotated[int, Meta(ge=0)] = 0
    backend_port: int = 0
    since: int = 0
    born: int = 0

    @property
    def age_key(self) -> tuple[int, int]:
        """Orders the instances of one address, the latest last."""
        return self.born, self.since

    @property
    def node_id(self) -> InstanceId:
        """By which nodes know the one beside it."""
        return self.node or self.instance

    @property
    def backend_address(self) -> tuple[str, int]:
        """Where its backend server listens."""
        return self.host, self.backend_port

    @property
    def control_address(self) -> str:
        """Where control messages go, as ZeroMQ writes it."""
        return f'tcp://{self.host}:{self.control_port}'


class InstanceList(Struct, frozen=True, kw_only=True):
    """The platform's list.

    Attributes:
        index: its own, increasing.
        instances: all that are live or leaving.
    """

    index: Annotated[int, Meta(ge=1)]
    instances: tuple[InstanceRecord, ...]


record_decoder = json.Decoder(InstanceRecord)


@lru_cache(maxsize=RECORD_CACHE_SIZE)
def decode_record(blob: bytes) -> InstanceRecord:
    """Decode a record; each content is decoded once.

    Args:
        blob: the record's bytes.

    Returns:
        The record.

    Raises:
        ValidationError: of msgspec, when the bytes are no record.
    """
    return record_decoder.decode(blob)


def encode_list(listing: InstanceList) -> dict[str, bytes]:
    """Give the entries of the instance document.

    Args:
        listing: the platform's list.

    Returns:
        By instance id, the record's bytes.
    """
    return {
        str(record.instance): json.encode(record)
        for record in listing.instances
    }


def leave_out_replaced(
    records: Mapping[InstanceId, InstanceRecord],
) -> dict[InstanceId, InstanceRecord]:
    """Leave out instances whose address a later one has.

    Failure guarded here: a server crashes, another one starts at its
    address, and the list names both until the first one's entry lapses.
    Every request for the first one comes to the second one, which refuses
    it, and its callers' attempts are used up on it.

    Args:
        records: by instance, those listed.

    Returns:
        The same, with one instance for each address.
    """
    latest: dict[tuple[str, int], tuple[int, int]] = {}
    for record in records.values():
        known = latest.get(record.backend_address, record.age_key)
        latest[record.backend_address] = max(known, record.age_key)
    return {
        name: listed
        for name, listed in records.items()
        if not listed.backend_port
        or latest[listed.backend_address] == listed.age_key
    }


def check_records(
    blobs: Mapping[str, bytes],
) -> Result[dict[InstanceId, InstanceRecord], Fault]:
    """Check the entries of an instance document.

    Args:
        blobs: by instance id, the record's bytes.

    Returns:
        The records, or the first fault.
    """
    records: dict[InstanceId, InstanceRecord] = {}
    for name, blob in blobs.items():
        try:
            record = decode_record(blob)
        except MsgspecError as error:
            return Err(_describe(name, str(error)))
        if record.instance != name:
            return Err(_describe(name, record.instance))
        records[record.instance] = record
    return Ok(records)


def _describe(name: str, got: str) -> Fault:
    return Fault(
        code=Code.part_corrupt,
        where=f'instance {name}',
        got=got,
        expected=f'the record of {name}',
    )
