"""Decodes an IP address and port, written with a colon between them."""

from __future__ import annotations

from ipaddress import IPv4Address
from typing import Final

from result import Err, Ok, Result

from wagtaildale.calls.addresses import Address
from wagtaildale.decoding.failures import DecodingFailure, describe_error
from wagtaildale.errors.codes import Code

LARGEST_PORT: Final = 65535
# The address of an IP version 4 host, the colon and the port.
LONGEST_ADDRESS_CHARACTERS: Final = 21


def decode_address(
    text: str, *, code: Code
) -> Result[Address, DecodingFailure]:
    """Decode an address.

    Host names are refused: resolving one would block the task that carries
    all calls.

    Args:
        text: IP address and port.
        code: result code of a failure.

    Returns:
        The address, or why the text is none.
    """
    if len(text) > LONGEST_ADDRESS_CHARACTERS:
        detail = f'got an address of {len(text)} characters'
        return Err(DecodingFailure(code=code, detail=detail))
    host, _colon, port = text.rpartition(':')
    try:
        address = Address(str(IPv4Address(host)), int(port))
    except Exception as error:
        return Err(describe_error(error, code=code))
    if 1 <= address.port <= LARGEST_PORT:
        return Ok(address)
    detail = f'got port {address.port}, expected 1 to {LARGEST_PORT}'
    return Err(DecodingFailure(code=code, detail=detail))
