"""Which part of the requests for a limited server entries may send to it.

Load pattern answered: a server names a rate under what comes, or all servers
of a service do. Known to their owners alone, a limit turns the rest into
refusals there: entries ask one server after the other and spend their
attempts. Told to entries, the rest goes to servers with room, or is rejected
where it comes in, the least important first.

Requests are ranked for this by their class, and late ones behind: of what a
service can take, none is spent on an answer that misses its target while
another request can still be in time.

Entries send a request that they drew among several, and say how many it
stands for. So an owner knows what it would be asked without any share, and
what it tells does not depend on what it told before.
"""

from __future__ import annotations

from math import exp
from typing import TYPE_CHECKING, Final

from msgspec import Struct, field

if TYPE_CHECKING:
    from collections.abc import Mapping

# Shares go between nodes in ten-thousandths.
PARTS_PER_WHOLE: Final = 10_000
# Of the load that was; a burst is known within a second of its begin.
DECAY_SECONDS: Final = 1.0
# Of the share of all requests that pass: what each class has at the least, so
# that none is turned away altogether for a more important one.
MIN_SHARE_OF_EVEN: Final = 0.3
# Some requests of each rank must come, or it is not known that they would.
MIN_PARTS: Final = 2
LOWEST_RANK: Final = 255
LATE_RANK_OFFSET: Final = 3
# Between two tellings, and by how much a share differs from what was told.
ANNOUNCE_INTERVAL_SECONDS: Final = 0.25
ANNOUNCE_RATIO: Final = 1.3


def find_pass_rank(rank: int, *, is_late: bool) -> int:
    """Find the rank by which a request goes to limited servers.

    Args:
        rank: of its class; 0 goes first.
        is_late: whether it cannot be answered within its target.

    Returns:
        Even in time; odd if late, behind those in time of the next class.
    """
    return 2 * rank + LATE_RANK_OFFSET * is_late


class PassShare(Struct, frozen=True, array_like=True, gc=False):
    """Of the requests of each rank, how many in ten thousand pass.

    Attributes:
        rank: all those of more important ranks pass; see ``find_pass_rank``.
        parts: of this rank.
        lower_rank_parts: of less important ones that can be in time.
    """

    rank: int = LOWEST_RANK
    parts: int = PARTS_PER_WHOLE
    lower_rank_parts: int = PARTS_PER_WHOLE

    def find(self, rank: int) -> float:
        """Find the share of a rank that passes.

        Args:
            rank: see ``find_pass_rank``.

        Returns:
            From ``MIN_PARTS`` to 1.
        """
        if rank < self.rank:
            return 1
        parts = MIN_PARTS if rank % 2 else self.lower_rank_parts
        if rank == self.rank:
            parts = self.parts
        return min(PARTS_PER_WHOLE, max(MIN_PARTS, parts)) / PARTS_PER_WHOLE


ALL_PASS: Final = PassShare()


class Demand(Struct, kw_only=True):
    """Requests a second that would come if all of them passed.

    Attributes:
        amounts: by rank, requests of about ``DECAY_SECONDS``.
        counted_at: when that was, seconds.
        announced: which share entries were told last.
        announced_at: when that was, seconds.
    """

    amounts: dict[int, float] = field(default_factory=dict)
    counted_at: float = 0
    announced: PassShare = ALL_PASS
    announced_at: float = 0

    def note(self, rank: int, *, stands_for: float, now: float) -> None:
        """Count a request.

        Args:
            rank: see ``find_pass_rank``.
            stands_for: how many such requests it was drawn among.
            now: seconds.
        """
        self._decay(now)
        self.amounts[rank] = self.amounts.get(rank, 0) + stands_for

    def measure(self, now: float) -> float:
        """Measure what would come if all of it passed.

        Args:
            now: seconds.

        Returns:
            Requests a second.
        """
        # Metrics are read by another thread: nothing is moved forward here.
        kept = exp((self.counted_at - now) / DECAY_SECONDS)
        return kept * sum(tuple(self.amounts.values())) / DECAY_SECONDS

    def compute_pass_share(
        self, per_second: float | None, *, now: float
    ) -> PassShare:
        """Share what a server takes out to the ranks.

        Args:
            per_second: requests that it takes; nothing if it names no limit.
            now: seconds.

        Returns:
            What passes: the important ones first, and some of each.
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
        """Find whether entries are to be told of a share, and note it.

        Args:
            share: that passes now.
            now: seconds.

        Returns:
            Whether it differs from what they know.
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
    in_time = sum(often for rank, often in demand.items() if not rank % 2)
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
