"""Replays that compare the binding policies on short calls."""

from __future__ import annotations

from typing import Final

import pytest
from msgspec import Struct

from wagtaildale.routing.binding import (
    DEFAULT_POLICY,
    BindingPolicy,
    FreeSlotFirst,
    QueueAtOnce,
)
from wagtaildale.routing.tests.test_reported_pace import (
    CALLS,
    LOOKUPS,
    MEASURED_SECONDS,
    MIN_SHARE_IN_TIME,
    build_mesh,
    report_exactly,
    report_nothing,
)

QUEUE: Final = QueueAtOnce()
ASK_TWO: Final = FreeSlotFirst(max_refusals=2)
DRAIN_SECONDS: Final = 2.0
# Most waits are at the wrong server, and asking avoids nearly all of these.
MAX_LATE_RATIO: Final = 0.2


class Played(Struct, frozen=True, kw_only=True):
    """Result of a replay.

    Attributes:
        shares: share of each class that was answered within its target.
        offers: requests that owners received, for each request of a caller.
    """

    shares: dict[str, float]
    offers: float

    def find_late_share(self, name: str) -> float:
        return 1 - self.shares[name]


def play(
    policy: BindingPolicy, *, load: float, reports_pace: bool = True
) -> Played:
    mesh = build_mesh(
        load=load,
        seed=1,
        find_reader=report_exactly if reports_pace else report_nothing,
        policy=policy,
    )
    mesh.run(MEASURED_SECONDS)
    mesh.run_without_load(DRAIN_SECONDS)
    received = sum(each.requests_received for each in mesh.servers.values())
    ended = sum(each.ended for each in mesh.outcomes.values())
    return Played(
        shares={
            name: outcomes.share_in_time
            for name, outcomes in mesh.outcomes.items()
        },
        offers=received / ended,
    )


@pytest.mark.parametrize(
    ('policy', 'max_offers'), [(DEFAULT_POLICY, 2.0), (ASK_TWO, 2.6)]
)
def test_asking_for_a_free_slot_avoids_late_answers(
    policy: BindingPolicy, max_offers: float
) -> None:
    """Requests queue at a server while a neighbour has a free slot."""
    queued = play(QUEUE, load=0.85)
    asked = play(policy, load=0.85)
    assert asked.shares[CALLS] > max(MIN_SHARE_IN_TIME, queued.shares[CALLS])
    assert asked.find_late_share(LOOKUPS) < MAX_LATE_RATIO * (
        queued.find_late_share(LOOKUPS)
    )
    assert asked.offers < max_offers


def test_short_calls_are_in_time_on_shared_machines() -> None:
    """Calls wait at the wrong server, and the requests that make them, too."""
    assert play(DEFAULT_POLICY, load=0.6).shares[CALLS] >= MIN_SHARE_IN_TIME


def test_services_without_a_pace_are_handled_as_before() -> None:
    """Late binding changes the choices of entries that do not ask."""
    assert play(DEFAULT_POLICY, load=0.6, reports_pace=False) == play(
        QUEUE, load=0.6, reports_pace=False
    )
