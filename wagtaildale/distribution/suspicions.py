"""Spreads suspicions of requests that end servers through the fleet.

Each end is sent to the whole fleet immediately, from neighbour to neighbour,
since any server may be the next to run the request. The digests that
neighbours swap have a checksum of the suspicions that all nodes need, so that
a node that missed some, or has just started, receives them without asking.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from wagtaildale.distribution.messages import Send, SuspectsChanged
from wagtaildale.distribution.wire import SuspicionsSent
from wagtaildale.membership.state import get_topology
from wagtaildale.suspects.records import TRIAL_ENDS

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from wagtaildale.distribution.messages import Effect
    from wagtaildale.distribution.state import DistributionState
    from wagtaildale.document.messages import Origin
    from wagtaildale.suspects.fingerprints import Fingerprint
    from wagtaildale.suspects.records import Suspicion
    from wagtaildale.types import InstanceId


def note_ends(
    state: DistributionState,
    suspicions: Iterable[Suspicion],
    *,
    now: float,
) -> list[Effect]:
    """Record that the server beside this node ended, and inform other nodes.

    Args:
        state: state of the node; updated in place.
        suspicions: suspicion for each request that the server ran.
        now: current time, seconds.

    Returns:
        Messages to send, and the changed snapshot of suspects.
    """
    return _merge(
        state, suspicions, peers=_list_direct_receivers(state), now=now
    )


def merge_suspicions(
    state: DistributionState,
    suspicions: Iterable[Suspicion],
    *,
    sender: InstanceId,
    now: float,
) -> list[Effect]:
    """Merge the suspicions that another node sent.

    Args:
        state: state of the node; updated in place.
        suspicions: received suspicions.
        sender: instance of the other node.
        now: current time, seconds.

    Returns:
        Messages that pass on what is new, and one to the sender with the
        later records that it lacks.
    """
    received = tuple(suspicions)
    neighbours = get_topology(state.members).neighbours
    peers = [peer for peer in neighbours if peer != sender]
    effects = _merge(state, received, peers=peers, now=now, origin=sender)
    behind = [
        suspicion.fingerprint
        for suspicion in received
        if state.suspects.is_behind(suspicion)
    ]
    return [*effects, *_send_suspicions(state, behind, (sender,), now=now)]


def compare_checksums(
    state: DistributionState,
    checksum: int,
    *,
    sender: InstanceId,
    now: float,
) -> list[Effect]:
    """Send this node's suspicions to a neighbour whose checksum differs.

    Args:
        state: state of the node.
        checksum: checksum of the neighbour's suspicions.
        sender: instance of the neighbour.
        now: current time, seconds.

    Returns:
        Messages to send.
    """
    if checksum == state.suspects.compute_checksum():
        return []
    return _send_suspicions(
        state, state.suspects.list_restricted(), (sender,), now=now
    )


def clear_request(
    state: DistributionState,
    fingerprint: Fingerprint,
    *,
    now: float,
) -> list[Effect]:
    """Record that a server beside this node answered a suspected request.

    Other nodes are informed only if the request is restricted. Most requests
    that were running when a server ended are answered by the next server, and
    their clearing need not be sent. A node that suspects one of them later
    receives the clearing then.

    Args:
        state: state of the node; updated in place.
        fingerprint: fingerprint of the request.
        now: current time, seconds.

    Returns:
        Messages to send, and the changed snapshot of suspects.
    """
    before = state.suspects.clear(fingerprint, now=now)
    cleared = state.suspects.describe((fingerprint,), now=now)
    if before.ends < TRIAL_ENDS:
        return [SuspectsChanged(suspects=state.suspects.get_snapshot())]
    return [
        SuspectsChanged(
            suspects=state.suspects.get_snapshot(), learned=cleared
        ),
        *_send_suspicions(
            state, (fingerprint,), _list_direct_receivers(state), now=now
        ),
    ]


def note_refused(
    state: DistributionState,
    fingerprint: Fingerprint,
    *,
    now: float,
) -> list[Effect]:
    """Record that a harmful request was received again.

    Args:
        state: state of the node; updated in place.
        fingerprint: fingerprint of the request.
        now: current time, seconds.

    Returns:
        The changed snapshot of suspects, if any.
    """
    if not state.suspects.note_seen(fingerprint, now=now):
        return []
    return [SuspectsChanged(suspects=state.suspects.get_snapshot())]


def forget_suspects(state: DistributionState, *, now: float) -> list[Effect]:
    """Remove suspected requests that were not received for long.

    Args:
        state: state of the node; updated in place.
        now: current time, seconds.

    Returns:
        The changed snapshot of suspects, if any.
    """
    if not state.suspects.forget_old(now=now):
        return []
    return [SuspectsChanged(suspects=state.suspects.get_snapshot())]


def _list_direct_receivers(state: DistributionState) -> tuple[InstanceId, ...]:
    topology = get_topology(state.members)
    return (*topology.neighbours, *topology.roots)


def _merge(
    state: DistributionState,
    suspicions: Iterable[Suspicion],
    *,
    peers: Sequence[InstanceId],
    now: float,
    origin: Origin = None,
) -> list[Effect]:
    learned = tuple(
        suspicion
        for suspicion in suspicions
        if state.suspects.merge(suspicion, now=now)
    )
    if not learned:
        return []
    changed = SuspectsChanged(
        suspects=state.suspects.get_snapshot(),
        learned=learned,
        origin=origin,
    )
    fingerprints = [suspicion.fingerprint for suspicion in learned]
    return [changed, *_send_suspicions(state, fingerprints, peers, now=now)]


def _send_suspicions(
    state: DistributionState,
    fingerprints: Sequence[Fingerprint],
    peers: Sequence[InstanceId],
    *,
    now: float,
) -> list[Effect]:
    if not fingerprints:
        return []
    body = SuspicionsSent(state.suspects.describe(fingerprints, now=now))
    return [Send(to=peer, body=body) for peer in dict.fromkeys(peers)]
