"""Computes readers, push trees and gossip neighbours from the membership.

All functions are pure, and every node evaluates them on its own view. Two
nodes with different views disagree for a while; that costs messages, but not
correctness.

The alternatives are discussed in docs/design/distribution.md.
"""

from __future__ import annotations

from bisect import bisect_right
from functools import lru_cache
from hashlib import blake2b
from itertools import chain, pairwise
from typing import TYPE_CHECKING, Final

from msgspec import Struct

from wagtaildale.types import DataCentre, InstanceId

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable, Sequence

HASH_BYTES: Final = 8
HASH_CACHE_SIZE: Final = 65536
# Number of hash rings over the nodes of a data centre. Each node gossips with
# its successor on each of them, and on the ring over the whole fleet.
LOCAL_RING_COUNT: Final = 3
# Two, because one of these nodes may have just ended.
ROOTS_PER_DATA_CENTRE: Final = 2
# Number of groups of so many nodes of a data centre that learn of a change in
# turn: after a loss of power, many of the first nodes may have just ended.
CONTACT_GROUPS: Final = 3
FLEET_RING_SALT: Final = 'fleet'


class Member(Struct, frozen=True, array_like=True):
    """A member of the fleet: the id of a node and its data centre."""

    instance: InstanceId
    data_centre: DataCentre


@lru_cache(maxsize=HASH_CACHE_SIZE)
def hash_instance(salt: str, instance: InstanceId) -> int:
    """Hash an instance id with a salt.

    Args:
        salt: text that makes the hashes of different uses independent.
        instance: id of the instance.

    Returns:
        64-bit hash, the same on every node.
    """
    text = f'{salt}\0{instance}'.encode()
    digest = blake2b(text, digest_size=HASH_BYTES).digest()
    return int.from_bytes(digest)


def rank_instances(
    salt: str,
    *,
    instances: Iterable[InstanceId],
) -> list[InstanceId]:
    """Rank instances by rendezvous hashing.

    Args:
        salt: text that makes the ranks of different uses independent.
        instances: ids of the candidates.

    Returns:
        Ids of the candidates, best rank first.
    """
    return sorted(instances, key=lambda name: (hash_instance(salt, name), name))


def list_local(
    members: Iterable[Member],
    *,
    data_centre: DataCentre,
) -> list[InstanceId]:
    """List the instances of one data centre.

    Args:
        members: members of the fleet.
        data_centre: name of the data centre.

    Returns:
        Ids of the instances.
    """
    return [
        member.instance
        for member in members
        if member.data_centre == data_centre
    ]


def list_children(
    order: Sequence[InstanceId],
    *,
    instance: InstanceId,
    fan_out: int,
) -> list[InstanceId]:
    """List the children of an instance in the tree of its data centre.

    Args:
        order: instances of the data centre, by rank.
        instance: parent in the tree.
        fan_out: number of children of each inner node.

    Returns:
        At most ``fan_out`` ids; none for a leaf or an unknown instance.

    Example:
        >>> list_children(['a', 'b', 'c', 'd'], instance='a', fan_out=2)
        ['b', 'c']
    """
    if instance not in order:
        return []
    first = order.index(instance) * fan_out + 1
    return list(order[first : first + fan_out])


def find_successor(
    ring: Sequence[InstanceId],
    *,
    salt: str,
    instance: InstanceId,
) -> InstanceId | None:
    """Find the successor of an instance on a hash ring.

    Args:
        ring: instances ranked with the salt of the ring.
        salt: salt of the ring.
        instance: predecessor; need not be on the ring itself.

    Returns:
        The next instance, or nothing if there is no other.
    """
    if not ring or list(ring) == [instance]:
        return None
    key = (hash_instance(salt, instance), instance)
    index = bisect_right(
        ring,
        key,
        key=lambda name: (hash_instance(salt, name), name),
    )
    return ring[index % len(ring)]


class Topology(Struct, frozen=True, kw_only=True):
    """Peers of one node.

    Attributes:
        readers: nodes of the data centre that are not leaving, by their rank
            as readers of the platform's list, best first.
        tree: nodes of the data centre in the order of the push tree.
        neighbours: nodes that digests are exchanged with.
        contacts: nodes of the other data centres that learn of a change, in
            groups: the first two nodes of each push tree, then the next two.
    """

    readers: tuple[InstanceId, ...]
    tree: tuple[InstanceId, ...]
    neighbours: tuple[InstanceId, ...]
    contacts: tuple[tuple[InstanceId, ...], ...]

    @property
    def roots(self) -> tuple[InstanceId, ...]:
        """First two nodes of the push tree of each other data centre."""
        return self.contacts[0]


def compute_topology(
    members: Sequence[Member],
    *,
    own: Member,
    leaving: Collection[InstanceId] = (),
) -> Topology:
    """Compute the topology of a node from the members of the fleet.

    Args:
        members: members that are not known to be gone, the node included.
        own: the node itself.
        leaving: nodes that are stopping; they still receive documents and
            gossip, but are no readers.

    Returns:
        The node's topology.
    """
    local = list_local(members, data_centre=own.data_centre)
    rings = [(f'ring{number}', local) for number in range(LOCAL_RING_COUNT)]
    rings.append((FLEET_RING_SALT, [member.instance for member in members]))
    found = (
        find_successor(
            rank_instances(salt, instances=ring_members),
            salt=salt,
            instance=own.instance,
        )
        for salt, ring_members in rings
    )
    neighbours = dict.fromkeys(name for name in found if name is not None)
    neighbours.pop(own.instance, None)
    staying = [name for name in local if name not in leaving]
    return Topology(
        readers=tuple(rank_instances('reader', instances=staying)),
        tree=tuple(rank_instances('tree', instances=local)),
        neighbours=tuple(neighbours),
        contacts=_find_contacts(members, own.data_centre),
    )


def _find_contacts(
    members: Sequence[Member],
    own: DataCentre,
) -> tuple[tuple[InstanceId, ...], ...]:
    others = {member.data_centre for member in members} - {own}
    trees = [
        rank_instances(
            'tree',
            instances=list_local(members, data_centre=data_centre),
        )
        for data_centre in sorted(others)
    ]
    return tuple(
        tuple(chain.from_iterable(tree[first:last] for tree in trees))
        for first, last in pairwise(
            range(
                0,
                (CONTACT_GROUPS + 1) * ROOTS_PER_DATA_CENTRE,
                ROOTS_PER_DATA_CENTRE,
            ),
        )
    )
