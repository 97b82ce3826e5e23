"""Integers of documents that others write.

JSON has integers of any length, and the decoder takes them. Arithmetic with
floating-point numbers and the messages between nodes do not.
"""

from __future__ import annotations

from typing import Annotated, Final

from msgspec import Meta

# The largest integer that every reader of JSON keeps exactly.
LARGEST_INTEGER: Final = 9_007_199_254_740_991

Integer = Annotated[int, Meta(ge=-LARGEST_INTEGER, le=LARGEST_INTEGER)]
Natural = Annotated[int, Meta(ge=0, le=LARGEST_INTEGER)]
Positive = Annotated[int, Meta(ge=1, le=LARGEST_INTEGER)]
