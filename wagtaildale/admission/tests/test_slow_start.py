"""Tests of the rate that a server gets while it is cold."""

from __future__ import annotations

from typing import Final

import pytest

from wagtaildale.admission.server_messages import (
    ProbeSent,
    SlowStartBegan,
    SlowStartEnded,
)
from wagtaildale.admission.slow_start import SlowStartBound, build_bound
from wagtaildale.admission.tests.simulated_gate import (
    RUN_SECONDS,
    SimulatedGate,
)
from wagtaildale.configuration.model import SlowStart
from wagtaildale.settings.model import BoundSettings

URGENT: Final = 0
USUAL: Final = 1
WINDOW_SECONDS: Final = 1.0
COLD_SECONDS: Final = 3.0


def build_slow_start(
    per_second: float, *, factor: float, slack: float, now: float = 0
) -> SlowStartBound:
    return build_bound(
        SlowStart(seconds=COLD_SECONDS, per_second=per_second),
        bounds=BoundSettings(slow_start_factor=factor, slow_start_slack=slack),
        left_seconds=COLD_SECONDS,
        now=now,
    )


@pytest.mark.parametrize('per_second', [0.4, 7.5, 40])
@pytest.mark.parametrize(('factor', 'slack'), [(1, 0), (1.5, 8), (1.2, 2)])
@pytest.mark.parametrize('sent', [5, 200, 1500])
def test_cold_server_gets_no_more_than_it_bears(
    per_second: float, factor: float, slack: float, sent: float
) -> None:
    """All servers of a data centre come back cold and end under the load."""
    gate = SimulatedGate()
    bound = build_slow_start(per_second, factor=factor, slack=slack)
    gate.tell(SlowStartBegan(bound=bound))
    gate.run(COLD_SECONDS - 0.01, per_second={USUAL: sent})
    tolerated = per_second * factor * WINDOW_SECONDS + max(1, slack)
    assert gate.find_max_arrivals(WINDOW_SECONDS) <= tolerated
    taken = gate.count_arrivals(0)
    assert taken >= 0.8 * min(sent, per_second) * COLD_SECONDS - 2


def test_server_that_turns_cold_gets_no_burst() -> None:
    """A server that was busy a moment ago gets a burst when it is cold."""
    gate = SimulatedGate()
    gate.run(2, per_second={USUAL: 500})
    bound = build_slow_start(7.5, factor=1.5, slack=8, now=gate.now)
    gate.tell(SlowStartBegan(bound=bound))
    gate.run(1, per_second={USUAL: 500})
    assert gate.count_arrivals(2) <= 7.5 * 1.5 + 8


@pytest.mark.parametrize('late_seconds', [0.1, 0.3])
def test_bound_that_begins_late_counts_what_was_sent_before(
    late_seconds: float,
) -> None:
    """A server gets its usual rate and the bound of a cold one in a second."""
    gate = SimulatedGate(slots=3)
    gate.run(2, per_second={USUAL: 500})
    turned_at = gate.now
    gate.run(late_seconds, per_second={USUAL: 500})
    bound = build_slow_start(7.5, factor=1.5, slack=8, now=gate.now)
    gate.tell(SlowStartBegan(bound=bound))
    gate.run(2, per_second={USUAL: 500})
    assert (
        gate.find_max_arrivals(WINDOW_SECONDS, since=turned_at) <= 7.5 * 1.5 + 8
    )


def test_server_that_started_gets_its_bound_at_once() -> None:
    """What its predecessor got keeps requests from a server for a second."""
    gate = SimulatedGate()
    gate.run(2, per_second={USUAL: 100})
    gate.run(2 * RUN_SECONDS, per_second={})
    bound = build_slow_start(7.5, factor=1.5, slack=8, now=gate.now)
    gate.tell(SlowStartBegan(bound=bound, has_started=True))
    since = gate.now
    gate.run(0.5, per_second={USUAL: 500})
    assert gate.count_arrivals(since) >= 0.5 * 7.5 * 1.5


def test_warm_server_gets_its_usual_rate() -> None:
    """The bound stays in force after the slow start."""
    gate = SimulatedGate()
    gate.tell(
        SlowStartBegan(bound=build_slow_start(7.5, factor=1, slack=4)),
    )
    gate.run(COLD_SECONDS, per_second={USUAL: 150})
    gate.run(2, per_second={USUAL: 150})
    assert gate.count_arrivals(COLD_SECONDS + 0.2) >= 0.9 * 150 * 1.8


def test_server_that_reports_to_be_warm_gets_its_usual_rate_at_once() -> None:
    gate = SimulatedGate()
    gate.tell(
        SlowStartBegan(bound=build_slow_start(7.5, factor=1, slack=4)),
    )
    gate.tell(SlowStartEnded())
    gate.run(1, per_second={USUAL: 150})
    assert gate.count_arrivals(0) >= 0.9 * 150


def test_lower_limit_that_the_server_names_stays_in_force() -> None:
    """The end of a slow start ends the limit that the server names."""
    gate = SimulatedGate()
    gate.limit = 2
    gate.run(4, per_second={USUAL: 100})
    bound = build_slow_start(20, factor=1, slack=4, now=gate.now)
    gate.tell(SlowStartBegan(bound=bound))
    gate.run(8, per_second={USUAL: 100})
    assert gate.count_arrivals(6) <= 2 * 6 + 5


def test_probes_of_the_node_count() -> None:
    """Health checks and requests together exceed what a cold server bears."""
    gate = SimulatedGate()
    gate.tell(
        SlowStartBegan(bound=build_slow_start(4, factor=1, slack=8)),
    )
    gate.run(0.99, per_second={USUAL: 1})
    for _probe in range(4):
        gate.tell(ProbeSent())
    before = gate.count_arrivals(0)
    gate.run(0.2, per_second={USUAL: 200})
    assert gate.count_arrivals(0) - before <= 2


def test_urgent_requests_go_first_while_a_server_is_cold() -> None:
    """Reports take the few tokens of a cold server from bookings."""
    gate = SimulatedGate()
    gate.tell(
        SlowStartBegan(bound=build_slow_start(7.5, factor=1.5, slack=8)),
    )
    gate.run(COLD_SECONDS, per_second={URGENT: 10, USUAL: 200})
    assert gate.count_arrivals(0, rank=URGENT) >= 0.8 * 10 * COLD_SECONDS
