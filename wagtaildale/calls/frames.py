"""The messages of calls between two nodes, as MessagePack in frames.

One connection carries all calls from one node to another; each call has a
number on it. A frame is four bytes of length and one message.
"""

from __future__ import annotations

import struct
import zlib
from typing import Final

from msgspec import MsgspecError, Struct, msgpack

from wagtaildale.admission.shares import PassShare
from wagtaildale.calls.failures import CallFailed
from wagtaildale.calls.fields import (
    UNHEARD_RATE,
    AnswerFields,
    CallFields,
)
from wagtaildale.errors.codes import Code
from wagtaildale.routing.leaving_servers import LeavingServer
from wagtaildale.types import CallNumber, InstanceId

LENGTH: Final = struct.Struct('>I')
# A piece of a body is at most what one read gives; heads are far smaller.
LARGEST_FRAME: Final = 1_000_000
# One read of 64 KB compressed a hundredfold: bodies compress far less.
LARGEST_READ: Final = 6_553_600
# A window of 4 KB holds the last dozen heads; larger ones saved 2% more for
# eight times the memory (trial with heads of the users' requests).
WINDOW_BITS: Final = -12
MEMORY_LEVEL: Final = 5
LEVEL: Final = 6
# The first byte of a connection says how the rest of it is written.
PLAIN: Final = b'p'
COMPRESSED: Final = b'z'

HeaderPairs = tuple[tuple[bytes, bytes], ...]


class Reserve(Struct, frozen=True, array_like=True, tag=1, gc=False):
    """Asks for a slot; nothing runs by it."""

    call: CallNumber
    fields: CallFields


class Run(Struct, frozen=True, array_like=True, tag=2, gc=False):
    """Runs a request: the one message by which anything is ever run.

    Attributes:
        call: its number on this connection.
        fields: what the entry tells of it.
        method: HTTP method.
        target: path and query as they came.
        headers: those that go on.
        body: all of it, or its beginning.
        more: whether pieces follow.
        length: of the body where it was announced, else -1.
    """

    call: CallNumber
    fields: CallFields
    method: bytes
    target: bytes
    headers: HeaderPairs
    body: bytes
    more: bool
    length: int


class Piece(Struct, frozen=True, array_like=True, tag=3, gc=False):
    """More of a body, either way.

    Attributes:
        call: its number on this connection.
        body: the bytes; none where only the end is told.
        more: whether pieces follow.
    """

    call: CallNumber
    body: bytes
    more: bool


class Taken(Struct, frozen=True, array_like=True, tag=4, gc=False):
    """The receiver of pieces has passed so many bytes on."""

    call: CallNumber
    count: int


class Cancel(Struct, frozen=True, array_like=True, tag=5, gc=False):
    """Nobody waits for the call any more."""

    call: CallNumber


class Granted(Struct, frozen=True, array_like=True, tag=6, gc=False):
    """A slot is held for a run message."""

    call: CallNumber
    answer: AnswerFields


class Failed(Struct, frozen=True, array_like=True, tag=7, gc=False):
    """The call ends without a response; ``answer.outcome`` tells if it ran."""

    call: CallNumber
    answer: AnswerFields
    detail: str = ''


class Answered(Struct, frozen=True, array_like=True, tag=8, gc=False):
    """The backend server's response.

    Attributes:
        call: its number on this connection.
        answer: what the owner tells along with it.
        status: HTTP status.
        headers: those that go on.
        body: all of it, or its beginning.
        more: whether pieces follow.
        length: of the body where the response announces it, else -1.
    """

    call: CallNumber
    answer: AnswerFields
    status: int
    headers: HeaderPairs
    body: bytes
    more: bool
    length: int


class Cut(Struct, frozen=True, array_like=True, tag=9, gc=False):
    """A response broke off after its beginning was sent."""

    call: CallNumber


class Ping(Struct, frozen=True, array_like=True, tag=10, gc=False):
    """Asks whether the other side is there.

    Attributes:
        hears_leaving: whether whoever asks knows ``Leaving``. Builds that
            do not know the field leave it out, or read past it.
    """

    hears_leaving: bool = False


class Pong(Struct, frozen=True, array_like=True, tag=11, gc=False):
    """The answer to a ping."""


