"""Keeps track of upstreams whose backend servers are reported down."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from wagtaildale.types import InstanceId

# An owner repeats the report four times a second while its server is down.
REPORT_TTL_SECONDS: Final = 1.5


class DownServers:
    """Upstreams whose servers are down, each until its report expires."""

    def __init__(self) -> None:
        """Start without any."""
        self._down_until: dict[InstanceId, float] = {}

    def __len__(self) -> int:
        """Count the upstreams whose servers were reported down."""
        return len(self._down_until)

    def note(self, instance: InstanceId, *, is_up: bool, now: float) -> bool:
        """Note an owner's report on its backend server.

        Args:
            instance: id of the upstream.
            is_up: whether the server accepts connections.
            now: current time, in seconds.

        Returns:
            Whether the server was down and is up again.
        """
        if is_up:
            return self._down_until.pop(instance, None) is not None
        self._down_until[instance] = now + REPORT_TTL_SECONDS
        return False

    def is_down(self, instance: InstanceId, *, now: float) -> bool:
        """Tell whether an upstream's server is down.

        Args:
            instance: id of the upstream.
            now: current time, in seconds.

        Returns:
            Whether its owner reported so and the report has not expired.
        """
        until = self._down_until.get(instance)
        if until is None:
            return False
        if until > now:
            return True
        self._down_until.pop(instance)
        return False
