"""Messages of calls between two nodes: MessagePack in length-prefixed frames.

One connection carries all calls from one node to another; each call has a
number on it. A frame is a length of four bytes and one message.
"""

from __future__ import annotations

import struct
import zlib
from typing import Final

from msgspec import Struct, msgpack
from result import Err

from wagtaildale.admission.incoming_line import LineState
from wagtaildale.admission.shares import PassShare
from wagtaildale.calls.failures import CallFailed
from wagtaildale.calls.wire.fields import (
    UNKNOWN_RATE,
    AnswerFields,
    CallFields,
)
from wagtaildale.decoding.messages import MessageDecoder, decode_message
from wagtaildale.errors.codes import Code
from wagtaildale.routing.leaving_servers import LeavingServer
from wagtaildale.types import CallNumber, InstanceId

LENGTH_PREFIX: Final = struct.Struct('>I')
# A piece of a body is at most 64 KB (one read); heads are far smaller.
MAX_FRAME_BYTES: Final = 1_000_000
# One read of 64 KB that was compressed by a factor of 100; bodies compress far
# less.
MAX_DECOMPRESSED_BYTES: Final = 6_553_600
# A window of 4 KB holds about a dozen heads; larger ones save 2% more bytes for
# eight times the memory. Negative, so that zlib writes no header.
COMPRESSION_WINDOW_BITS: Final = -12
COMPRESSION_MEMORY_LEVEL: Final = 5
COMPRESSION_LEVEL: Final = 6
# The first byte of a connection tells whether the rest of it is compressed.
PLAIN: Final = b'p'
COMPRESSED: Final = b'z'

HeaderPairs = tuple[tuple[bytes, bytes], ...]


class Reserve(Struct, frozen=True, array_like=True, tag=1, gc=False):
    """Requests a slot; does not run anything.

    Attributes:
        call: number of the call on this connection.
        fields: description of the call by the entry.
    """

    call: CallNumber
    fields: CallFields


class Run(Struct, frozen=True, array_like=True, tag=2, gc=False):
    """Runs a request; no other message runs anything.

    Attributes:
        call: number of the call on this connection.
        fields: description of the call by the entry.
        method: HTTP method.
        target: path and query as received.
        headers: headers that are forwarded.
        body: the whole body, or its beginning.
        more: whether more of the body follows.
        length: announced length of the body in bytes, or -1.
    """

    call: CallNumber
    fields: CallFields
    method: bytes
    target: bytes
    headers: HeaderPairs
    body: bytes
    more: bool
    length: int


class BodyPiece(Struct, frozen=True, array_like=True, tag=3, gc=False):
    """More of a body, in either direction.

    Attributes:
        call: number of the call on this connection.
        body: bytes of the body; empty if they only mark the end.
        more: whether more of the body follows.
    """

    call: CallNumber
    body: bytes
    more: bool


class WindowUpdate(Struct, frozen=True, array_like=True, tag=4, gc=False):
    """Flow control: the receiver of a body has forwarded some of it.

    Attributes:
        call: number of the call on this connection.
        count: number of forwarded bytes.
    """

    call: CallNumber
    count: int


class Cancel(Struct, frozen=True, array_like=True, tag=5, gc=False):
    """Cancels a call that nobody waits for any more.

    Attributes:
        call: number of the call on this connection.
    """

    call: CallNumber


class Granted(Struct, frozen=True, array_like=True, tag=6, gc=False):
    """Grants the slot that was requested for a run message.

    Attributes:
        call: number of the call on this connection.
        fields: fields of the answer, with the state of the owner and the
            lease of the slot.
    """

    call: CallNumber
    fields: AnswerFields


class Failed(Struct, frozen=True, array_like=True, tag=7, gc=False):
    """Ends a call without a response.

    Attributes:
        call: number of the call on this connection.
        fields: fields of the answer, with the state of the owner; their
            ``outcome`` tells whether the request ran.
        detail: description of the failure for people.
    """

    call: CallNumber
    fields: AnswerFields
    detail: str = ''


