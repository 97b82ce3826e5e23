"""Decodes TOML, the format of files that people write."""

from __future__ import annotations

import tomllib
from typing import Any, TypeVar

from msgspec import convert
from result import Err, Ok, Result

from wagtaildale.decoding.failures import DecodingFailure, describe_error
from wagtaildale.errors.codes import Code

Shape = TypeVar('Shape')


def decode_toml(
    text: str, *, code: Code
) -> Result[dict[str, Any], DecodingFailure]:
    """Decode a TOML document.

    Args:
        text: the document.
        code: result code of a failure.

    Returns:
        Its root table, or why it cannot be decoded.
    """
    try:
        return Ok(tomllib.loads(text))
    except Exception as error:
        # The decoder raises ValueError for an integer of over 4,300 digits.
        return Err(describe_error(error, code=code))


def convert_table(
    table: Any, shape: type[Shape], *, code: Code
) -> Result[Shape, DecodingFailure]:
    """Convert a decoded value to a type.

    Args:
        table: value of a TOML document.
        shape: type that it is converted to.
        code: result code of a failure.

    Returns:
        The converted value, or why it cannot be converted.
    """
    try:
        return Ok(convert(table, shape))
    except Exception as error:
        return Err(describe_error(error, code=code))
