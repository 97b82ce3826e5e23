"""Servers that have said that they leave, for as long as they run.

Failure guarded here: a server that leaves says so in its answers, and is sent
requests again some seconds later, since the platform's list lags, lapses or
names it as ready all along. What a server has said of its own end holds until
it starts anew.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from msgspec import Struct

from wagtaildale.types import InstanceId

if TYPE_CHECKING:
    from wagtaildale.membership.records import InstanceRecord

# Of one fleet; the oldest go.
KEPT_MOST: Final = 1024


class LeavingServer(Struct, frozen=True, array_like=True, gc=False):
    """A start of a server that has said that it leaves.

    Attributes:
        instance: of the server.
        born: Unix millisecond of its start, as listed; 0 if not told.
    """

    instance: InstanceId
    born: int = 0


class LeavingServers:
    """Which starts of servers have said that they leave."""

    def __init__(self) -> None:
        """Begin with none."""
        self._born: dict[InstanceId, int] = {}

    def __bool__(self) -> bool:
        """Tell whether any server has said so."""
        return bool(self._born)

    def note(self, leaver: LeavingServer) -> bool:
        """Note that a server has said that it leaves.

        Args:
            leaver: the server.

        Returns:
            Whether that is news.
        """
        born = leaver.born
        is_known = self._born.pop(leaver.instance, None) == born
        self._born[leaver.instance] = born
        if len(self._born) > KEPT_MOST:
            self._born.pop(next(iter(self._born)))
        return not is_known

    def forget(self, instance: InstanceId) -> None:
        """Forget what a server said: it has started anew.

        Args:
            instance: of the server.
        """
        self._born.pop(instance, None)

    def knows(self, instance: InstanceId) -> bool:
        """Tell whether some start of a server has said that it leaves.

        Args:
            instance: of the server.

        Returns:
            Whether one has.
        """
        return instance in self._born

    def has(self, record: InstanceRecord) -> bool:
        """Tell whether a server has said that it leaves.

        Args:
            record: as it is listed now.

        Returns:
            Whether it is still the start that said so.
        """
        return self._born.get(record.instance) == record.born
