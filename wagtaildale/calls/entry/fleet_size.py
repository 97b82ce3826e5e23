"""Estimates among how many nodes a limit on the whole fleet is divided.

Load pattern: the platform returns from an outage and its first lists lack most
instances, while all their nodes still take requests. If each node divided a
limit among the listed ones only, their shares would add up to several times
the limit, just when most requests fail.
"""

from __future__ import annotations

from typing import Final

# Longer than outages of the platform and of backend servers usually last. After
# nodes are removed, shares stay smaller for as long.
MEMORY_SECONDS: Final = 600.0


class FleetSize:
    """Largest number of nodes that were listed lately."""

    def __init__(self) -> None:
        """Start with no node known."""
        self._most = 0
        self._valid_until = float(0)

    def update(self, listed: int, *, now: float) -> int:
        """Record how many nodes are listed, and estimate how many there are.

        Args:
            listed: number of nodes beside the listed instances.
            now: current time, seconds.

        Returns:
            The largest number of the last ``MEMORY_SECONDS``, at least 1.
        """
        if listed >= self._most or now >= self._valid_until:
            self._most = listed
            self._valid_until = now + MEMORY_SECONDS
        return max(1, self._most)
