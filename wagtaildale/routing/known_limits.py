"""Keeps the rate limits of the upstreams' backend servers."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from msgspec import Struct

from wagtaildale.admission.shares import ALL_PASS, PassShare
from wagtaildale.routing.slowness import decay_linearly

if TYPE_CHECKING:
    from collections.abc import Container

    from wagtaildale.types import InstanceId

# An owner reports a changed share to its entries within a second. If a report
# is lost, the last one holds for REPORT_VALID_SECONDS and then decays linearly
# to no limit over LIMIT_DECAY_SECONDS.
REPORT_VALID_SECONDS: Final = 5.0
LIMIT_DECAY_SECONDS: Final = 5.0


class ServerLimit(Struct, frozen=True, kw_only=True, gc=False):
    """How many requests a backend server accepts.

    Attributes:
        per_second: rate limit that the server has set, in requests a second;
            nothing if it has set none.
        share: fraction of the requests of each pass rank that may be sent to
            the server; also below 1 without a rate limit, if far more requests
            arrive than the server has capacity for.
    """

    per_second: float | None = None
    share: PassShare = ALL_PASS


NO_LIMIT: Final = ServerLimit()


class KnownLimit(Struct, frozen=True, kw_only=True, gc=False):
    """The limit of one upstream, as its owner last reported it.

    Attributes:
        server_limit: the reported limit.
        reported_at: time of the report, seconds.
    """

    server_limit: ServerLimit
    reported_at: float

    def find_share(self, pass_rank: int, *, now: float) -> float:
        """Find the share of a pass rank's requests that may be sent there.

        An old report counts for less. Otherwise, if the report of a raised
        limit is lost, an entry with few requests would send one to the server
        only every few minutes.

        Args:
            pass_rank: pass rank of the requests; see ``admission.shares``.
            now: current time, in seconds.

        Returns:
            Share above 0, at most 1.
        """
        overdue = max(0, now - self.reported_at - REPORT_VALID_SECONDS)
        share = self.server_limit.share.find(pass_rank)
        return decay_linearly(share, to=1, share=overdue / LIMIT_DECAY_SECONDS)


class KnownLimits:
    """Known limits of the upstreams that do not accept all requests."""

    def __init__(self) -> None:
        """Start without any limit."""
        self._limits: dict[InstanceId, KnownLimit] = {}

    def __len__(self) -> int:
        """Count the upstreams that do not accept all requests."""
        return len(self._limits)

    def note(
        self,
        instance: InstanceId,
        server_limit: ServerLimit | None,
        *,
        now: float,
    ) -> None:
        """Note the limit that an owner reports.

        Args:
            instance: id of the upstream.
            server_limit: reported limit; nothing if the owner does not know
                the limit of its server yet.
            now: current time, in seconds.
        """
        if server_limit is None:
            return
        if server_limit == NO_LIMIT:
            self.forget(instance)
        else:
            self._limits[instance] = KnownLimit(
                server_limit=server_limit, reported_at=now
            )

    def forget(self, instance: InstanceId) -> None:
        """Remove the limit of an upstream, for example after a restart.

        Args:
            instance: id of the upstream.
        """
        self._limits.pop(instance, None)

    def keep_only(self, listed: Container[InstanceId]) -> None:
        """Remove the limits of upstreams that are no longer listed.

        Args:
            listed: instances that are still listed.
        """
        for instance in tuple(self._limits):
            if instance not in listed:
                self.forget(instance)

    def is_limited(self, instance: InstanceId) -> bool:
        """Tell whether an upstream does not accept all requests.

        Args:
            instance: id of the upstream.

        Returns:
            Whether its server has set a rate limit or is far overloaded.
        """
        return instance in self._limits

    def find_rate(self, instance: InstanceId) -> float | None:
        """Find the rate limit of an upstream.

        Args:
            instance: id of the upstream.

        Returns:
            Requests a second; nothing if no rate limit is known.
        """
        known = self._limits.get(instance)
        return None if known is None else known.server_limit.per_second

    def find_share(
        self,
        instance: InstanceId,
        pass_rank: int,
        *,
        now: float,
    ) -> float:
        """Find the share of a pass rank's requests that an upstream accepts.

        Args:
            instance: id of the upstream.
            pass_rank: pass rank of the requests; see ``admission.shares``.
            now: current time, in seconds.

        Returns:
            Share above 0, at most 1.
        """
        known = self._limits.get(instance)
        return 1 if known is None else known.find_share(pass_rank, now=now)

    def find_limited_rank_share(
        self, instance: InstanceId, *, now: float
    ) -> float:
        """Find the share of the most important pass rank that is limited.

        It is the weight of the upstream in a subset.

        Args:
            instance: id of the upstream.
            now: current time, in seconds.

        Returns:
            Share of this rank's requests that the upstream accepts, above 0;
            1 if no rank is limited.
        """
        known = self._limits.get(instance)
        if known is None:
            return 1
        return known.find_share(known.server_limit.share.rank, now=now)
