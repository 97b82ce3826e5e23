"""The figures of distribution, offered to operators as one named choice.

What each figure trades, and the sweep that chose it, is in
docs/design/distribution.md.
"""

from __future__ import annotations

from enum import Enum
from types import MappingProxyType
from typing import Final, final

from msgspec import Struct


@final
class Spread(Enum):
    """What a deployment weighs more: convergence time or control bytes.

    ``direct`` is the baseline of the benchmarks: every node watches the
    platform for itself and nothing is passed on. It is not for production.
    """

    prompt = 'prompt'
    frugal = 'frugal'
    direct = 'direct'


class Tuning(Struct, frozen=True, kw_only=True):
    """The figures behind a choice.

    Attributes:
        readers: nodes of a data centre that watch the platform.
        spare_readers: how many more may appoint themselves.
        fan_out: children of a node in the push tree.
        swap_seconds: between two swaps of digests.
        resend_seconds: until an unseen push is sent again.
        stale_seconds: age of the last confirmation at which the first
            spare reader appoints itself.
        step_seconds: more for each further rank.
        watch_seconds: how long the platform holds a watch open.
        look_seconds: between two looks at who is to watch.
        join_look_seconds: between two looks of a node that is joining; a
            seed answers within some milliseconds.
        first_read_seconds: over which new nodes spread their first reads.
        backoff_seconds: longest delay after one failed read.
        gather_seconds: how long a reader that was told of a change waits
            for further ones before it asks again.
        ask_peers_seconds: how long a new node asks the seeds alone before it
            turns to the platform too.
        alone_seconds: how long a new node with what the platform gave waits
            for a peer to confirm it.
        lapse_seconds: without a confirmation, after which the platform may
            have forgotten live instances.
        passes_on: whether nodes tell each other of versions at all.
        read_seconds: that a read of everything may keep this node's line
            busy; how much longer it waits for peers to bring it.
        reads_last: whether that is so long that others are to watch.
    """

    readers: int = 3
    spare_readers: int = 9
    fan_out: int = 4
    swap_seconds: float = 1.0
    resend_seconds: float = 0.25
    stale_seconds: float = 3.5
    step_seconds: float = 1.0
    watch_seconds: float = 1.5
    look_seconds: float = 1.0
    join_look_seconds: float = 0.05
    first_read_seconds: float = 3.0
    backoff_seconds: float = 0.5
    gather_seconds: float = 0
    ask_peers_seconds: float = 1.0
    alone_seconds: float = 2.0
    lapse_seconds: float = 4.5
    passes_on: bool = True
    read_seconds: float = 0
    reads_last: bool = False


ALL_NODES: Final = 1_000_000
# Of the time in which a version must be in force. A watch ends after half of
# it; a spare reader that has heard of none for a little longer reads by
# itself, and has a third left to do so and to try again.
WATCH_SHARE: Final = 0.5
STALE_SHARE: Final = 0.65
LOOK_SHARE: Final = 0.1
STEP_SHARE: Final = 0.02
FIRST_READ_SHARE: Final = 0.05
BACKOFF_SHARE: Final = 0.1
# Changes come in rows: a release, or versions five times a second. One call
# then brings several of them.
GATHER_SHARE: Final = 0.2
# A seed that lives answers within some milliseconds, and a store call is
# saved. When a whole fleet starts at once no seed knows anything, and each
# further tenth of a second is one in which every caller is refused.
ASK_PEERS_SHARE: Final = 0.05
# Writes that an instance misses before its entry lapses: the operators'.
MISSED_HEARTBEATS: Final = 3
HEARTBEAT_SECONDS: Final = 1.5
# What the platform sends for 1,500 routes in base64: about 400 KB.
FULL_READ_MEGABITS: Final = 3.2
# A read of everything that takes longer than this leaves too little of the
# time to pass a version on: 0.2 s of 2 s, 16 Mbit/s.
SLOW_READ_SHARE: Final = 0.1
FRUGAL_READERS: Final = 2
FRUGAL_SWAP_SECONDS: Final = 3.0
FRUGAL_STALE_SECONDS: Final = 8.0
FRUGAL_WATCH_SECONDS: Final = 3.5

TUNINGS: Final = MappingProxyType(
    {
        Spread.prompt: Tuning(),
        Spread.direct: Tuning(readers=ALL_NODES, passes_on=False),
        Spread.frugal: Tuning(
            readers=FRUGAL_READERS,
            swap_seconds=FRUGAL_SWAP_SECONDS,
            stale_seconds=FRUGAL_STALE_SECONDS,
            watch_seconds=FRUGAL_WATCH_SECONDS,
        ),
    },
)


def make_tuning(
    *,
    apply_seconds: float,
    heartbeat_seconds: float = HEARTBEAT_SECONDS,
    line_mbps: float = 0,
) -> Tuning:
    """Make the figures that keep a bound on the time to apply a version.

    One reader in each data centre: on a platform that is paid by the call,
    a second one costs more than the seconds that it would save when the
    first one dies. Every other node is a spare.

    Args:
        apply_seconds: in which a version must be in force everywhere.
        heartbeat_seconds: between two writes of an instance to the list.
        line_mbps: megabits a second of this node's line; 0 if not told.

    Returns:
        The figures.
    """
    read_seconds = FULL_READ_MEGABITS / line_mbps if line_mbps else 0
    return Tuning(
        readers=1,
        spare_readers=ALL_NODES,
        stale_seconds=STALE_SHARE * apply_seconds,
        step_seconds=STEP_SHARE * apply_seconds,
        watch_seconds=WATCH_SHARE * apply_seconds,
        look_seconds=LOOK_SHARE * apply_seconds,
        first_read_seconds=FIRST_READ_SHARE * apply_seconds,
        backoff_seconds=BACKOFF_SHARE * apply_seconds,
        gather_seconds=GATHER_SHARE * apply_seconds,
        ask_peers_seconds=ASK_PEERS_SHARE * apply_seconds,
        # Such a platform's answers are never stale, so nobody needs to
        # confirm them.
        alone_seconds=0,
        lapse_seconds=MISSED_HEARTBEATS * heartbeat_seconds,
        read_seconds=read_seconds,
        reads_last=read_seconds > SLOW_READ_SHARE * apply_seconds,
    )
