"""Upstreams whose owners say that their servers are down."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from wagtaildale.types import InstanceId

# Told anew by an owner four times a second, as long as it is true.
KEPT_SECONDS: Final = 1.5


class DownServers:
    """Knows for each how long its owner's word counts."""

    def __init__(self) -> None:
        """Begin with none."""
        self._until: dict[InstanceId, float] = {}

    def __len__(self) -> int:
        """Count those of which that was told."""
        return len(self._until)

    def note(self, instance: InstanceId, *, is_up: bool, now: float) -> bool:
        """Note an owner's word.

        Args:
            instance: of the upstream.
            is_up: whether its server takes connections.
            now: seconds.

        Returns:
            Whether it is up again.
        """
        if is_up:
            return self._until.pop(instance, None) is not None
        self._until[instance] = now + KEPT_SECONDS
        return False

    def has(self, instance: InstanceId, *, now: float) -> bool:
        """Tell whether an upstream's server is down.

        Args:
            instance: of the upstream.
            now: seconds.

        Returns:
            Whether its owner said so, and may be taken by its word.
        """
        until = self._until.get(instance)
        if until is None:
            return False
        if until > now:
            return True
        self._until.pop(instance)
        return False
