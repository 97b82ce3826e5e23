"""Judges whether requests reached servers that had left, without any clock.

A request is late if it reaches a server later than the drain time after the
store acknowledged that the server is leaving, or the removal of its entry. It
is excused if a node on its way was disturbed shortly before, or if the store
was, then or when it acknowledged. Refusals by another server do not count.
"""

from __future__ import annotations

from math import inf
from typing import TYPE_CHECKING

from msgspec import Struct

from standins.deployment.model import ArrivalEnd

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping, Sequence

    from standins.deployment.model import Arrival, SentRequest


class Disturbance(Struct, kw_only=True):
    """A time in which a node or the store was disturbed.

    Attributes:
        begins_at: begin, seconds on the monotonic clock.
        ends_at: end; infinite while it lasts.
        is_planned: whether it is a planned stop.
    """

    begins_at: float
    ends_at: float = inf
    is_planned: bool = False


class Departure(Struct, frozen=True, kw_only=True):
    """A backend server that leaves.

    Attributes:
        instance: id of the server.
        host: IP address of its machine.
        acked_at: when the store acknowledged the report or the removal of its
            entry, seconds on the monotonic clock.
        was_announced: whether it reported that it leaves; otherwise its entry
            was only removed.
    """

    instance: str
    host: str
    acked_at: float
    was_announced: bool


class Bounds(Struct, frozen=True, kw_only=True):
    """Bounds of the rule.

    Attributes:
        drain_seconds: time after which no request may arrive.
        stable_seconds: time without a disturbance after which a machine or
            the store counts.
    """

    drain_seconds: float
    stable_seconds: float


class LateRequest(Struct, frozen=True, kw_only=True):
    """A request that reached a server that had left.

    Attributes:
        departure: the server.
        arrival: arrival of the request.
        entry_host: node that took the request from its caller.
        late_seconds: time since the store acknowledged.
        is_excused: whether a node or the store was disturbed.
    """

    departure: Departure
    arrival: Arrival
    entry_host: str
    late_seconds: float
    is_excused: bool


class Evidence(Struct, frozen=True, kw_only=True):
    """What store, callers and servers have seen.

    Attributes:
        departures: servers that left.
        arrivals: requests that reached a server.
        sent: requests of callers, by id.
        disturbances: disturbances of each machine's node.
        store_disturbances: disturbances of the store.
    """

    departures: Sequence[Departure]
    arrivals: Sequence[Arrival]
    sent: Mapping[str, SentRequest]
    disturbances: Mapping[str, Sequence[Disturbance]]
    store_disturbances: Sequence[Disturbance] = ()


def find_late_requests(
    evidence: Evidence, *, bounds: Bounds
) -> list[LateRequest]:
    """Find the requests that reached a server that had left.

    Args:
        evidence: what store, callers and servers have seen.
        bounds: bounds of the rule.

    Returns:
        Late requests, the excused ones as well.
    """
    departures = {each.instance: each for each in evidence.departures}
    late: list[LateRequest] = []
    for arrival in evidence.arrivals:
        departure = departures.get(arrival.instance)
        if departure is None or arrival.end is ArrivalEnd.misdirected:
            continue
        seconds = arrival.at - departure.acked_at
        if seconds > bounds.drain_seconds:
            late.append(_judge(arrival, departure, evidence, bounds))
    return late


def _judge(
    arrival: Arrival, departure: Departure, evidence: Evidence, bounds: Bounds
) -> LateRequest:
    sent = evidence.sent.get(arrival.request_id)
    entry_host = _find_entry_host(arrival.request_id, sent)
    taken_at = arrival.at if sent is None else sent.at
    disturbances = (
        evidence.disturbances.get(entry_host, ()),
        evidence.disturbances.get(departure.host, ()),
        evidence.store_disturbances,
    )
    is_way_disturbed = any(
        _has_any(each, since=taken_at - bounds.stable_seconds, until=arrival.at)
        for each in disturbances
    )
    is_ack_disturbed = _has_any(
        evidence.store_disturbances,
        since=departure.acked_at - bounds.stable_seconds,
        until=departure.acked_at,
    )
    return LateRequest(
        departure=departure,
        arrival=arrival,
        entry_host=entry_host,
        late_seconds=arrival.at - departure.acked_at,
        is_excused=is_way_disturbed or is_ack_disturbed,
    )


def _find_entry_host(request_id: str, sent: SentRequest | None) -> str:
    if sent is not None:
        return sent.host
    # Calls of servers name their machine, and callers may still wait for the
    # answer to a request that is not written down yet.
    parts = request_id.split('-')
    return parts[1] if parts[0] == 'inner' else ''


def _has_any(
    disturbances: Iterable[Disturbance], *, since: float, until: float
) -> bool:
    return any(
        each.begins_at <= until and each.ends_at >= since
        for each in disturbances
    )