class Answered(Struct, frozen=True, array_like=True, tag=8, gc=False):
    """The backend server's response.

    Attributes:
        call: number of the call on this connection.
        fields: fields of the answer, with the state of the owner.
        status: HTTP status.
        headers: headers that are forwarded.
        body: the whole body, or its beginning.
        more: whether more of the body follows.
        length: announced length of the body in bytes, or -1.
    """

    call: CallNumber
    fields: AnswerFields
    status: int
    headers: HeaderPairs
    body: bytes
    more: bool
    length: int


class ResponseAborted(Struct, frozen=True, array_like=True, tag=9, gc=False):
    """The response was cut off after its beginning was sent.

    Attributes:
        call: number of the call on this connection.
    """

    call: CallNumber


class Ping(Struct, frozen=True, array_like=True, tag=10, gc=False):
    """Asks whether the other side is alive.

    Attributes:
        accepts_drain_notice: whether the sender understands ``DrainNotice``.
            Builds that do not know the field omit or ignore it.
    """

    accepts_drain_notice: bool = False


class Pong(Struct, frozen=True, array_like=True, tag=11, gc=False):
    """The answer to a ping.

    Attributes:
        collects_bodies: whether the owner runs a request only once its whole
            body has arrived, if its length is at most
            ``body_collector.MAX_COLLECTED_BYTES``. Earlier builds omit the
            field.
        accepts_start_limits: whether the owner understands ``StartLimit``.
    """

    collects_bodies: bool = False
    accepts_start_limits: bool = False


class LoadReport(Struct, frozen=True, array_like=True, tag=12, gc=False):
    """Load and limits of an owner's backend server, sent without a request.

    Attributes:
        instance: instance of the owner's node; entries find the upstream by the
            address of the connection instead.
        in_flight: number of running requests.
        limit: number of requests that may run at once.
        queued: number of waiting requests.
        is_up: whether the backend server accepts connections.
        slowness_percent: current run time in percent of the usual one on this
            backend server; 0 if unknown.
        rate_milli: rate limit in thousandths of a request per second; negative
            values as in ``AnswerFields``.
        share: fraction of the requests of each rank that entries may send; None
            if they may send all.
        leaving: the backend server, if it has announced that it leaves.
        line: state of the owner's line, if its bandwidth is known.
        outgoing_line: as in ``AnswerFields``.
        pace_percent: as in ``AnswerFields``.
    """

    instance: InstanceId
    in_flight: int
    limit: int
    queued: int
    is_up: bool
    slowness_percent: int = 0
    rate_milli: int = UNKNOWN_RATE
    share: PassShare | None = None
    leaving: LeavingServer | None = None
    line: LineState | None = None
    outgoing_line: LineState | None = None
    pace_percent: int = 0


class DrainNotice(Struct, frozen=True, array_like=True, tag=13, gc=False):
    """Tells an entry that the owner accepts no new calls.

    The entry closes the connection once its calls are finished. The notice is
    only sent to an entry that has declared support in a ``Ping``: an earlier
    build would treat it as an invalid frame.
    """


class StartLimit(Struct, frozen=True, array_like=True, tag=14, gc=False):
    """Limits when the run of a call may start, since its entry's process ends.

    A call that has not started by then is refused as not run; one that has
    started goes on. Sent only to an owner that has declared support in a
    ``Pong``.

    Attributes:
        call: number of the call on this connection.
        start_within_ms: milliseconds within which the run must start.
    """

    call: CallNumber
    start_within_ms: int


ToOwner = (
    Reserve | Run | BodyPiece | WindowUpdate | Cancel | Ping | Pong | StartLimit
)
ToEntry = (
    Granted
    | Failed
    | Answered
    | BodyPiece
    | WindowUpdate
    | ResponseAborted
    | Ping
    | Pong
    | LoadReport
    | DrainNotice
)
Frame = (
    Reserve
    | Run
    | BodyPiece
    | WindowUpdate
    | Cancel
    | Granted
    | Failed
    | Answered
    | ResponseAborted
    | Ping
    | Pong
    | LoadReport
    | DrainNotice
    | StartLimit
)

