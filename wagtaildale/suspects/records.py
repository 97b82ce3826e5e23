"""Records of suspected requests, and the rules that restrict them."""

from __future__ import annotations

from enum import Enum
from math import inf
from types import MappingProxyType
from typing import TYPE_CHECKING, Annotated, Final, final

from msgspec import Meta, Struct

from wagtaildale.suspects.fingerprints import FINGERPRINT_BYTES, Fingerprint
from wagtaildale.types import InstanceId

if TYPE_CHECKING:
    from collections.abc import Iterable

# An end counts for a request if a backend server ended while it ran the
# request, and if the run started after the previous end was known at its node.
# With this many ends, a request runs apart from other suspected requests.
TRIAL_ENDS: Final = 2
# With this many ends, a request is not run, except for single trials after a
# delay.
HARMFUL_ENDS: Final = 3
# Delay before a trial, by ends. With more ends a request is not run again until
# its record expires. The first or second trial clears a harmless request.
TRIAL_DELAYS_SECONDS: Final = MappingProxyType({3: 1.0, 4: 60.0})
# Retry delay that a caller is given if no trial will follow.
MAX_RETRY_AFTER_SECONDS: Final = 60.0
# After its first end, a request runs for this long only at nodes whose server
# ended. Most servers have restarted by then.
CONFINED_SECONDS: Final = 10.0
# A server that is not listed for this long is taken as removed.
GONE_SECONDS: Final = 5.0
# Maximum accepted counts of ends and clearings, far above any real value.
MAX_COUNT: Final = 1_000_000
MAX_NAME_LENGTH: Final = 200
# Maximum number of nodes per suspicion. If all servers end at once, only some
# of their nodes are sent.
MAX_NODES: Final = 8
# How long a record is kept after the request was last received. With one end,
# most requests only ran beside a harmful one. With more ends, the request may
# return after a pause.
SUSPECT_SECONDS: Final = 300.0
HARMFUL_SECONDS: Final = 3600.0

NodeName = Annotated[InstanceId, Meta(max_length=MAX_NAME_LENGTH)]
Nodes = tuple[NodeName, ...]


@final
class Standing(Enum):
    """Whether a request may run.

    Attributes:
        clear: it may run, perhaps only at certain nodes.
        trial: it may run if no other suspected request runs at the server.
        harmful: it may not run.
    """

    clear = 'clear'
    trial = 'trial'
    harmful = 'harmful'


class Suspicion(Struct, frozen=True, array_like=True):
    """Message between nodes about a suspected request.

    Attributes:
        fingerprint: fingerprint of the request.
        clearings: number of times that it was answered after an end.
        ends: servers that ended under it, one after the other, since the last
            clearing.
        age_seconds: seconds since the request was last received.
        nodes: nodes beside the servers that ended last; several if they ended
            at the same time. Nodes are named since a restarted server may have
            another id.
    """

    fingerprint: Annotated[
        Fingerprint,
        Meta(min_length=FINGERPRINT_BYTES, max_length=FINGERPRINT_BYTES),
    ]
    clearings: Annotated[int, Meta(ge=0, le=MAX_COUNT)]
    ends: Annotated[int, Meta(ge=0, le=MAX_COUNT)]
    age_seconds: Annotated[int, Meta(ge=0)] = 0
    nodes: Annotated[Nodes, Meta(max_length=MAX_NODES)] = ()


class Record(Struct, frozen=True, kw_only=True, gc=False):
    """Local record of a suspected request.

    Attributes:
        clearings: number of times that it was answered after an end.
        ends: servers that ended under it, one after the other, since the last
            clearing.
        since: when this node learned of the last end, seconds.
        seen_at: when the request was last received, as far as is known,
            seconds.
        nodes: nodes beside the servers that ended last, sorted.
    """

    clearings: int = 0
    ends: int = 0
    since: float = 0
    seen_at: float = -inf
    nodes: tuple[InstanceId, ...] = ()

    @property
    def order(self) -> tuple[int, int]:
        """Sort key of records of one request; a later record is greater."""
        return (self.clearings, self.ends)

    @property
    def retention_seconds(self) -> float:
        """How long the record is kept after the request was last received."""
        return HARMFUL_SECONDS if self.ends >= TRIAL_ENDS else SUSPECT_SECONDS


def merge_nodes(
    nodes: Iterable[InstanceId],
    others: Iterable[InstanceId],
) -> tuple[InstanceId, ...]:
    """Merge two sets of nodes.

    Args:
        nodes: nodes in one record.
        others: nodes in the other record.

    Returns:
        At most ``MAX_NODES`` nodes, independent of the order of the arguments.
    """
    return tuple(sorted({*nodes, *others})[:MAX_NODES])


def find_standing(ends: int, *, since: float, now: float) -> Standing:
    """Decide whether a request may run.

    When a server ends, all of its requests are retried, for example nine
    harmless ones and the one that ended it. Requests that were running at a
    second end are then run apart from each other, so that a third end
    identifies a single request.

    Args:
        ends: servers that ended under it, one after the other.
        since: when this node learned of the last end, seconds.
        now: current time, seconds.

    Returns:
        Whether it may run; ``trial`` if no other suspected request may run at
        the same server.
    """
    if ends < TRIAL_ENDS:
        return Standing.clear
    if ends < HARMFUL_ENDS or now - since >= find_trial_delay(ends):
        return Standing.trial
    return Standing.harmful


def find_trial_delay(ends: int) -> float:
    """Find the delay between the last end and the next trial of a request.

    Args:
        ends: servers that ended under it, one after the other.

    Returns:
        Seconds; infinite if there is no further trial.
    """
    return TRIAL_DELAYS_SECONDS.get(ends, inf)


def find_retry_after(ends: int, *, since: float, now: float) -> float:
    """Find the delay after which a caller may retry its request.

    Args:
        ends: servers that ended under the request, one after the other.
        since: when this node learned of the last end, seconds.
        now: current time, seconds.

    Returns:
        Seconds.
    """
    return min(
        MAX_RETRY_AFTER_SECONDS, max(0, since + find_trial_delay(ends) - now)
    )
