"""Messages between nodes, as MessagePack.

Arrays without field names keep them small: control bytes are one of the two
measures of the product.
"""

from __future__ import annotations

import zlib
from typing import Final

from msgspec import MsgspecError, Struct, msgpack
from result import Err, Ok, Result

from wagtaildale.document.model import Delta, Outline
from wagtaildale.errors.codes import Code
from wagtaildale.errors.faults import Fault
from wagtaildale.membership.news import News
from wagtaildale.suspects.records import Suspicion
from wagtaildale.types import (
    DataCentre,
    Digest,
    InstanceId,
    DocumentKind,
    Version,
)

LARGEST_MESSAGE: Final = 16_000_000
WORTH_COMPRESSING: Final = 300
ZLIB_MARK: Final = b'\x78'
NOBODY: Final = InstanceId('')
NOWHERE: Final = DataCentre('')


class Holding(Struct, frozen=True, array_like=True):
    """Which version of one document a node holds, and how fresh it is.

    Attributes:
        kind: which document.
        version: held.
        digest: of that version.
        age_ms: milliseconds since somebody last confirmed it at the
            platform, as far as the sender knows; -1 for never.
        rank: of the reader that confirmed it, in its data centre.
        reader: which one that was; empty if not told.
        data_centre: where it stands; empty if not told, or if the list
            tells.
    """

    kind: DocumentKind
    version: Version
    digest: Digest
    age_ms: int
    rank: int
    reader: InstanceId = NOBODY
    data_centre: DataCentre = NOWHERE


class Swap(Struct, frozen=True, array_like=True, tag=1):
    """A digest of the sender's view, swapped between neighbours.

    Attributes:
        holdings: one for each document.
        is_reply: whether it answers a swap; replies are not answered.
        suspects: sums up the requests that all nodes are to know of; nothing
            if that is not told.
    """

    holdings: tuple[Holding, ...]
    is_reply: bool
    suspects: int | None = None


class Push(Struct, frozen=True, array_like=True, tag=2):
    """A later version, as a delta.

    Attributes:
        delta: what changes.
        holding: the sender's, with its freshness.
        is_past_tree: whether it does not come down the push tree: the
            receiver had asked for it, or it is from another data centre.
    """

    delta: Delta
    holding: Holding
    is_past_tree: bool = False


class PushSeen(Struct, frozen=True, array_like=True, tag=3):
    """A push has come; the sender holds this version or a later one."""

    kind: DocumentKind
    version: Version


class Pull(Struct, frozen=True, array_like=True, tag=4):
    """Asks for what leads from a held version to the receiver's."""

    kind: DocumentKind
    version: Version
    digest: Digest


class OutlineSent(Struct, frozen=True, array_like=True, tag=5):
    """A version's entries, for one whose base is not remembered."""

    outline: Outline


class BlobPull(Struct, frozen=True, array_like=True, tag=6):
    """Asks for blobs by content hash."""

    kind: DocumentKind
    digests: tuple[Digest, ...]


class BlobsSent(Struct, frozen=True, array_like=True, tag=7):
    """Blobs that were asked for, as many as the sender has."""

    kind: DocumentKind
    blobs: tuple[bytes, ...]


class SuspectsTold(Struct, frozen=True, array_like=True, tag=8):
    """Requests under which servers have ended."""

    suspicions: tuple[Suspicion, ...]


Body = (
    Swap
    | Push
    | PushSeen
    | Pull
    | OutlineSent
    | BlobPull
    | BlobsSent
    | SuspectsTold
)


class Envelope(Struct, frozen=True, array_like=True):
    """One message between two nodes.

    Attributes:
        to: the instance meant; empty where only an address is known.
        news: the sender's own news first, then some of others.
        stamp: the sender's hybrid logical clock.
        body: what it is about.
        sent_ms: milliseconds on the sender's steady clock; 0 if not told.
    """

    to: InstanceId
    news: tuple[News, ...]
    stamp: int
    body: Body
    sent_ms: int = 0

    @property
    def sender(self) -> InstanceId:
        """The instance that sent it."""
        return self.news[0].instance


_encoder = msgpack.Encoder()
_decoder = msgpack.Decoder(Envelope)


def encode_envelope(envelope: Envelope) -> bytes:
    """Encode a message.

    Args:
        envelope: the message.

    Returns:
        MessagePack, compressed where that is worth it.
    """
    frame = _encoder.encode(envelope)
    if len(frame) < WORTH_COMPRESSING:
        return frame
    compressed = zlib.compress(frame)
    return compressed if len(compressed) < len(frame) else frame


def decode_envelope(frame: bytes) -> Result[Envelope, Fault]:
    """Decode a message.

    Args:
        frame: what a socket gave.

    Returns:
        The message, or a fault if it is none of ours.
    """
    try:
        envelope = _decoder.decode(_decompress(frame))
    except (MsgspecError, RecursionError, zlib.error) as error:
        return Err(_describe(str(error)))
    if not envelope.news:
        return Err(_describe('no sender'))
    return Ok(envelope)


def _decompress(frame: bytes) -> bytes:
    # An envelope is an array of four: its first byte is never that of a
    # zlib stream. What a frame may grow to is bounded, so that a small one
    # cannot fill the memory.
    if not frame.startswith(ZLIB_MARK):
        return frame
    return zlib.decompressobj().decompress(frame, LARGEST_MESSAGE)


def _describe(got: str) -> Fault:
    return Fault(
        code=Code.message_malformed,
        where='message from a node',
        got=got,
        expected='an envelope',
    )
