"""IP address and port of a listener."""

from __future__ import annotations

from msgspec import Struct


class Address(Struct, frozen=True, order=True):
    """An IP address and a port."""

    host: str
    port: int
