"""Tests of requests that ask for a free slot."""

from __future__ import annotations

from typing import Final

import pytest
from msgspec import structs

from wagtaildale.admission.decisions import decide_admission
from wagtaildale.admission.messages import (
    Admitted,
    LeaseGranted,
    Refused,
    RequestArrived,
    RequestFinished,
    TicketId,
    Verdict,
)
from wagtaildale.admission.server_messages import RateForwarded
from wagtaildale.admission.shares import Demand
from wagtaildale.admission.state import AdmissionState, make_admission
from wagtaildale.errors.codes import Code

SLOTS: Final = 2
RUN_SECONDS: Final = 0.02
ASKING: Final = RequestArrived(
    ticket=TicketId(9),
    within_ms=87,
    deadline=1,
    patient=False,
    asks_free_slot=True,
)


def build_gate_state(*, running: int) -> AdmissionState:
    state = make_admission(SLOTS)
    state.service_seconds = RUN_SECONDS
    state.baseline_seconds = RUN_SECONDS
    for number in range(1, running + 1):
        arrive(state, number)
    return state


def arrive(
    state: AdmissionState, number: int, *, within_ms: int = 87, rank: int = 1
) -> list[Verdict]:
    arrived = RequestArrived(
        ticket=TicketId(number), within_ms=within_ms, deadline=1, rank=rank
    )
    return decide_admission(arrived, state, now=0)


def read_refusal(verdicts: list[Verdict]) -> Refused:
    assert len(verdicts) == 1
    assert isinstance(verdicts[0], Refused)
    return verdicts[0]


def test_free_slot_is_given_at_once() -> None:
    state = build_gate_state(running=SLOTS - 1)
    assert decide_admission(ASKING, state, now=0) == [
        Admitted(ticket=ASKING.ticket)
    ]


def test_request_does_not_queue_without_a_free_slot() -> None:
    """The entry waits for the verdict while another server has a slot."""
    state = build_gate_state(running=SLOTS)
    refused = read_refusal(decide_admission(ASKING, state, now=0))
    assert refused.code is Code.overloaded
    assert not state.queue


def test_refusal_is_not_counted_as_demand() -> None:
    """Entries are told to hold requests back from a server with few slots.

    A request that asks two servers and queues at a third counts three times.
    """
    state = build_gate_state(running=SLOTS)
    state.demand = Demand()
    counted = build_gate_state(running=SLOTS)
    counted.demand = Demand()
    for number in range(200):
        now = number / 1000
        decide_admission(
            structs.replace(ASKING, ticket=TicketId(100 + number)),
            state,
            now=now,
        )
        decide_admission(
            RequestArrived(
                ticket=TicketId(100 + number), within_ms=87, deadline=1
            ),
            counted,
            now=now,
        )
    per_second = 10
    share = state.demand.compute_pass_share(per_second, now=0.2)
    assert share.find(1) == 1
    assert counted.demand.compute_pass_share(per_second, now=0.2).find(1) < 1


@pytest.mark.parametrize(
    ('queued_rank', 'within_ms', 'is_admitted'),
    [
        (0, 87, False),
        (1, 87, True),
        (1, 510, False),
        (2, 87, True),
    ],
)
def test_only_a_more_urgent_request_passes_the_queue(
    queued_rank: int, within_ms: int, is_admitted: bool
) -> None:
    """A request that asks takes the slot that queued ones wait for.

    One slot of four is reserved for urgent requests, so it is free while a
    request with a target of 500 ms is queued.
    """
    state = make_admission(4)
    state.service_seconds = RUN_SECONDS
    state.baseline_seconds = RUN_SECONDS
    for number in range(1, 4):
        arrive(state, number)
    assert not arrive(state, 5, within_ms=500, rank=queued_rank)
    assert state.free_slots == 1
    asking = structs.replace(ASKING, within_ms=within_ms)
    verdicts = decide_admission(asking, state, now=0)
    assert isinstance(verdicts[0], Admitted) is is_admitted


def test_second_entry_that_asks_for_a_slot_is_refused() -> None:
    """Two entries are given the same slot."""
    state = build_gate_state(running=SLOTS - 1)
    first = decide_admission(ASKING, state, now=0)
    assert first == [Admitted(ticket=ASKING.ticket)]
    second = structs.replace(ASKING, ticket=TicketId(10))
    read_refusal(decide_admission(second, state, now=0))


def test_lease_that_is_not_redeemed_frees_its_slot() -> None:
    """An entry dies after it was given a slot, which stays taken."""
    state = build_gate_state(running=SLOTS - 1)
    decide_admission(ASKING, state, now=0)
    decide_admission(
        LeaseGranted(ticket=ASKING.ticket, ends_at=0.5), state, now=0
    )
    later = structs.replace(ASKING, ticket=TicketId(10))
    read_refusal(decide_admission(later, state, now=0.4))
    assert decide_admission(later, state, now=0.6) == [
        Admitted(ticket=later.ticket)
    ]


def test_rate_limited_server_handles_it_as_any_request() -> None:
    """Requests for a free slot take no part in the limit of their rank."""
    state = build_gate_state(running=0)
    decide_admission(RateForwarded(per_second=20), state, now=0)
    verdicts: list[Verdict] = []
    for number in range(20):
        asking = structs.replace(ASKING, ticket=TicketId(20 + number))
        verdicts.extend(decide_admission(asking, state, now=0))
    plain = build_gate_state(running=0)
    decide_admission(RateForwarded(per_second=20), plain, now=0)
    expected: list[Verdict] = []
    for number in range(20):
        arrived = structs.replace(
            ASKING, ticket=TicketId(20 + number), asks_free_slot=False
        )
        expected.extend(decide_admission(arrived, plain, now=0))
    assert verdicts == expected


def test_slot_is_free_for_the_next_request_after_a_run() -> None:
    state = build_gate_state(running=SLOTS)
    decide_admission(
        RequestFinished(ticket=TicketId(1), seconds=RUN_SECONDS), state, now=0
    )
    assert decide_admission(ASKING, state, now=0) == [
        Admitted(ticket=ASKING.ticket)
    ]
