"""Judges whether planned stops cut requests, without any clock.

A request is lost if its connection ends without an answer while the node that
took it stops, and a server has got it, or the node has had the time to answer
it. It is excused if a machine on its way was disturbed otherwise, or if the
server left.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from msgspec import Struct

from standins.deployment.model import Arrival, ArrivalEnd

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from standins.deployment.model import SentRequest
    from standins.deployment.verdict import Disturbance, Evidence

# A request that was sent just before its connection closed may be unread.
CROSSING_SECONDS: Final = 0.2


class LostRequest(Struct, frozen=True, kw_only=True):
    """A request that a planned stop has cut.

    Attributes:
        sent: the request.
        stopped_at: begin of the stop, seconds on the monotonic clock.
        arrivals: its arrivals at servers.
    """

    sent: SentRequest
    stopped_at: float
    arrivals: tuple[Arrival, ...]


def find_lost_requests(
    evidence: Evidence, *, stable_seconds: float
) -> list[LostRequest]:
    """Find the requests that planned stops have cut.

    Args:
        evidence: what store, callers and servers have seen.
        stable_seconds: time without another disturbance after which a machine
            counts.

    Returns:
        Lost requests, without the excused ones.
    """
    arrivals = _group_arrivals(evidence.arrivals)
    judged = (
        _judge(sent, evidence, arrivals.get(sent.request_id, []))
        for sent in evidence.sent.values()
        if sent.was_cut
    )
    return [
        lost
        for lost in judged
        if lost is not None and not _is_excused(lost, evidence, stable_seconds)
    ]


def _judge(
    sent: SentRequest, evidence: Evidence, arrivals: list[Arrival]
) -> LostRequest | None:
    stop = _find_stop(sent, evidence.disturbances.get(sent.host, ()))
    has_crossed = sent.ended_at - sent.at <= CROSSING_SECONDS
    if stop is None or (has_crossed and not arrivals):
        return None
    return LostRequest(
        sent=sent, stopped_at=stop.begins_at, arrivals=tuple(arrivals)
    )


def _is_excused(
    lost: LostRequest, evidence: Evidence, stable_seconds: float
) -> bool:
    left = {each.instance for each in evidence.departures}
    disturbances = evidence.disturbances.get(lost.sent.host, ())
    return any(each.instance in left for each in lost.arrivals) or any(
        _is_unplanned(each, lost.sent, stable_seconds) for each in disturbances
    )


def _group_arrivals(arrivals: Iterable[Arrival]) -> dict[str, list[Arrival]]:
    grouped: dict[str, list[Arrival]] = {}
    for arrival in arrivals:
        if arrival.end is not ArrivalEnd.misdirected:
            grouped.setdefault(arrival.request_id, []).append(arrival)
    return grouped


def _find_stop(
    sent: SentRequest, disturbances: Sequence[Disturbance]
) -> Disturbance | None:
    return next(
        (
            each
            for each in disturbances
            if each.is_planned
            and each.begins_at <= sent.ended_at <= each.ends_at
        ),
        None,
    )


def _is_unplanned(
    disturbance: Disturbance, sent: SentRequest, stable_seconds: float
) -> bool:
    if disturbance.is_planned:
        return False
    return (
        disturbance.begins_at <= sent.ended_at
        and disturbance.ends_at >= sent.at - stable_seconds
    )
