"""Computes which share of each rank's requests entries may send to a server.

One server, or all servers of a service, may accept fewer requests than
arrive. If only the owners know the limit, they refuse the excess, and entries
spend their attempts on one server after the other. Entries that know the
share send the excess to servers with free capacity, or reject it on arrival,
the lowest priority first.

The pass rank orders requests by the priority of their class, and puts late
ones behind those of the next class that are in time. So a service spends no
capacity on a response that misses its target while another request can still
meet its own.

Entries sample the requests that they send, and state how many requests each
sampled one stands for. An owner therefore knows the demand without any share,
and a new share does not depend on the previous one.
"""

from __future__ import annotations

from math import exp
from typing import TYPE_CHECKING, Final

from msgspec import Struct, field

if TYPE_CHECKING:
    from collections.abc import Mapping

# Nodes exchange shares in ten-thousandths.
PARTS_PER_WHOLE: Final = 10_000
# Time constant of the demand measurement: a burst shows within a second.
DECAY_SECONDS: Final = 1.0
# Minimum share of each class, as a part of the share that an even split would
# give it, so that no class is rejected completely for a more important one.
MIN_SHARE_OF_EVEN: Final = 0.3
# Some requests of each rank have to pass, or its demand would be unknown.
MIN_PARTS: Final = 2
LOWEST_RANK: Final = 255
LATE_RANK_OFFSET: Final = 3
# Minimum time between two announcements of a share, and the minimum factor by
# which an announced share differs from the one before.
ANNOUNCE_INTERVAL_SECONDS: Final = 0.25
ANNOUNCE_RATIO: Final = 1.3


def find_pass_rank(rank: int, *, is_late: bool) -> int:
    """Compute the pass rank of a request.

    Args:
        rank: priority of the request's class; 0 is served first.
        is_late: whether the request can no longer meet its target.

    Returns:
        The pass rank, lower values first. It is even for a request in time,
        and odd for a late one, which comes after the next class in time.
    """
    return 2 * rank + LATE_RANK_OFFSET * is_late


class PassShare(Struct, frozen=True, array_like=True, gc=False):
    """Share of the requests of each pass rank that may be sent.

    Requests with a pass rank below ``rank`` all pass.

    Attributes:
        rank: first pass rank of which not all requests pass; see
            ``find_pass_rank``.
        parts: share of this rank that passes, in ten-thousandths.
        lower_rank_parts: share of each later rank in time that passes, in
            ten-thousandths.
    """

    rank: int = LOWEST_RANK
    parts: int = PARTS_PER_WHOLE
    lower_rank_parts: int = PARTS_PER_WHOLE

    def find(self, rank: int) -> float:
        """Find the share of a rank's requests that passes.

        Args:
            rank: pass rank of the requests; see ``find_pass_rank``.

        Returns:
            Share from ``MIN_PARTS / PARTS_PER_WHOLE`` to 1.
        """
        if rank < self.rank:
            return 1
        parts = MIN_PARTS if rank % 2 else self.lower_rank_parts
        if rank == self.rank:
            parts = self.parts
        return min(PARTS_PER_WHOLE, max(MIN_PARTS, parts)) / PARTS_PER_WHOLE


ALL_PASS: Final = PassShare()


class Demand(Struct, kw_only=True):
    """Request rate that a server would receive if all requests passed.

    Attributes:
        amounts: requests of each pass rank, exponentially decayed with a time
            constant of ``DECAY_SECONDS``.
        counted_at: when ``amounts`` were last updated, seconds.
        announced: share that was last sent to entries.
        announced_at: when that share was sent, seconds.
    """

    amounts: dict[int, float] = field(default_factory=dict)
    counted_at: float = 0
    announced: PassShare = ALL_PASS
    announced_at: float = 0

    def note(self, rank: int, *, stands_for: float, now: float) -> None:
        """Count a request.

        Args:
            rank: pass rank of the requests; see ``find_pass_rank``.
            stands_for: number of callers' requests that the request was
                sampled from, itself included.
            now: current time, seconds.
        """
        self._decay(now)
        self.amounts[rank] = self.amounts.get(rank, 0) + stands_for

    def measure(self, now: float) -> float:
        """Measure the request rate if all requests passed.

        Args:
            now: current time, seconds.

        Returns:
            Requests per second.
        """
        # Metrics are read from another thread, so the state is not updated.
        kept = exp((self.counted_at - now) / DECAY_SECONDS)
        return kept * sum(tuple(self.amounts.values())) / DECAY_SECONDS

    def compute_pass_share(
        self, per_second: float | None, *, now: float
    ) -> PassShare:
        """Divide the request rate that a server accepts among the ranks.

        Args:
            per_second: requests per second that the server accepts; None if
                there is no limit.
            now: current time, seconds.

        Returns:
            The share that passes: important ranks first, and some requests
            of every rank.
        """
        if per_second is None:
            return ALL_PASS
        self._decay(now)
        return _divide_rate(
            per_second,
            {
                rank: amount / DECAY_SECONDS
                for rank, amount in self.amounts.items()
            },
        )

    def update_announcement(self, share: PassShare, *, now: float) -> bool:
        """Decide whether to announce a share to entries, and record it.

        Args:
            share: share that passes now.
            now: current time, seconds.

        Returns:
            Whether to announce it: it differs enough from the announced share,
            and the last announcement was long enough ago.
        """
        if (
            now - self.announced_at < ANNOUNCE_INTERVAL_SECONDS
            or not _needs_announcement(share, self.announced)
        ):
            return False
        self.announced = share
        self.announced_at = now
        return True

    def _decay(self, now: float) -> None:
        kept = exp((self.counted_at - now) / DECAY_SECONDS)
        self.counted_at = now
        for rank in self.amounts:
            self.amounts[rank] *= kept


def _divide_rate(per_second: float, demand: Mapping[int, float]) -> PassShare:
    in_time = sum(rate for rank, rate in demand.items() if not rank % 2)
    least = MIN_SHARE_OF_EVEN * min(1, per_second / max(1, in_time))
    kept = {rank: 0 if rank % 2 else least for rank in demand}
    left = per_second - least * in_time
    for rank in sorted(demand):
        wanted = demand[rank] * (1 - kept[rank])
        if wanted > left:
            return PassShare(
                rank,
                _to_parts(kept[rank] + left / demand[rank]),
                _to_parts(least),
            )
        left -= wanted
    return ALL_PASS


def _to_parts(share: float) -> int:
    return max(MIN_PARTS, round(share * PARTS_PER_WHOLE))


def _needs_announcement(share: PassShare, other: PassShare) -> bool:
    if share.rank != other.rank:
        return True
    ratio = share.parts / max(1, other.parts)
    return not 1 / ANNOUNCE_RATIO < ratio < ANNOUNCE_RATIO
