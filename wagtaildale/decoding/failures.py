"""The failure to decode an input."""

from __future__ import annotations

from msgspec import Struct

from wagtaildale.errors.codes import Code

# Enough to see what is wrong; an input may be a megabyte long, and an error
# may quote all of it.
LONGEST_DETAIL_CHARACTERS = 300


class DecodingFailure(Struct, frozen=True, kw_only=True):
    """Why an input cannot be decoded.

    Attributes:
        code: numbered result code, which the reader of the input chooses.
        detail: explanation for people.
    """

    code: Code
    detail: str


def describe_error(error: Exception, *, code: Code) -> DecodingFailure:
    """Describe the error of a decoder.

    Args:
        error: what the decoder raised.
        code: numbered result code.

    Returns:
        The failure.
    """
    detail = str(error) or type(error).__name__
    return DecodingFailure(code=code, detail=detail[:LONGEST_DETAIL_CHARACTERS])
