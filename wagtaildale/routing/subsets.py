"""Selects the subset of a large service's upstreams that an entry calls.

The entry keeps connections only to its subset. Upstreams in the entry's data
centre ("near") are selected first. Some of the others ("far") are selected as
well, so that connections to them are open when the near ones are full,
unreachable or gone.

A subset drawn from the whole list would cause needless traffic between data
centres. With a hundred servers in several data centres, fifteen of them near,
it would have two near upstreams on average, and for some entries none.

Rendezvous hashing gives every entry a different subset, puts each upstream of
a data centre into about the same number of subsets, and moves few of them
when the list changes.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from msgspec import Struct

from wagtaildale.membership.records import InstanceRecord
from wagtaildale.membership.topology import hash_instance

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from wagtaildale.types import DataCentre, InstanceId

# With more upstreams, each would get too few requests for recent statistics. A
# dozen servers with several slots each are enough that a single long request
# at one of them has little effect.
MAX_NEAR_WEIGHT: Final = 12
# Far upstreams are added until the subset has this weight. Services have 7
# upstreams on average (2,500 in 360 services), so entries call all upstreams of
# nearly every service. The weight bounds the subset of the rare large service.
MIN_SUBSET_WEIGHT: Final = 12
# An upstream weighs the share of its requests that it accepts. At most this
# many upstreams are selected for each unit of weight.
MAX_UPSTREAMS_PER_WEIGHT: Final = 3
# Weight of far upstreams beside a full set of near ones, so that an entry can
# choose among servers elsewhere if the near ones are full.
MIN_FAR_WEIGHT: Final = 4


def _weigh_equally(_record: InstanceRecord) -> float:
    return 1


class RankedUpstreams(Struct, frozen=True, kw_only=True):
    """The upstreams of a service, in the order of an entry's preference.

    Attributes:
        listed: upstreams in the order of the instance list.
        near: ranked upstreams in the entry's data centre.
        far: ranked upstreams in other data centres.
    """

    listed: tuple[InstanceRecord, ...]
    near: tuple[InstanceRecord, ...]
    far: tuple[InstanceRecord, ...]

    def select(
        self,
        is_wanted: Callable[[InstanceRecord], bool],
        *,
        find_weight: Callable[[InstanceRecord], float] = _weigh_equally,
    ) -> list[InstanceRecord]:
        """Select a subset of the upstreams that satisfy a condition.

        Args:
            is_wanted: tells whether an upstream may be selected.
            find_weight: returns the weight of an upstream: the share of its
                requests that it accepts, from 0 to 1.

        Returns:
            The selected upstreams, near ones first.
        """
        near = _select_first(self.near, is_wanted, find_weight, MAX_NEAR_WEIGHT)
        far_weight = max(
            MIN_FAR_WEIGHT, MIN_SUBSET_WEIGHT - sum(map(find_weight, near))
        )
        return near + _select_first(
            self.far, is_wanted, find_weight, far_weight
        )


def rank_upstreams(
    records: tuple[InstanceRecord, ...],
    *,
    entry: InstanceId,
    data_centre: DataCentre,
) -> RankedUpstreams:
    """Rank the upstreams of a service for one entry.

    Args:
        records: upstreams of the service.
        entry: instance of the entry's node.
        data_centre: data centre of the entry.

    Returns:
        The upstreams in the entry's order.
    """
    ranked = sorted(
        records,
        key=lambda record: hash_instance(entry, record.instance),
    )
    near = [each for each in ranked if each.data_centre == data_centre]
    far = [each for each in ranked if each.data_centre != data_centre]
    return RankedUpstreams(
        listed=records,
        near=tuple(near),
        far=tuple(far),
    )


def _select_first(
    records: Iterable[InstanceRecord],
    is_wanted: Callable[[InstanceRecord], bool],
    find_weight: Callable[[InstanceRecord], float],
    max_weight: float,
) -> list[InstanceRecord]:
    selected: list[InstanceRecord] = []
    weight = float(0)
    for record in records:
        if (
            weight >= max_weight
            or len(selected) >= MAX_UPSTREAMS_PER_WEIGHT * max_weight
        ):
            break
        if is_wanted(record):
            selected.append(record)
            weight += find_weight(record)
    return selected
