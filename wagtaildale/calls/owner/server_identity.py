"""Tracks which instance the backend server beside a node is.

While the platform is unreachable, the list keeps the ids of servers that have
restarted since, and requests name these instances, which no longer exist.
Without this module, each such request would be sent to a server that refuses
it, and would take capacity from requests that could run.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from wagtaildale.types import InstanceId

# No message announces an instance that restarts under its old id, so one
# request per interval is let through to find out.
DENIAL_RECHECK_SECONDS: Final = 2.0
# Limits the memory for the instances that one address has had while the node
# runs; the oldest are dropped.
MAX_DENIED_INSTANCES: Final = 64


class ServerIdentity:
    """Identity that the backend server has reported.

    Attributes:
        instance: last reported instance; None if the server has not reported
            one, or has refused a request for that instance since.
    """

    def __init__(self) -> None:
        """Start with no known identity, so that every instance is accepted."""
        self.instance: InstanceId | None = None
        self._denied_until: dict[InstanceId, float] = {}

    def note_denied(self, instance: InstanceId, *, now: float) -> None:
        """Record that the server is not the instance that a request named.

        Args:
            instance: instance that the request named.
            now: current time in seconds.
        """
        if instance == self.instance:
            self.instance = None
        self._denied_until.pop(instance, None)
        self._denied_until[instance] = now + DENIAL_RECHECK_SECONDS
        if len(self._denied_until) > MAX_DENIED_INSTANCES:
            self._denied_until.pop(next(iter(self._denied_until)))

    def note_identified(self, instance: InstanceId) -> None:
        """Record the instance that the server reports to be.

        Args:
            instance: reported instance.
        """
        self.instance = instance
        self._denied_until.pop(instance, None)

    def find_target(
        self,
        instance: InstanceId,
        *,
        now: float,
    ) -> InstanceId | None:
        """Find the instance to name in a request to the server.

        Args:
            instance: instance that the request is meant for.
            now: current time in seconds.

        Returns:
            The given instance, or the one that the server reports to be;
            None if the server would refuse the request.
        """
        denied_until = self._denied_until.get(instance)
        if denied_until is None:
            return instance
        if self.instance is not None:
            return self.instance
        return None if denied_until > now else instance
