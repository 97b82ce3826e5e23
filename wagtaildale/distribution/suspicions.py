"""Word of requests under which servers end, from node to node.

Each end goes through the whole fleet at once, from neighbour to neighbour:
the next server to run the request may be anywhere. What all nodes are to
know is summed up in the digests that neighbours swap, so that a node that
missed it, or has just started, asks nobody and is told.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from wagtaildale.distribution.messages import Send, SuspectsChanged
from wagtaildale.distribution.wire import SuspectsTold
from wagtaildale.membership.state import find_topology
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
    """Note that the server beside this node ended, and tell others.

    Args:
        state: the node; moved forward in place.
        suspicions: one for each request that it ran.
        now: seconds.

    Returns:
        What to send, and what calls go by from now on.
    """
    return _take(state, suspicions, peers=_list_first_told(state), now=now)


def take_told(
    state: DistributionState,
    suspicions: Iterable[Suspicion],
    *,
    sender: InstanceId,
    now: float,
) -> list[Effect]:
    """Take what another node tells of suspected requests.

    Args:
        state: the node; moved forward in place.
        suspicions: what it tells.
        sender: the other node.
        now: seconds.

    Returns:
        What to pass on, and to tell the sender where it knows less.
    """
    told = tuple(suspicions)
    neighbours = find_topology(state.members).neighbours
    peers = [peer for peer in neighbours if peer != sender]
    effects = _take(state, told, peers=peers, now=now, origin=sender)
    behind = [
        suspicion.fingerprint
        for suspicion in told
        if state.suspects.is_behind(suspicion)
    ]
    return [*effects, *_tell(state, behind, (sender,), now=now)]


def compare_sums(
    state: DistributionState,
    told: int,
    *,
    sender: InstanceId,
    now: float,
) -> list[Effect]:
    """Tell a neighbour what is known here, if it knows something else.

    Args:
        state: the node.
        told: what the neighbour knows, summed up.
        sender: the neighbour.
        now: seconds.

    Returns:
        What to send.
    """
    if told == state.suspects.compute_checksum():
        return []
    return _tell(state, state.suspects.list_restricted(), (sender,), now=now)


def clear_request(
    state: DistributionState,
    fingerprint: Fingerprint,
    *,
    now: float,
) -> list[Effect]:
    """Note that a suspected request was run to its end here.

    Others are told only if it is not run like others: most of those that
    were running when a server ended are answered by the next one, and
    nobody need hear of them. Whoever suspects one later on is told then.

    Args:
        state: the node; moved forward in place.
        fingerprint: of the request.
        now: seconds.

    Returns:
        What to send, and what calls go by from now on.
    """
    before = state.suspects.clear(fingerprint, now=now)
    cleared = state.suspects.describe((fingerprint,), now=now)
    if before.ends < TRIAL_ENDS:
        return [SuspectsChanged(suspects=state.suspects.get_snapshot())]
    return [
        SuspectsChanged(
            suspects=state.suspects.get_snapshot(), learned=cleared
        ),
        *_tell(state, (fingerprint,), _list_first_told(state), now=now),
    ]


def note_refused(
    state: DistributionState,
    fingerprint: Fingerprint,
    *,
    now: float,
) -> list[Effect]:
    """Note that a harmful request has come again.

    Args:
        state: the node; moved forward in place.
        fingerprint: of the request.
        now: seconds.

    Returns:
        What is shown of it from now on.
    """
    if not state.suspects.note_seen(fingerprint, now=now):
        return []
    return [SuspectsChanged(suspects=state.suspects.get_snapshot())]


def forget_suspects(state: DistributionState, *, now: float) -> list[Effect]:
    """Forget suspected requests that have not come for long.

    Args:
        state: the node; moved forward in place.
        now: seconds.

    Returns:
        What calls go by from now on, if that has changed.
    """
    if not state.suspects.forget_old(now=now):
        return []
    return [SuspectsChanged(suspects=state.suspects.get_snapshot())]


def _list_first_told(state: DistributionState) -> tuple[InstanceId, ...]:
    topology = find_topology(state.members)
    return (*topology.neighbours, *topology.roots)


def _take(
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
    names = [suspicion.fingerprint for suspicion in learned]
    return [changed, *_tell(state, names, peers, now=now)]


def _tell(
    state: DistributionState,
    fingerprints: Sequence[Fingerprint],
    peers: Sequence[InstanceId],
    *,
    now: float,
) -> list[Effect]:
    if not fingerprints:
        return []
    body = SuspectsTold(state.suspects.describe(fingerprints, now=now))
    return [Send(to=peer, body=body) for peer in dict.fromkeys(peers)]