class Load(Struct, frozen=True, array_like=True, tag=12, gc=False):
    """How full an owner's backend server is, told without being asked.

    Attributes:
        instance: the backend server.
        in_flight: requests that run there.
        limit: how many may.
        queued: requests that wait.
        is_up: whether it takes connections.
        slowness_percent: the time of its runs now, in percent of what they
            usually take there; 0 if not told.
        rate_milli: thousandths of a request a second that it takes;
            negative marks as in ``AnswerFields``.
        share: of the requests of each rank, those that entries may send;
            nothing if all may be.
        leaving: the backend server, if that has said that it leaves.
    """

    instance: InstanceId
    in_flight: int
    limit: int
    queued: int
    is_up: bool
    slowness_percent: int = 0
    rate_milli: int = UNHEARD_RATE
    share: PassShare | None = None
    leaving: LeavingServer | None = None


class Leaving(Struct, frozen=True, array_like=True, tag=13, gc=False):
    """The owner takes no new call; the entry closes when its calls are over.

    Sent only to an entry that has said in a ``Ping`` that it knows this: an
    earlier build would take it for bytes that are no frame.
    """


ToOwner = Reserve | Run | Piece | Taken | Cancel | Ping | Pong
ToEntry = (
    Granted
    | Failed
    | Answered
    | Piece
    | Taken
    | Cut
    | Ping
    | Pong
    | Load
    | Leaving
)
Frame = (
    Reserve
    | Run
    | Piece
    | Taken
    | Cancel
    | Granted
    | Failed
    | Answered
    | Cut
    | Ping
    | Pong
    | Load
    | Leaving
)

_encoder = msgpack.Encoder()
_decoder: msgpack.Decoder[Frame] = msgpack.Decoder(Frame)


def encode_frame(frame: Frame) -> bytes:
    """Encode a frame.

    Args:
        frame: the message.

    Returns:
        Its length and its bytes.
    """
    encoded = _encoder.encode(frame)
    return LENGTH.pack(len(encoded)) + encoded


class FrameWriter:
    """Writes the frames of one direction of a connection.

    Between data centres the bytes are compressed as one stream: heads of
    requests and responses repeat each other, and what is sent again of them
    then costs a few bytes.
    """

    def __init__(self, *, compressed: bool) -> None:
        """Begin at the start of a connection.

        Args:
            compressed: whether the bytes are compressed.
        """
        self._compressor = None
        if compressed:
            self._compressor = zlib.compressobj(
                LEVEL,
                zlib.DEFLATED,
                WINDOW_BITS,
                MEMORY_LEVEL,
            )

    def write(self, frame: Frame) -> bytes:
        """Write a frame.

        Args:
            frame: the message.

        Returns:
            The bytes to send; the other side can read all of it by them.
        """
        encoded = encode_frame(frame)
        if self._compressor is None:
            return encoded
        begun = self._compressor.compress(encoded)
        return begun + self._compressor.flush(zlib.Z_SYNC_FLUSH)


class FrameReader:
    """Takes frames out of the bytes of one direction of a connection."""

    def __init__(self, *, compressed: bool = False) -> None:
        """Begin at the start of a connection.

        Args:
            compressed: whether the bytes are compressed.
        """
        self._buffer = bytearray()
        self._decompressor = None
        if compressed:
            self._decompressor = zlib.decompressobj(WINDOW_BITS)

    def feed(self, chunk: bytes) -> list[Frame]:
        """Take the frames that are whole now.

        Args:
            chunk: as read.

        Returns:
            In the order they were sent.

        Raises:
            CallFailed: when the bytes are no frames of ours.
        """
        self._buffer += self._decompress(chunk)
        frames: list[Frame] = []
        at = 0
        while len(self._buffer) - at >= LENGTH.size:
            size = LENGTH.unpack_from(self._buffer, at)[0]
            if size > LARGEST_FRAME:
                raise CallFailed(Code.message_malformed, detail='frame size')
            end = at + LENGTH.size + size
            if len(self._buffer) < end:
                break
            frames.append(decode_frame(self._buffer[end - size : end]))
            at = end
        self._buffer = self._buffer[at:]
        return frames

    def _decompress(self, chunk: bytes) -> bytes:
        if self._decompressor is None:
            return chunk
        try:
            taken = self._decompressor.decompress(chunk, LARGEST_READ)
        except zlib.error as error:
            raise CallFailed(
                Code.message_malformed,
                detail=str(error),
            ) from None
        if self._decompressor.unconsumed_tail:
            # A few bytes that grow without bound are no message of ours.
            raise CallFailed(Code.message_malformed, detail='grows too far')
        return taken


def decode_frame(encoded: bytes | bytearray) -> Frame:
    """Decode one frame.

    Args:
        encoded: without its length.

    Returns:
        The message.

    Raises:
        CallFailed: when it is none of ours.
    """
    try:
        return _decoder.decode(encoded)
    except (MsgspecError, RecursionError) as error:
        raise CallFailed(
            Code.message_malformed,
            detail=str(error),
        ) from None
