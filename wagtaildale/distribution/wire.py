"""Messages between nodes, encoded as MessagePack.

They are arrays without field names to keep them small: the volume of control
traffic is one of the two measures of the product.
"""

from __future__ import annotations

import zlib
from typing import Final

from msgspec import Struct, msgpack
from result import Err, Result

from wagtaildale.decoding.messages import MessageDecoder, decode_message
from wagtaildale.document.model import Delta, Outline
from wagtaildale.errors.codes import Code
from wagtaildale.errors.faults import Fault
from wagtaildale.membership.news import News
from wagtaildale.suspects.records import Suspicion
from wagtaildale.types import (
    DataCentre,
    Digest,
    DocumentKind,
    InstanceId,
    Version,
)

MAX_MESSAGE_BYTES: Final = 16_000_000
MIN_COMPRESSED_BYTES: Final = 300
ZLIB_FIRST_BYTE: Final = b'\x78'
NO_INSTANCE: Final = InstanceId('')
NO_DATA_CENTRE: Final = DataCentre('')


class Holding(Struct, frozen=True, array_like=True):
    """The version of a document that a node holds, and its freshness.

    Attributes:
        kind: kind of the document.
        version: version that the sender holds.
        digest: content hash of that version.
        age_ms: milliseconds since a reader last confirmed it at the platform,
            as far as the sender knows; -1 for never.
        rank: rank of that reader in its data centre.
        reader: instance of that reader; empty if unknown.
        data_centre: data centre of that reader; empty if unknown, or if the
            reader is listed.
        is_whole: whether the version was read as a whole; see ``Outline``.
    """

    kind: DocumentKind
    version: Version
    digest: Digest
    age_ms: int
    rank: int
    reader: InstanceId = NO_INSTANCE
    data_centre: DataCentre = NO_DATA_CENTRE
    is_whole: bool = False


class Swap(Struct, frozen=True, array_like=True, tag=1):
    """A digest of the sender's view, swapped between neighbours.

    Attributes:
        holdings: held version of each document.
        is_reply: whether it replies to a swap; replies get no reply.
        suspects: checksum of the suspected requests that all nodes must know;
            None if not sent.
        watches: whether the sender is a reader, in a heartbeat; otherwise None.
    """

    holdings: tuple[Holding, ...]
    is_reply: bool
    suspects: int | None = None
    watches: bool | None = None


class Push(Struct, frozen=True, array_like=True, tag=2):
    """A later version, as a delta.

    Attributes:
        delta: changes from an earlier version.
        holding: version that the sender holds, and its freshness.
        bypasses_tree: whether it does not come down the push tree, since the
            receiver requested it or it is from another data centre.
    """

    delta: Delta
    holding: Holding
    bypasses_tree: bool = False


class PushSeen(Struct, frozen=True, array_like=True, tag=3):
    """Acknowledges a push; the sender holds this version or a later one."""

    kind: DocumentKind
    version: Version


class Pull(Struct, frozen=True, array_like=True, tag=4):
    """Requests the delta from the sender's version to the receiver's."""

    kind: DocumentKind
    version: Version
    digest: Digest


class OutlineSent(Struct, frozen=True, array_like=True, tag=5):
    """Entries of a version, sent if the base of a delta is unknown."""

    outline: Outline


class BlobPull(Struct, frozen=True, array_like=True, tag=6):
    """Requests blobs by content hash."""

    kind: DocumentKind
    digests: tuple[Digest, ...]


class BlobsSent(Struct, frozen=True, array_like=True, tag=7):
    """Requested blobs, as many as the sender has."""

    kind: DocumentKind
    blobs: tuple[bytes, ...]


class SuspicionsSent(Struct, frozen=True, array_like=True, tag=8):
    """Suspected requests, which were running when servers ended."""

    suspicions: tuple[Suspicion, ...]


Body = (
    Swap
    | Push
    | PushSeen
    | Pull
    | OutlineSent
    | BlobPull
    | BlobsSent
    | SuspicionsSent
)


class Envelope(Struct, frozen=True, array_like=True):
    """One message between two nodes.

    Attributes:
        to: receiving instance; empty if only its address is known.
        news: membership news: the sender's own first, then some of others.
        stamp: hybrid logical clock of the sender.
        body: content of the message.
        sent_ms: time of sending, milliseconds on the sender's steady clock; 0
            if unknown.
    """

    to: InstanceId
    news: tuple[News, ...]
    stamp: int
    body: Body
    sent_ms: int = 0

    @property
    def sender(self) -> InstanceId:
        """Instance that sent the message."""
        return self.news[0].instance


_encoder = msgpack.Encoder()
_decoder = MessageDecoder(Envelope)


def encode_envelope(envelope: Envelope) -> bytes:
    """Encode a message.

    Args:
        envelope: the message.

    Returns:
        MessagePack, compressed if that makes it smaller.
    """
    frame = _encoder.encode(envelope)
    if len(frame) < MIN_COMPRESSED_BYTES:
        return frame
    compressed = zlib.compress(frame)
    return compressed if len(compressed) < len(frame) else frame


def decode_envelope(frame: bytes) -> Result[Envelope, Fault]:
    """Decode a message.

    Args:
        frame: received frame.

    Returns:
        The message, or a fault if it cannot be decoded.
    """
    try:
        message = _decompress(frame)
    except zlib.error as error:
        return Err(_describe(str(error)))
    decoded = decode_message(message, _decoder)
    if isinstance(decoded, Err):
        return Err(_describe(decoded.err_value.detail))
    if not decoded.ok_value.news:
        return Err(_describe('no sender'))
    return decoded


def _decompress(frame: bytes) -> bytes:
    # An envelope is an array of four or five, whose first byte is never that of
    # a zlib stream. The decompressed size is bounded so that a small frame
    # cannot exhaust the memory.
    if not frame.startswith(ZLIB_FIRST_BYTE):
        return frame
    return zlib.decompressobj().decompress(frame, MAX_MESSAGE_BYTES)


def _describe(got: str) -> Fault:
    return Fault(
        code=Code.message_malformed,
        where='message from a node',
        got=got,
        expected='an envelope encoded as MessagePack',
    )
