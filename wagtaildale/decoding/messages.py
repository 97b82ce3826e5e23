"""Decodes MessagePack, the format of the messages between nodes."""

from __future__ import annotations

from typing import TypeVar

from msgspec import msgpack
from result import Err, Ok, Result

from wagtaildale.decoding.failures import DecodingFailure, describe_error
from wagtaildale.errors.codes import Code

Message = TypeVar('Message')
MessageDecoder = msgpack.Decoder


def decode_message(
    encoded: bytes | bytearray,
    decoder: MessageDecoder[Message],
) -> Result[Message, DecodingFailure]:
    """Decode a message of another node.

    Args:
        encoded: the message.
        decoder: decoder of its type.

    Returns:
        The message, or why it cannot be decoded.
    """
    try:
        return Ok(decoder.decode(encoded))
    except Exception as error:
        # The decoder raises RecursionError for nested values that it skips.
        return Err(describe_error(error, code=Code.message_malformed))
