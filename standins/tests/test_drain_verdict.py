"""Tests of the verdict on requests that reach servers that have left."""

from __future__ import annotations

from math import inf

from msgspec import structs

from standins.deployment.model import Arrival, ArrivalEnd, SentRequest
from standins.deployment.verdict import (
    Bounds,
    Departure,
    Disturbance,
    Evidence,
    LateRequest,
    find_late_requests,
)

BOUNDS = Bounds(drain_seconds=2, stable_seconds=3)
LEFT = Departure(
    instance='i-1', host='127.0.0.1', acked_at=100, was_announced=False
)
SENT = SentRequest(
    request_id='r', work_class='lookup', host='127.0.0.2', at=101
)


def judge(
    at: float,
    *,
    end: ArrivalEnd = ArrivalEnd.run,
    node: Disturbance | None = None,
    store: Disturbance | None = None,
    taken_at: float = 101,
) -> LateRequest | None:
    arrival = Arrival(request_id='r', instance='i-1', at=at, end=end)
    evidence = Evidence(
        departures=[LEFT],
        arrivals=[arrival],
        sent={'r': structs.replace(SENT, at=taken_at)},
        disturbances={SENT.host: [node] if node else []},
        store_disturbances=[store] if store else [],
    )
    late = find_late_requests(evidence, bounds=BOUNDS)
    return late[0] if late else None


def is_excused(
    at: float,
    *,
    node: Disturbance | None = None,
    store: Disturbance | None = None,
    taken_at: float = 101,
) -> bool:
    late = judge(at, node=node, store=store, taken_at=taken_at)
    assert late is not None
    return late.is_excused


def test_request_in_the_drain_time_is_not_late() -> None:
    assert judge(102) is None


def test_request_after_the_drain_time_is_late() -> None:
    late = judge(102.5)
    assert late is not None
    assert not late.is_excused
    assert late.entry_host == SENT.host


def test_refusal_by_another_server_is_not_late() -> None:
    assert judge(110, end=ArrivalEnd.misdirected) is None


def test_disturbed_node_excuses_for_a_time() -> None:
    """A node's disturbance excuses requests long after it, or never."""
    assert is_excused(103, node=Disturbance(begins_at=97, ends_at=98.5))
    assert not is_excused(103, node=Disturbance(begins_at=90, ends_at=97.5))


def test_silent_store_excuses_while_it_lasts() -> None:
    assert is_excused(103, store=Disturbance(begins_at=90, ends_at=inf))


def test_store_that_recovered_does_not_excuse() -> None:
    """An outage between the acknowledgement and the request excuses it."""
    outage = Disturbance(begins_at=100.5, ends_at=101)
    assert not is_excused(110, store=outage, taken_at=109)
    assert is_excused(110, store=outage, taken_at=103)
