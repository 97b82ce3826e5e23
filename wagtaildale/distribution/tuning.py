"""Parameters of distribution, offered to operators as one named choice.

docs/design/distribution.md describes the trade-off behind each parameter, and
the parameter sweep.
"""

from __future__ import annotations

from enum import Enum
from types import MappingProxyType
from typing import Final, final

from msgspec import Struct, structs


@final
class Spread(Enum):
    """Whether a deployment favours convergence time or control bytes.

    ``direct`` is the baseline of the benchmarks: every node watches the
    platform itself, and nodes send each other no versions. It is not for
    production.
    """

    prompt = 'prompt'
    frugal = 'frugal'
    direct = 'direct'


class Tuning(Struct, frozen=True, kw_only=True):
    """Parameters of distribution; times are in seconds.

    Attributes:
        readers: number of nodes of a data centre that watch the platform.
        spare_readers: number of further nodes that may appoint themselves.
        fan_out: number of children of a node in the push tree.
        swap_seconds: interval between two swaps of digests.
        resend_seconds: delay before an unacknowledged push is sent again.
        stale_seconds: age of the last confirmation at which the first
            spare reader appoints itself.
        step_seconds: additional age for each further rank.
        watch_seconds: how long the platform holds a watch open.
        look_seconds: interval between two reviews of which nodes watch.
        join_look_seconds: interval between two checks of a joining node; a
            seed replies within some milliseconds.
        first_read_seconds: interval over which new nodes spread their first
            reads.
        backoff_seconds: maximum delay after a first failed read.
        rank_backoff_seconds: maximum delay after any failed read, for each
            reader up to a node's rank.
        gather_seconds: how long a reader waits for further changes after a
            change before it reads again.
        ask_peers_seconds: how long a new node asks only the seeds before it
            reads from the platform.
        alone_seconds: how long a new node that has read from the platform
            waits for a reply of a peer.
        peer_wait_seconds: how long after its start a node that does not watch
            the platform waits for parts of a version from peers before it
            reads them from the platform.
        reader_heartbeat_seconds: interval between two heartbeats of a reader;
            0 for none.
        reader_silence_seconds: time without a heartbeat after which the next
            node takes over.
        takeover_spread_seconds: time over which the nodes of a data centre
            take over one after the other; those on slow lines follow in as
            much time again.
        lapse_seconds: time without a confirmation after which entries of live
            instances may have lapsed at the platform.
        passes_on: whether nodes send versions to each other at all.
        read_seconds: how long a full read may occupy this node's line; a
            joining node waits this much longer for peers.
        reads_last: whether the line is so slow that the node ranks behind all
            others as a reader.
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
    rank_backoff_seconds: float = 2.5
    gather_seconds: float = 0
    ask_peers_seconds: float = 1.0
    alone_seconds: float = 2.0
    peer_wait_seconds: float = 4.8
    reader_heartbeat_seconds: float = 0
    reader_silence_seconds: float = 0
    takeover_spread_seconds: float = 0
    lapse_seconds: float = 4.5
    passes_on: bool = True
    read_seconds: float = 0
    reads_last: bool = False


ALL_NODES: Final = 1_000_000
# Shares of the time in which a version must be in force. A watch ends after
# half of it. A spare reader without a confirmation for a little longer starts
# to read, with a third of the time left to read and to retry.
WATCH_SHARE: Final = 0.5
STALE_SHARE: Final = 0.65
LOOK_SHARE: Final = 0.1
STEP_SHARE: Final = 0.02
FIRST_READ_SHARE: Final = 0.05
BACKOFF_SHARE: Final = 0.1
# The first reader of a data centre reads so soon after the platform is back
# that a version is in time.
RANK_BACKOFF_SHARE: Final = 0.25
# Changes come in series, such as a release or versions five times a second.
# One read then fetches several of them.
GATHER_SHARE: Final = 0.2
# A running seed replies within some milliseconds, which saves a read from the
# platform. When a whole fleet starts at once, no seed has a version, and each
# further tenth of a second is one in which every caller is refused.
ASK_PEERS_SHARE: Final = 0.05
# The first readers need up to a third of the time to fetch all parts, and the
# others then receive them from peers. More than half of the time is left to
# read the parts from the platform instead.
PEER_WAIT_SHARE: Final = 0.4
# A node on a slow line needs a third of the time for its first read, so the
# loss of a reader must be known after another third, also when one heartbeat
# was lost.
READER_HEARTBEAT_SHARE: Final = 0.13
READER_SILENCE_SHARE: Final = 0.34
TAKEOVER_SPREAD_SHARE: Final = 0.06
# Number of writes that an instance misses before its entry lapses, according
# to the platform's operators.
MISSED_HEARTBEATS: Final = 3
HEARTBEAT_SECONDS: Final = 1.5
# Size of a full read of 1,500 routes in base64: about 400 KB.
FULL_READ_MEGABITS: Final = 3.2
# A full read that takes a larger share of the time leaves too little to push
# the version on: 0.2 s of 2 s, which takes 16 Mbit/s.
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


def choose_tuning(spread: Spread, *, apply_seconds: float) -> Tuning:
    """Choose the parameters that operators name in the settings.

    Args:
        spread: name of the choice.
        apply_seconds: time in which a version must be in force everywhere,
            seconds.

    Returns:
        The parameters, with a wait for parts that follows from the bound.
    """
    return structs.replace(
        TUNINGS[spread], peer_wait_seconds=PEER_WAIT_SHARE * apply_seconds
    )


def make_tuning(
    *,
    apply_seconds: float,
    heartbeat_seconds: float = HEARTBEAT_SECONDS,
    line_mbps: float = 0,
) -> Tuning:
    """Make the parameters that keep a bound on the time to apply a version.

    Each data centre has one reader: on a platform that is paid by the call, a
    second one costs more than the seconds that it would save when the first
    one dies. Every other node is a spare.

    Args:
        apply_seconds: time in which a version must be in force everywhere,
            seconds.
        heartbeat_seconds: interval between two writes of an instance to the
            list, seconds.
        line_mbps: bandwidth of this node's line, megabits per second; 0 if
            unknown.

    Returns:
        The parameters.
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
        rank_backoff_seconds=RANK_BACKOFF_SHARE * apply_seconds,
        gather_seconds=GATHER_SHARE * apply_seconds,
        ask_peers_seconds=ASK_PEERS_SHARE * apply_seconds,
        peer_wait_seconds=PEER_WAIT_SHARE * apply_seconds,
        reader_heartbeat_seconds=READER_HEARTBEAT_SHARE * apply_seconds,
        reader_silence_seconds=READER_SILENCE_SHARE * apply_seconds,
        takeover_spread_seconds=TAKEOVER_SPREAD_SHARE * apply_seconds,
        # Answers of such a platform are never stale, so that peers need not
        # confirm them.
        alone_seconds=0,
        lapse_seconds=MISSED_HEARTBEATS * heartbeat_seconds,
        read_seconds=read_seconds,
        reads_last=read_seconds > SLOW_READ_SHARE * apply_seconds,
    )
