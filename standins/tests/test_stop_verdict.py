"""Tests of the verdict on requests that planned stops cut."""

from __future__ import annotations

import pytest

from standins.deployment.model import Arrival, ArrivalEnd, SentRequest
from standins.deployment.stop_verdict import find_lost_requests
from standins.deployment.verdict import Departure, Disturbance, Evidence

HOST = '127.0.0.2'
STOP = Disturbance(begins_at=100, ends_at=107, is_planned=True)
RUN = Arrival(request_id='r', instance='i-1', at=103, end=ArrivalEnd.run)
LEFT = Departure(
    instance='i-1', host='127.0.0.1', acked_at=99, was_announced=False
)


def count_lost(
    *disturbances: Disturbance,
    at: float = 103,
    was_cut: bool = True,
    arrivals: tuple[Arrival, ...] = (RUN,),
    departures: tuple[Departure, ...] = (),
) -> int:
    sent = SentRequest(
        request_id='r',
        work_class='lookup',
        host=HOST,
        at=at,
        ended_at=105.3,
        was_cut=was_cut,
    )
    evidence = Evidence(
        departures=departures,
        arrivals=arrivals,
        sent={'r': sent},
        disturbances={HOST: disturbances},
    )
    return len(find_lost_requests(evidence, stable_seconds=3))


def test_request_cut_by_a_stop_is_lost() -> None:
    assert count_lost(STOP) == 1
    assert count_lost(STOP, arrivals=()) == 1


def test_answered_request_is_not_lost() -> None:
    assert not count_lost(STOP, was_cut=False)


def test_request_across_the_close_is_not_lost() -> None:
    assert not count_lost(STOP, at=105.2, arrivals=())
    assert count_lost(STOP, at=105.2) == 1


@pytest.mark.parametrize(
    'disturbances', [(), (Disturbance(begins_at=104, ends_at=106),)]
)
def test_cut_without_a_planned_stop_is_no_loss(
    disturbances: tuple[Disturbance, ...],
) -> None:
    assert not count_lost(*disturbances)


def test_other_disturbance_of_the_node_excuses() -> None:
    pause = Disturbance(begins_at=101, ends_at=102)
    earlier = Disturbance(begins_at=90, ends_at=99)
    assert not count_lost(STOP, pause)
    assert count_lost(STOP, earlier) == 1


def test_server_that_left_excuses() -> None:
    assert not count_lost(STOP, departures=(LEFT,))


def test_request_meant_for_another_has_not_run() -> None:
    denied = Arrival(
        request_id='r', instance='i-1', at=103, end=ArrivalEnd.misdirected
    )
    assert not count_lost(STOP, at=105.2, arrivals=(denied,))
