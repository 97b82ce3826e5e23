"""Decodes JSON."""

from __future__ import annotations

from typing import TypeVar

from msgspec import json
from result import Err, Ok, Result

from wagtaildale.decoding.failures import DecodingFailure, describe_error
from wagtaildale.errors.codes import Code

Document = TypeVar('Document')


def decode_json(
    payload: bytes | str,
    document_type: type[Document],
    *,
    code: Code,
) -> Result[Document, DecodingFailure]:
    """Decode a JSON document.

    Args:
        payload: the document.
        document_type: type that it is decoded to.
        code: result code of a failure.

    Returns:
        The decoded document, or why it cannot be decoded.
    """
    try:
        return Ok(json.decode(payload, type=document_type))
    except Exception as error:
        # The decoder raises RecursionError for nested values that it skips.
        return Err(describe_error(error, code=code))