_encoder = msgpack.Encoder()
_decoder: MessageDecoder[Frame] = MessageDecoder(Frame)


def encode_frame(frame: Frame) -> bytes:
    """Encode a message as a frame.

    Args:
        frame: message to encode.

    Returns:
        Length prefix and message.
    """
    encoded = _encoder.encode(frame)
    return LENGTH_PREFIX.pack(len(encoded)) + encoded


class FrameWriter:
    """Writes the frames of one direction of a connection.

    Between data centres the bytes are compressed as one stream: heads of
    requests and responses resemble each other, so that repeated parts cost only
    a few bytes.
    """

    def __init__(self, *, compressed: bool) -> None:
        """Start at the beginning of a connection.

        Args:
            compressed: whether the bytes are compressed.
        """
        self._compressor = None
        if compressed:
            self._compressor = zlib.compressobj(
                COMPRESSION_LEVEL,
                zlib.DEFLATED,
                COMPRESSION_WINDOW_BITS,
                COMPRESSION_MEMORY_LEVEL,
            )

    def write(self, frame: Frame) -> bytes:
        """Write a frame.

        Args:
            frame: message to write.

        Returns:
            Bytes to send, flushed so that the receiver can decode the frame at
            once.
        """
        encoded = encode_frame(frame)
        if self._compressor is None:
            return encoded
        compressed = self._compressor.compress(encoded)
        return compressed + self._compressor.flush(zlib.Z_SYNC_FLUSH)


class FrameReader:
    """Reads the frames of one direction of a connection."""

    def __init__(self, *, compressed: bool = False) -> None:
        """Start at the beginning of a connection.

        Args:
            compressed: whether the bytes are compressed.
        """
        self._buffer = bytearray()
        self._decompressor = None
        if compressed:
            self._decompressor = zlib.decompressobj(COMPRESSION_WINDOW_BITS)

    def feed(self, chunk: bytes) -> list[Frame]:
        """Read the frames that are complete.

        Args:
            chunk: bytes that were read.

        Returns:
            Messages in the order in which they were sent.

        Raises:
            CallFailed: if the bytes are not valid frames.
        """
        self._buffer += self._decompress(chunk)
        frames: list[Frame] = []
        offset = 0
        while len(self._buffer) - offset >= LENGTH_PREFIX.size:
            size = LENGTH_PREFIX.unpack_from(self._buffer, offset)[0]
            if size > MAX_FRAME_BYTES:
                raise CallFailed(
                    Code.message_malformed, detail='frame too large'
                )
            end = offset + LENGTH_PREFIX.size + size
            if len(self._buffer) < end:
                break
            frames.append(decode_frame(self._buffer[end - size : end]))
            offset = end
        self._buffer = self._buffer[offset:]
        return frames

    def _decompress(self, chunk: bytes) -> bytes:
        if self._decompressor is None:
            return chunk
        try:
            decompressed = self._decompressor.decompress(
                chunk, MAX_DECOMPRESSED_BYTES
            )
        except zlib.error as error:
            raise CallFailed(
                Code.message_malformed,
                detail=str(error),
            ) from None
        if self._decompressor.unconsumed_tail:
            # No valid message decompresses to this size; this stops bytes that
            # grow without bound.
            raise CallFailed(
                Code.message_malformed, detail='decompressed input too large'
            )
        return decompressed


def decode_frame(encoded: bytes | bytearray) -> Frame:
    """Decode one message.

    Args:
        encoded: message without its length prefix.

    Returns:
        The message.

    Raises:
        CallFailed: if the message is invalid.
    """
    decoded = decode_message(encoded, _decoder)
    if isinstance(decoded, Err):
        failure = decoded.err_value
        raise CallFailed(failure.code, detail=failure.detail)
    return decoded.ok_value
