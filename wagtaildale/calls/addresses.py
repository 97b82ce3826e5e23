"""Where a connection goes."""

from __future__ import annotations

from msgspec import Struct


class Address(Struct, frozen=True, order=True):
    """An IP number and a port."""

    host: str
    port: int
