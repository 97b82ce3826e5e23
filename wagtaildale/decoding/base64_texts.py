"""Decodes base64."""

from __future__ import annotations

from base64 import b64decode

from result import Err, Ok, Result

from wagtaildale.decoding.failures import DecodingFailure, describe_error
from wagtaildale.errors.codes import Code


def decode_base64(
    encoded: str, *, code: Code
) -> Result[bytes, DecodingFailure]:
    """Decode standard base64 with padding.

    Args:
        encoded: the text.
        code: result code of a failure.

    Returns:
        The bytes, or why the text cannot be decoded.
    """
    try:
        return Ok(b64decode(encoded, validate=True))
    except Exception as error:
        return Err(describe_error(error, code=code))
