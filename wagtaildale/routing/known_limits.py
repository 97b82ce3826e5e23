"""What an entry knows of the limits that upstreams' servers name."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from msgspec import Struct

from wagtaildale.admission.shares import ALL_PASS, PassShare
from wagtaildale.routing.speed import fade

if TYPE_CHECKING:
    from collections.abc import Container

    from wagtaildale.types import InstanceId

# An owner tells its entries within a second when a share changes. Should its
# word be lost, it counts in full for so long, and for less and less after.
KEPT_SECONDS: Final = 5.0
FADING_SECONDS: Final = 5.0


class ServerLimit(Struct, frozen=True, kw_only=True, gc=False):
    """How many requests a backend server takes.

    Attributes:
        per_second: that it names; nothing if it names no limit.
        share: of the requests of each rank, those that may be sent to it;
            not all also where far more come than it has room for.
    """

    per_second: float | None = None
    share: PassShare = ALL_PASS


NO_LIMIT: Final = ServerLimit()


class KnownLimit(Struct, frozen=True, kw_only=True, gc=False):
    """The limit of one upstream, as its owner last told.

    Attributes:
        server_limit: the owner's word.
        told_at: when that was, seconds.
    """

    server_limit: ServerLimit
    told_at: float

    def find_share(self, rank: int, *, now: float) -> float:
        """Find which share of the requests of a rank may be sent there.

        Failure guarded here: word that a server takes more again is lost,
        and an entry with few requests asks it once in minutes.

        Args:
            rank: see ``admission.shares``.
            now: seconds.

        Returns:
            At most 1; what was told long ago counts for less.
        """
        over = max(0, now - self.told_at - KEPT_SECONDS)
        told = self.server_limit.share.find(rank)
        return fade(told, to=1, share=over / FADING_SECONDS)


class KnownLimits:
    """The limits of all upstreams that do not take all that may come."""

    def __init__(self) -> None:
        """Begin with none."""
        self._limits: dict[InstanceId, KnownLimit] = {}

    def __len__(self) -> int:
        """Count the upstreams that do not take all that may come."""
        return len(self._limits)

    def note(
        self,
        instance: InstanceId,
        server_limit: ServerLimit | None,
        *,
        now: float,
    ) -> None:
        """Note an owner's word.

        Args:
            instance: of the upstream.
            server_limit: the limit; nothing if it is not known yet.
            now: seconds.
        """
        if server_limit is None:
            return
        if server_limit == NO_LIMIT:
            self.forget(instance)
        else:
            self._limits[instance] = KnownLimit(
                server_limit=server_limit, told_at=now
            )

    def forget(self, instance: InstanceId) -> None:
        """Forget the limit of an upstream: its server started anew.

        Args:
            instance: of the upstream.
        """
        self._limits.pop(instance, None)

    def keep_only(self, listed: Container[InstanceId]) -> None:
        """Forget the upstreams that are gone.

        Args:
            listed: who is still there.
        """
        for instance in tuple(self._limits):
            if instance not in listed:
                self.forget(instance)

    def has(self, instance: InstanceId) -> bool:
        """Tell whether an upstream does not take all that may come.

        Args:
            instance: of the upstream.

        Returns:
            Whether it names a limit, or is short of room by far.
        """
        return instance in self._limits

    def find_rate(self, instance: InstanceId) -> float | None:
        """Find how many requests a second an upstream takes.

        Args:
            instance: of the upstream.

        Returns:
            The rate; nothing if it is not known to name a limit.
        """
        known = self._limits.get(instance)
        return None if known is None else known.server_limit.per_second

    def find_share(
        self,
        instance: InstanceId,
        rank: int,
        *,
        now: float,
    ) -> float:
        """Find which share of the requests of a rank an upstream takes.

        Args:
            instance: of the upstream.
            rank: see ``admission.shares``.
            now: seconds.

        Returns:
            At most 1.
        """
        known = self._limits.get(instance)
        return 1 if known is None else known.find_share(rank, now=now)

    def find_accepted_share(self, instance: InstanceId, *, now: float) -> float:
        """Measure which part of its requests an upstream takes.

        Args:
            instance: of the upstream.
            now: seconds.

        Returns:
            Of the first rank of which not all pass; 1 where all do.
        """
        known = self._limits.get(instance)
        if known is None:
            return 1
        return known.find_share(known.server_limit.share.rank, now=now)
