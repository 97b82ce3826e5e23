"""Which instance the backend server beside a node is.

Load pattern answered: servers start anew while the platform is silent, and
until it is back every request names one that is gone. Each of them reaches a
server that turns it away, and takes the place of one that could be run.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from wagtaildale.types import InstanceId

# Nobody is told when an instance comes back under the id that it had; one
# request in this time finds out.
DENIED_SECONDS: Final = 2.0
# Instances that one address has had while a node runs; the oldest go.
MAX_DENIED_INSTANCES: Final = 64


class ServerIdentity:
    """What the backend server has said of who it is.

    Attributes:
        instance: which one it last said that it is; nothing while it has not
            said so, or has turned that name away since.
    """

    def __init__(self) -> None:
        """Begin with nothing known: whoever is named is taken to be there."""
        self.instance: InstanceId | None = None
        self._denied_until: dict[InstanceId, float] = {}

    def note_denied(self, instance: InstanceId, *, now: float) -> None:
        """Note that the server is not the one that a request named.

        Args:
            instance: that was named.
            now: seconds.
        """
        if instance == self.instance:
            self.instance = None
        self._denied_until.pop(instance, None)
        self._denied_until[instance] = now + DENIED_SECONDS
        if len(self._denied_until) > MAX_DENIED_INSTANCES:
            self._denied_until.pop(next(iter(self._denied_until)))

    def note_identified(self, instance: InstanceId) -> None:
        """Note which instance the server says that it is.

        Args:
            instance: that it named.
        """
        self.instance = instance
        self._denied_until.pop(instance, None)

    def find_target(
        self,
        instance: InstanceId,
        *,
        now: float,
    ) -> InstanceId | None:
        """Find under which name a request goes to the server.

        Args:
            instance: for which it is meant.
            now: seconds.

        Returns:
            The name: its own, or that of the instance that the server says
            it is; nothing if the server would turn the request away.
        """
        denied_until = self._denied_until.get(instance)
        if denied_until is None:
            return instance
        if self.instance is not None:
            return self.instance
        return None if denied_until > now else instance
